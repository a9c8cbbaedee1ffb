package tgcompanion

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgadmission"
	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgupstream"
)

const (
	maxReplayBytes = 1 << 20 // output of an idempotent attempt that is kept for an entry that re-attaches
	maxResultBytes = 8 << 20 // answer of an attempt that is not idempotent, which is kept whole to be recorded
)

// Causes with which an attempt's context is cancelled.
var (
	errCancelled = errors.New("cancelled by the entry")
	errDrained   = errors.New("companion stopped before the attempt finished")
	errNoReader  = errors.New("nobody reads the answer")
)

// attempt is one run of a request at this upstream.
type attempt struct {
	admitted atomic.Bool // false while the attempt waits for a claim or in the queue
	buffer   *tganswer.Buffer
	cancel   context.CancelCauseFunc
	execute  *tgframe.Execute
	started  time.Time

	// Guarded by the registry's lock.
	delivered bool        // a reader has confirmed the end
	endedAt   time.Time   // zero while the attempt runs
	idleTimer *time.Timer // cancels an idempotent attempt that has lost its last reader; nil while it has one
	readers   int         // exchanges that the answer is being sent over
}

func newAttempt(e *tgframe.Execute, cancel context.CancelCauseFunc) *attempt {
	buffer := tganswer.NewBuffer(uint64(e.DeliveredEvents), maxReplayBytes)
	if !e.Idempotent {
		buffer = tganswer.NewRetainingBuffer(maxResultBytes)
	}
	return &attempt{buffer: buffer, cancel: cancel, execute: e, started: time.Now()}
}

// fail ends the attempt's answer with a failure, unless it has ended before.
func (a *attempt) fail(f *tgcall.Failure) {
	a.buffer.Finish(tgframe.End{Failure: f, Outcome: f.Outcome})
}

// run runs the attempt if it is allowed here. An attempt that is not idempotent runs under a claim, unless the upstream
// itself checks idempotency keys.
func (c *Companion) run(ctx context.Context, a *attempt) {
	if f := c.checkAllowed(a.execute); f != nil {
		a.fail(f)
		return
	}
	if a.execute.Idempotent || c.node.Config().Upstreams[c.upstream].ChecksIdempotencyKeys {
		c.runAdmitted(ctx, a)
		return
	}
	c.runClaimed(ctx, a)
}

// runAdmitted waits until the attempt is admitted and runs it.
func (c *Companion) runAdmitted(ctx context.Context, a *attempt) {
	release, f := c.admit(ctx, a.execute)
	if f != nil {
		a.fail(f)
		return
	}
	a.admitted.Store(true)
	var sample tgadmission.Sample
	defer func() { release(sample) }()
	// Checked again, since the upstream may have been withdrawn while the attempt waited.
	if f := c.checkAllowed(a.execute); f != nil {
		a.fail(f)
		return
	}
	sample = c.callUpstream(ctx, a)
}

// callUpstream sends the attempt to the upstream, at most once, and stores the answer or the failure in its buffer. It
// returns what the limiter learns from the attempt.
func (c *Companion) callUpstream(ctx context.Context, a *attempt) tgadmission.Sample {
	s := &sink{attempt: a, ctx: ctx, observeProgress: c.progressObserver(a.execute), started: time.Now()}
	err := c.client.Do(ctx, a.execute, s)
	failure := c.answerFailure(ctx, s, err)
	if failure != nil {
		a.fail(failure)
	} else {
		a.buffer.Finish(tgframe.End{Outcome: tgcall.Answered})
	}
	ok := failure == nil && s.status < statusServerError
	return tgadmission.Sample{
		FirstToken: s.firstChunkAfter, Observed: s.observed, OK: ok, Tokens: s.chunks, Total: time.Since(s.started),
	}
}

// answerFailure returns why the answer in s is incomplete, or nil if it is complete.
func (c *Companion) answerFailure(ctx context.Context, s *sink, err error) *tgcall.Failure {
	var notSent *tgupstream.NotSentError
	switch {
	case s.events && s.splitter.Done():
		return nil // the stream is complete; an error of the connection after the terminal event does not matter
	case errors.As(err, &notSent):
		return tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, "upstream %q: %v", c.upstream, err)
	case errors.Is(err, errServerError):
		return tgcall.UnknownFailure(tgcall.CodeUpstreamFailed, "upstream %q answered with status %d", c.upstream, s.status)
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return tgcall.UnknownFailure(tgcall.CodeDeadlineExceeded, "no whole answer before the deadline")
	case ctx.Err() != nil:
		return interruptionFailure(context.Cause(ctx))
	case errors.Is(err, tgupstream.ErrUnframed), errors.Is(err, tganswer.ErrTooLarge):
		return tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "upstream %q: %v", c.upstream, err)
	case err != nil:
		return tgcall.UnknownFailure(tgcall.CodeUpstreamLost, "upstream %q: %v", c.upstream, err)
	case s.events:
		return tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "the upstream's stream ended without its terminal event")
	default:
		return nil
	}
}

// interruptionFailure returns the failure of an attempt that was cancelled before its upstream finished. Only after a
// cancellation by the entry is the answer no longer wanted; the other failures let the entry retry at another upstream.
func interruptionFailure(cause error) *tgcall.Failure {
	code := tgcall.CodeUpstreamLost
	switch {
	case errors.Is(cause, errCancelled):
		code = tgcall.CodeCancelled
	case errors.Is(cause, errDrained):
		code = tgcall.CodeDraining
	}
	return tgcall.UnknownFailure(code, "%v", cause)
}
