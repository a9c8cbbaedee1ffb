package tgentry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgmemory"
)

const (
	maxAttempts    = 4   // per call, including the first one
	maxFinalStatus = 599 // RFC 9110, section 15
	minFinalStatus = 200 // those below are not final
	statusOK       = 200
)

// Causes with which a call's context is cancelled.
var (
	errCallerDisconnected = errors.New("the caller has left")
	errStopping           = errors.New("this entry stopped before the answer was complete")
)

// call is one request in flight, over all its attempts. One goroutine at a time uses it.
type call struct {
	answerMemory   *tgmemory.Lease
	caller         *caller // nil in tests without a connection
	cancel         context.CancelCauseFunc
	ctx            context.Context //nolint:containedctx // the call's own lifetime
	endSeenAt      time.Time       // when watchCallers found ctx ended; used by that goroutine only
	entry          *Entry
	execute        *tgframe.Execute
	nextChunk      uint64        // sequence number of the next chunk for the caller
	silenceTimeout time.Duration // longest wait for a frame; then the exchange is replaced by a new one
	started        time.Time
	timing         attemptTiming   // of the current or last attempt
	triedUpstreams map[string]bool // by upstream name

	attempt      *attempt      // current, nil if there is none
	head         *tgframe.Head // of the answer that is passed on
	mayHaveRun   bool          // an attempt has ended with an unknown outcome
	stopDeadline func()        // releases the timer of the deadline
	streaming    bool          // parts go to the caller as they arrive, so that the answer cannot start over
	timeToHead   time.Duration // from started to the first head; zero until then

	// Atomic, since the state dump reads them at any time.
	attempts  atomic.Int32           // started so far
	delivered atomic.Uint64          // chunks passed on to the caller
	upstream  atomic.Pointer[string] // of the last attempt; nil before the first
}

func (e *Entry) newCall(x *tgframe.Execute, caller *caller) *call {
	deadlineCtx, stop := context.WithDeadline(e.callsCtx, x.Deadline)
	ctx, cancel := context.WithCancelCause(deadlineCtx)
	l := &call{
		answerMemory: e.answers.Lease(e.answersLimit), caller: caller, cancel: cancel, ctx: ctx, entry: e, execute: x,
		silenceTimeout: e.node.Config().Settings.SilenceTimeout, started: time.Now(), stopDeadline: stop,
		triedUpstreams: map[string]bool{},
	}
	e.calls.Set(x.RequestID, l)
	e.counters.inFlight.Add(1)
	return l
}

// close ends the call and records its result; failure is nil if the caller has the whole answer.
func (l *call) close(failure *tgcall.Failure) {
	l.endAttempt(failure != nil)
	l.cancel(nil)
	l.stopDeadline()
	l.answerMemory.ReleaseTo(0)
	l.entry.calls.Delete(l.execute.RequestID)
	l.entry.counters.inFlight.Add(-1)
	l.entry.recordResult(requestResult{call: l, failure: failure, requestID: l.execute.RequestID})
}

// contextFailure returns the failure of a call whose context has ended: the caller has left, the entry is stopping or
// the deadline has passed. The outcome is "not run" only if no attempt of the call can have run.
func (l *call) contextFailure() *tgcall.Failure {
	var f *tgcall.Failure
	switch cause := context.Cause(l.ctx); {
	case errors.Is(cause, errCallerDisconnected):
		f = tgcall.UnknownFailure(tgcall.CodeCancelled, "%v", cause)
	case errors.Is(cause, errStopping):
		f = tgcall.UnknownFailure(tgcall.CodeDraining, "%v", cause)
	default:
		f = tgcall.UnknownFailure(tgcall.CodeDeadlineExceeded, "no whole answer within the request timeout")
	}
	if !l.mayHaveRun && (l.attempt == nil || l.attempt.sentAt.IsZero()) {
		f.Outcome = tgcall.NotRun
	}
	return f
}

// overallFailure returns the failure of the call, given that of its last attempt. If an earlier attempt may have run,
// the outcome of the call is unknown, even if its last attempt was refused.
func (l *call) overallFailure(f *tgcall.Failure) *tgcall.Failure {
	if !l.mayHaveRun || f.Outcome == tgcall.Unknown {
		return f
	}
	unknown := *f
	unknown.Outcome = tgcall.Unknown
	return &unknown
}

// sleep waits for d or until the call's context ends.
func (l *call) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
	case <-t.C:
	}
}

// next returns the next part of the answer, over all attempts. An answer that is not streaming starts over with a new
// attempt, and its head is then returned again; an answer that is streaming is resumed after the delivered chunks.
func (l *call) next() (tganswer.Part, *tgcall.Failure) {
	var failure *tgcall.Failure
	for {
		if l.attempt == nil {
			if !l.beginAttempt() {
				return tganswer.Part{}, l.noUpstreamFailure(failure)
			}
		}
		p, f := l.attempt.next()
		if f == nil && p.Kind == tganswer.PartHead {
			resumed := l.streaming
			f = l.acceptHead(p.Head)
			if f == nil && resumed {
				continue // the caller already has the head of the answer, from an earlier attempt
			}
		}
		if f == nil {
			l.nextChunk = l.attempt.assembler.Delivered()
			l.delivered.Store(l.nextChunk)
			return p, nil
		}
		failure = l.overallFailure(f)
		l.mayHaveRun = failure.Outcome == tgcall.Unknown
		l.endAttempt(l.mayHaveRun)
		if !l.prepareRetry(f) || l.attempts.Load() >= maxAttempts {
			return tganswer.Part{}, failure
		}
		if !l.streaming {
			l.head, l.nextChunk = nil, 0
		}
	}
}

// beginAttempt chooses an upstream and prepares an attempt there; it returns false if the call has ended or no upstream
// is left. The execute frame is sent by the attempt's first call of next.
func (l *call) beginAttempt() bool {
	if l.ctx.Err() != nil {
		return false
	}
	target, ok := l.choose()
	if !ok {
		return false
	}
	l.triedUpstreams[target.Name] = true
	l.upstream.Store(&target.Name)
	l.attempts.Add(1)
	l.attempt = l.newAttempt(target)
	if l.nextChunk > 0 {
		l.entry.counters.resumes.Add(1)
	}
	return true
}

// endAttempt closes the current attempt, if there is one. With abandon it also cancels the attempt's work at the
// upstream.
func (l *call) endAttempt(abandon bool) {
	a := l.attempt
	if a == nil {
		return
	}
	l.attempt = nil
	a.disconnect()
	if abandon {
		a.abandon()
	}
	if l.execute.Idempotent {
		l.entry.router.Done(a.target.Name, l.timing.firstPartSeen)
	}
}

// noUpstreamFailure returns the failure of a call that could not begin an attempt. The failure of its last attempt, if
// there was one, takes precedence because it says more.
func (l *call) noUpstreamFailure(last *tgcall.Failure) *tgcall.Failure {
	switch {
	case last != nil:
		return last
	case l.ctx.Err() != nil:
		return l.contextFailure()
	default:
		return tgcall.NotRunFailure(tgcall.CodeNoUpstream, "no upstream of pool %q takes work", l.execute.Pool)
	}
}

// acceptHead stores the head of an answer and whether the answer is streamed. An answer that resumes a stream must be a
// stream too.
func (l *call) acceptHead(h *tgframe.Head) *tgcall.Failure {
	if l.timeToHead == 0 {
		l.timeToHead = time.Since(l.started)
	}
	if h.Status < minFinalStatus || h.Status > maxFinalStatus { // a companion of another version may pass it on
		return tgcall.UnknownFailure(tgcall.CodeUpstreamFailed,
			"upstream %q answered with status %d, which HTTP does not have", l.attempt.target.Name, h.Status)
	}
	streaming := l.execute.Stream && h.Status == statusOK && isEventStream(h)
	if l.streaming && !streaming {
		return tgcall.UnknownFailure(tgcall.CodeUpstreamFailed,
			"upstream %q answered a resumed stream with status %d", l.attempt.target.Name, h.Status)
	}
	l.streaming = streaming
	l.head = h
	return nil
}

func isEventStream(h *tgframe.Head) bool {
	for _, f := range h.Headers {
		if f.Name == "Content-Type" {
			return strings.HasPrefix(f.Value, "text/event-stream")
		}
	}
	return false
}
