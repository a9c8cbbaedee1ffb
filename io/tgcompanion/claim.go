package tgcompanion

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
)

const resultTimeout = 10 * time.Second // bound for recording a result

func claimStream(pool string) string { return "claims-" + pool }

func (c *Companion) followClaims(ctx context.Context) {
	for ctx.Err() == nil {
		if u, ok := c.node.Config().Upstreams[c.upstream]; ok {
			tgnode.Follow(ctx, c.node.LogClient, claimStream(u.Pool), c.node.Log, func(e tglogclient.Entry) error {
				return c.claims.Apply(e.Offset, e.Records)
			})
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// acquireClaim returns the ID of a won claim, the recorded answer of an earlier call, or a failure.
func (c *Companion) acquireClaim(
	ctx context.Context, pool string, claim tgclaim.Claim,
) (uuid.UUID, *tgclaim.Result, *tgcall.Failure) {
	ctx, cancel := context.WithTimeout(ctx, c.node.Config().Settings.ClaimTimeout)
	defer cancel()
	if e, _, _ := c.claims.Lookup(claim.Key, uuid.Nil); e.ID != uuid.Nil {
		return c.awaitResult(ctx, claim)
	}
	record, err := tgrecord.New(tgrecord.KindClaim, c.node.Settings.Name, c.claims.Applied(), claim)
	if err != nil {
		return uuid.Nil, nil, tgcall.NotRunFailure(tgcall.CodeInternal, "%v", err)
	}
	_, appendErr := c.node.LogClient.Append(ctx, claimStream(pool), []tgrecord.Record{record})
	for {
		e, seen, changed := c.claims.Lookup(claim.Key, record.ID)
		switch {
		case seen && e.ID == record.ID:
			return record.ID, nil, nil
		case seen:
			return c.awaitResult(ctx, claim)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.release(pool, claim.Key, record.ID)
			return uuid.Nil, nil, tgcall.NotRunFailure(tgcall.CodeLogUnavailable,
				"claim was not confirmed by the log in time (append: %v)", appendErr).WithRetryAfter(time.Second)
		}
	}
}

// awaitResult waits for the answer of the call that holds the claim.
func (c *Companion) awaitResult(
	ctx context.Context, claim tgclaim.Claim,
) (uuid.UUID, *tgclaim.Result, *tgcall.Failure) {
	for {
		e, _, changed := c.claims.Lookup(claim.Key, uuid.Nil)
		switch {
		case e.ID != uuid.Nil && e.Claim.Digest != claim.Digest:
			return uuid.Nil, nil, tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyReused,
				"idempotency key was used with another request")
		case e.Result != nil:
			return uuid.Nil, e.Result, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return uuid.Nil, nil, tgcall.UnknownFailure(tgcall.CodeRequestUnresolved,
				"an earlier call with this idempotency key has no recorded answer").WithRetryAfter(time.Second)
		}
	}
}

// recordOutcome records the answer of a claimed attempt, or releases the claim if it was not run.
func (c *Companion) recordOutcome(ctx context.Context, a *attempt, key tgclaim.Key, id uuid.UUID) {
	head, body, end := a.buffer.Snapshot()
	switch {
	case end.Outcome == tgcall.NotRun:
		c.release(a.execute.Pool, key, id)
	case end.Outcome == tgcall.Answered && head != nil:
		result := tgclaim.Result{Body: body, Claim: id, Head: *head, Key: key}
		c.appendUntilDone(context.WithoutCancel(ctx), a.execute.Pool, tgrecord.KindClaimResult, result)
	default:
	}
}

// release gives up a claim under which nothing was or will be run.
func (c *Companion) release(pool string, key tgclaim.Key, id uuid.UUID) {
	c.running.Go(func() {
		c.appendUntilDone(context.Background(), pool, tgrecord.KindClaimRelease, tgclaim.Release{Claim: id, Key: key})
	})
}

func (c *Companion) appendUntilDone(ctx context.Context, pool string, kind tgrecord.Kind, body any) {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	record, err := tgrecord.New(kind, c.node.Settings.Name, c.claims.Applied(), body)
	if err != nil {
		c.node.Log.WithError(err).Error("record cannot be encoded")
		return
	}
	for ctx.Err() == nil {
		if _, err = c.node.LogClient.Append(ctx, claimStream(pool), []tgrecord.Record{record}); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.node.Log.WithError(err).WithField("kind", kind).Warn("record was not appended")
}
