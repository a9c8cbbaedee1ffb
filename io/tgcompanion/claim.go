package tgcompanion

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgroute"
	"tanagergrade/io/tgclaimer"
)

const poolPollInterval = 100 * time.Millisecond // between checks for the upstream's pool in the configuration

// poolClaimer holds the claimer of the upstream's pool, which is known once the configuration has arrived.
type poolClaimer struct {
	mu      sync.Mutex
	claimer *tgclaimer.Claimer // nil until the pool is known, and if its requests need no claims
	pool    string
}

// get returns the claimer of a pool, or nil if there is none.
func (c *poolClaimer) get(pool string) *tgclaimer.Claimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != pool {
		return nil
	}
	return c.claimer
}

// await waits for the claimer of a pool, which runClaimers sets shortly after the configuration has arrived. It returns
// nil if ctx ends first.
func (c *poolClaimer) await(ctx context.Context, pool string) *tgclaimer.Claimer {
	ticker := time.NewTicker(poolPollInterval)
	defer ticker.Stop()
	for {
		if claimer := c.get(pool); claimer != nil {
			return claimer
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *poolClaimer) dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimer == nil {
		return nil
	}
	return c.claimer.Dump()
}

func (c *poolClaimer) set(pool string, claimer *tgclaimer.Claimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimer, c.pool = claimer, pool
}

// runClaimers runs the claimer of the upstream's pool until ctx ends and replaces it when the upstream moves to another
// pool.
func (c *Companion) runClaimers(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	stop := func() {}
	defer func() { stop() }()
	ticker := time.NewTicker(poolPollInterval)
	defer ticker.Stop()
	pool := ""
	for {
		if u, ok := c.node.Config().Upstreams[c.upstream]; ok && u.Pool != pool {
			pool = u.Pool
			stop()
			poolCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			claimer := c.newClaimer(u)
			c.claims.set(pool, claimer)
			if claimer != nil {
				wg.Go(func() { claimer.Run(poolCtx) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// newClaimer returns the claimer of an upstream's pool, or nil if none of its requests needs a claim.
func (c *Companion) newClaimer(u tgconfig.Upstream) *tgclaimer.Claimer {
	if u.ChecksIdempotencyKeys || c.node.Config().Pools[u.Pool].Kind != tgconfig.PlainPool {
		return nil
	}
	identity := tgclaimer.Identity{
		Incarnation: c.node.Incarnation, Name: c.node.Settings.Name, Started: c.startedAt,
	}
	return tgclaimer.New(c.node.BatchedLog(), u.Pool, tgclaim.MaxKeyAge, identity, c.node.Log)
}

// runClaimed runs an attempt that is not idempotent under a claim in the log. The attempt waits for its claim before it
// is admitted, so that with a slow log it does not occupy a place at the upstream that requests without a claim could use.
func (c *Companion) runClaimed(ctx context.Context, a *attempt) {
	e := a.execute
	keyTime, err := tgclaim.KeyTime(e.IdempotencyKey)
	if err != nil {
		a.fail(tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyInvalid, "%v", err))
		return
	}
	settings := c.node.Config().Settings
	if c.pendingClaims.Add(1) > int64(settings.MaxQueued) {
		c.pendingClaims.Add(-1)
		a.fail(tgcall.NotRunFailure(tgcall.CodeOverloaded, "too many claims of upstream %q wait for the log", c.upstream).
			WithRetryAfter(time.Second))
		return
	}
	key := tgclaim.NewKey(e.Account, e.Pool, e.IdempotencyKey)
	claimer, grant := c.acquireClaim(ctx, e.Pool, settings.ClaimTimeout, tgclaimer.Request{
		Digest: tgclaim.NewDigest(e.Method, e.Path, e.Body), IsHome: func() bool { return c.isHome(e) }, Key: key,
		KeyTime: keyTime,
	})
	c.pendingClaims.Add(-1)
	switch {
	case grant.Failure != nil:
		a.fail(grant.Failure)
	case grant.Replay != nil:
		c.replay(ctx, a, grant.Replay)
	default:
		c.runAdmitted(ctx, a)
		c.finishClaim(claimer, a, key, grant)
	}
}

// acquireClaim waits for the pool's claimer and its decision on the request, for timeout at most.
func (c *Companion) acquireClaim(
	ctx context.Context, pool string, timeout time.Duration, r tgclaimer.Request,
) (*tgclaimer.Claimer, tgclaimer.Decision) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	claimer := c.claims.await(ctx, pool)
	if claimer == nil {
		return nil, tgclaimer.Decision{
			Failure: tgcall.NotRunFailure(tgcall.CodeNoUpstream, "claims of pool %q are not followed here", pool),
		}
	}
	return claimer, claimer.Acquire(ctx, r)
}

// isHome reports whether this upstream is the home of the attempt's idempotency key: the one to which all entries send
// requests with the key first.
func (c *Companion) isHome(e *tgframe.Execute) bool {
	cfg := c.node.Config()
	var candidates []tgroute.Candidate
	for name, u := range cfg.Upstreams {
		withdrawn := cfg.DataCentres[u.DataCentre].State == tgconfig.Withdrawn
		if u.Pool == e.Pool && u.State != tgconfig.Drained && !withdrawn {
			candidates = append(candidates, tgroute.Candidate{DataCentre: u.DataCentre, Name: name, Pool: u.Pool})
		}
	}
	home, ok := tgroute.RendezvousFirst(candidates, e.IdempotencyKey)
	return ok && home.Name == c.upstream
}

// replay answers the attempt with the recorded answer of an earlier one.
func (c *Companion) replay(ctx context.Context, a *attempt, r *tgclaim.Result) {
	a.buffer.SetHead(r.Head)
	if len(r.Body) > 0 {
		if err := a.buffer.Append(ctx, r.Body); err != nil {
			a.fail(tgcall.UnknownFailure(tgcall.CodeInternal, "replay the recorded answer: %v", err))
			return
		}
	}
	a.buffer.Finish(tgframe.End{Outcome: tgcall.Answered, Replayed: true})
}

// finishClaim records the result of a claimed attempt: its answer, or that the outcome is unknown. If the attempt was not
// run, it releases the claim.
func (c *Companion) finishClaim(claimer *tgclaimer.Claimer, a *attempt, key tgclaim.Key, grant tgclaimer.Decision) {
	head, body, end := a.buffer.Snapshot()
	switch {
	case end.Outcome == tgcall.NotRun:
		claimer.Release(key, grant.Claim)
	case end.Outcome == tgcall.Answered && head != nil:
		claimer.Finish(key, grant.Claim, &tgclaim.Result{Body: body, Claim: grant.Claim, Head: *head, Key: key})
	default:
		claimer.Finish(key, grant.Claim, nil)
	}
}
