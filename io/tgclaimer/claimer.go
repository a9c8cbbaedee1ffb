// Package tgclaimer claims non-idempotent requests in the log before they are run, so that each runs at most once.
package tgclaimer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgrecord"
	"tanagergrade/core/tgshardmap"
	"tanagergrade/io/tglogclient"
)

const (
	appendBackoff   = 250 * time.Millisecond
	outageThreshold = 3 * time.Second  // a read returns within a second while the log answers
	retryAfter      = time.Second      // delay that callers are asked to wait before a retry
	shutdownTimeout = 10 * time.Second // bounds the appends still pending when the process stops
)

// Identity identifies the process that makes the claims.
type Identity struct {
	Incarnation uuid.UUID
	Name        string
	Started     time.Time // by the clock of this VM
}

// Claimer ensures that each request of a pool runs at most once, whichever processes are asked to run it.
type Claimer struct {
	follower    *tglogclient.Follower
	identity    Identity
	localClaims *tgshardmap.Map[*localClaim] // claims of this process whose result is not recorded yet, by key
	log         tglogclient.Log
	logger      *logrus.Entry
	stopping    chan struct{} // closed when Run's context ends
	stream      string
	table       *tgclaim.Table

	mu     sync.Mutex
	closed bool           // set when Run starts to wait for the pending appends
	wg     conc.WaitGroup // pending appends; none is added once closed is set
}

// localClaim gives repeated requests that reach this process the result before it is read back from the log.
type localClaim struct {
	done   chan struct{}   // closed by Finish, after which result is final
	id     uuid.UUID       // of the claim
	result *tgclaim.Result // nil if the outcome is unknown
}

// Stream returns the name of the claims stream of a pool.
func Stream(pool string) string { return tgclaim.StreamPrefix + pool }

// New returns a claimer for a pool that refuses idempotency keys once they are as old as window.
func New(
	log tglogclient.Log, pool string, window time.Duration, identity Identity, logger *logrus.Entry,
) *Claimer {
	c := &Claimer{
		identity:    identity,
		localClaims: tgshardmap.NewMap[*localClaim](),
		log:         log,
		logger:      logger,
		stopping:    make(chan struct{}),
		stream:      Stream(pool),
		table:       tgclaim.NewTable(window),
	}
	c.follower = tglogclient.NewFollower(log, c.stream, logger, func(e tglogclient.Entry) error {
		return c.table.Apply(e.Offset, e.Time, e.Records)
	}, tglogclient.WithGapHandler(func(tglogclient.Gap) { c.table.RecordGap() }))
	return c
}

// Run follows the claims stream of the pool until ctx ends, then waits until all pending records have been appended
// or abandoned.
func (c *Claimer) Run(ctx context.Context) {
	c.follower.Run(ctx)
	close(c.stopping)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
}

// runInBackground runs f in a goroutine that Run waits for, or synchronously once Run accepts no more goroutines.
func (c *Claimer) runInBackground(f func()) {
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.wg.Go(f)
	}
	c.mu.Unlock()
	if closed {
		f()
	}
}

// Dump returns the claimer's state.
func (c *Claimer) Dump() any {
	return struct {
		Follower tglogclient.FollowerStatus `json:"follower"`
		Keys     int                        `json:"keys"`
		Own      int                        `json:"own"`
		Stream   string                     `json:"stream"`
	}{c.follower.Status(), c.table.Len(), c.localClaims.Len(), c.stream}
}

// Request describes the request to be claimed.
type Request struct {
	Digest  tgclaim.Digest
	IsHome  func() bool // whether all entries try this process first for the key; called only if the log is unavailable
	Key     tgclaim.Key
	KeyTime time.Time // when the caller made the idempotency key, by the caller's clock
}

// Decision states whether a request may run: exactly one of Claim, Failure and Replay is set.
type Decision struct {
	Claim   uuid.UUID // the request must be run now, once, under this claim
	Failure *tgcall.Failure
	Replay  *tgclaim.Result // the recorded result of an earlier call
}

func failureDecision(f *tgcall.Failure) Decision { return Decision{Failure: f} }

// Acquire claims the request and returns whether it may be run here. It returns when ctx ends at the latest.
func (c *Claimer) Acquire(ctx context.Context, r Request) Decision {
	if !c.table.HasCompleteHistory(r.KeyTime, time.Now()) {
		return failureDecision(tgcall.UnknownFailure(tgcall.CodeIdempotencyKeyExpired,
			"calls with this idempotency key may be older than the records kept"))
	}
	if e, _, _ := c.table.Lookup(r.Key, uuid.Nil); e.ID != uuid.Nil {
		return c.awaitResult(ctx, r)
	}
	if c.logOutage() {
		return failureDecision(c.logUnavailable(r))
	}
	body := tgclaim.Claim{
		Digest: r.Digest, Holder: c.identity.Name, Incarnation: c.identity.Incarnation, Key: r.Key, KeyTime: r.KeyTime,
	}
	record, err := tgrecord.New(tgrecord.KindClaim, c.identity.Name, c.table.Applied(), body)
	if err != nil {
		return failureDecision(tgcall.NotRunFailure(tgcall.CodeInternal, "%v", err))
	}
	// The reply to the append is ignored: a claim takes effect only when it is read back from the log.
	c.runInBackground(func() { _, _ = c.log.Append(ctx, c.stream, []tgrecord.Record{record}) })
	return c.awaitClaim(ctx, r, record.ID)
}

// logOutage reports whether the log has failed for longer than outageThreshold, so that new claims are refused at once.
func (c *Claimer) logOutage() bool {
	s := c.follower.Status()
	return s.Error != "" && time.Since(s.Confirmed) > outageThreshold
}

// awaitClaim waits until the claim is read back from the log. The first claim of a key in the log wins; if it is
// another one, awaitClaim waits for the result recorded under it.
func (c *Claimer) awaitClaim(ctx context.Context, r Request, id uuid.UUID) Decision {
	for {
		e, seen, changed := c.table.Lookup(r.Key, id)
		switch {
		case seen && e.ID == id:
			c.localClaims.Set(string(r.Key[:]), &localClaim{done: make(chan struct{}), id: id})
			return Decision{Claim: id}
		case seen && e.ID != uuid.Nil:
			return c.awaitResult(ctx, r)
		case seen:
			return failureDecision(tgcall.NotRunFailure(tgcall.CodeRequestUnresolved,
				"another call with this idempotency key was given up").WithRetryAfter(retryAfter))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.Release(r.Key, id)
			return failureDecision(c.logUnavailable(r))
		}
	}
}

// logUnavailable returns the failure of a claim that the log did not confirm in time. Nothing runs under such a claim.
// Only the process that all entries try first for the key can exclude that an earlier call with the key has run, and
// only if it has been up since before the key was made, with an allowance for clock skew.
func (c *Claimer) logUnavailable(r Request) *tgcall.Failure {
	f := tgcall.UnknownFailure(tgcall.CodeLogUnavailable,
		"not run now, since the log did not confirm the claim in time; an earlier call may have run")
	if r.IsHome() && c.identity.Started.Before(r.KeyTime.Add(-tgclaim.MaxClockSkew)) {
		f = tgcall.NotRunFailure(tgcall.CodeLogUnavailable, "the log did not confirm the claim in time")
	}
	return f.WithRetryAfter(retryAfter)
}

// awaitResult waits for the result of the call that holds the claim.
func (c *Claimer) awaitResult(ctx context.Context, r Request) Decision {
	for {
		e, _, changed := c.table.Lookup(r.Key, uuid.Nil)
		switch {
		case e.ID == uuid.Nil:
			return failureDecision(tgcall.NotRunFailure(tgcall.CodeRequestUnresolved,
				"another call with this idempotency key was given up").WithRetryAfter(retryAfter))
		case e.Claim.Digest != r.Digest:
			return failureDecision(tgcall.NotRunFailure(tgcall.CodeIdempotencyKeyReused,
				"idempotency key was used with another request"))
		case e.Result != nil:
			return Decision{Replay: e.Result}
		case e.Recorded:
			return c.readResult(ctx, r.Key, e)
		}
		var done chan struct{}
		if local, ok := c.localClaims.Get(string(r.Key[:])); ok && local.id == e.ID {
			done = local.done
			select {
			case <-done:
				if local.result != nil {
					return Decision{Replay: local.result}
				}
				done = nil // the outcome is unknown here; only a record in the log can still supply it
			default:
			}
		}
		select {
		case <-changed:
		case <-done:
		case <-ctx.Done():
			return failureDecision(tgcall.UnknownFailure(tgcall.CodeRequestUnresolved,
				"an earlier call with this idempotency key has no recorded answer").WithRetryAfter(retryAfter))
		}
	}
}

// readResult reads from the log a result that has been evicted from the cache.
func (c *Claimer) readResult(ctx context.Context, key tgclaim.Key, e tgclaim.Entry) Decision {
	page, err := c.log.Read(ctx, c.stream, e.ResultOffset, 0)
	if err == nil {
		for _, entry := range page.Entries {
			for _, r := range entry.Records {
				if r.Kind != tgrecord.KindClaimResult {
					continue
				}
				if result, err := tgrecord.Decode[tgclaim.Result](r); err == nil && result.Claim == e.ID && result.Key == key {
					return Decision{Replay: &result}
				}
			}
		}
	}
	return failureDecision(tgcall.UnknownFailure(tgcall.CodeRequestUnresolved,
		"the recorded answer of an earlier call cannot be read from the log").WithRetryAfter(retryAfter))
}

// Finish records the result of a request that ran under a claim; a nil result means that the outcome is unknown.
func (c *Claimer) Finish(key tgclaim.Key, id uuid.UUID, result *tgclaim.Result) {
	if local, ok := c.localClaims.Get(string(key[:])); ok && local.id == id {
		local.result = result
		close(local.done)
	}
	if result == nil {
		c.localClaims.Delete(string(key[:]))
		return
	}
	c.append(tgrecord.KindClaimResult, *result, func() { c.localClaims.Delete(string(key[:])) })
}

// Release releases a claim under which nothing was run or will be run.
func (c *Claimer) Release(key tgclaim.Key, id uuid.UUID) {
	c.localClaims.Delete(string(key[:]))
	c.append(tgrecord.KindClaimRelease, tgclaim.Release{Claim: id, Key: key}, func() {})
}

// append appends a record in the background and retries until it succeeds or the process stops. A retry may append the
// record twice, which is harmless, since both copies have the same ID.
func (c *Claimer) append(kind tgrecord.Kind, body any, done func()) {
	record, err := tgrecord.New(kind, c.identity.Name, c.table.Applied(), body)
	if err != nil {
		c.logger.WithError(err).WithField("kind", kind).Error("cannot encode claim record")
		return
	}
	c.runInBackground(func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for {
			if _, err = c.log.Append(ctx, c.stream, []tgrecord.Record{record}); err == nil {
				done()
				return
			}
			select {
			case <-c.stopping:
				c.appendDuringShutdown(record)
				return
			case <-time.After(appendBackoff):
			}
		}
	})
}

// appendDuringShutdown retries the append of a record for at most shutdownTimeout while the process stops.
func (c *Claimer) appendDuringShutdown(record tgrecord.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if _, err = c.log.Append(ctx, c.stream, []tgrecord.Record{record}); err == nil {
			return
		}
		time.Sleep(appendBackoff)
	}
	c.logger.WithError(err).WithField("kind", record.Kind).Warn("claim record lost: not appended before the process stopped")
}
