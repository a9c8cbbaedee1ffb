package tgentry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgroute"
	"tanagergrade/io/tglink"
)

const (
	eventQueue  = 64 // parts of an answer between receiver and writer
	maxAttempts = 4
	maxReattach = 3
	openTimeout = 2 * time.Second
)

// call is one request on its way, over all its attempts.
type call struct {
	cancel    context.CancelFunc
	ctx       context.Context //nolint:containedctx // the call's own lifetime, shared by receiver and writer
	entry     *Entry
	events    chan event
	execute   *tgframe.Execute
	headed    bool
	nextChunk uint64 // sequence number of the next chunk for the caller
	timing    timing
	tried     map[string]bool
}

// event is one part of an answer; exactly one field is set, or none at the end.
type event struct {
	chunk   []byte
	failure *tgcall.Failure
	head    *tgframe.Head
}

func (e *Entry) newCall(ctx context.Context, cancel context.CancelFunc, x *tgframe.Execute) *call {
	l := &call{
		cancel: cancel, ctx: ctx, entry: e, events: make(chan event, eventQueue), execute: x, tried: map[string]bool{},
	}
	go l.run()
	return l
}

func (l *call) receive() event {
	select {
	case v := <-l.events:
		return v
	case <-l.ctx.Done():
		return event{failure: tgcall.UnknownFailure(tgcall.CodeDeadlineExceeded, "no answer within the request timeout")}
	}
}

func (l *call) head() (*tgframe.Head, *tgcall.Failure) {
	v := l.receive()
	return v.head, v.failure
}

func (l *call) next() ([]byte, *tgcall.Failure) {
	v := l.receive()
	return v.chunk, v.failure
}

func (l *call) emit(v event) {
	select {
	case l.events <- v:
	case <-l.ctx.Done():
	}
}

// run makes attempts until one answers or no more are allowed.
func (l *call) run() {
	var failure *tgcall.Failure
	for range maxAttempts {
		target, ok := l.choose()
		if !ok {
			break
		}
		l.tried[target.Name] = true
		failure = l.attempt(target)
		if failure == nil {
			l.emit(event{})
			return
		}
		if !l.mayRetry(failure) {
			break
		}
	}
	if failure == nil {
		failure = tgcall.NotRunFailure(tgcall.CodeNoUpstream, "no upstream of pool %q takes work", l.execute.Pool).
			WithRetryAfter(time.Second)
	}
	l.emit(event{failure: failure})
}

// attempt runs the request at one upstream; nil means that the whole answer has been passed on.
func (l *call) attempt(target tgroute.Candidate) *tgcall.Failure {
	if l.execute.Idempotent {
		defer l.entry.router.Done(target.Name)
	}
	x := *l.execute
	x.Attempt, x.Delivered, x.Upstream = uuid.New(), int(l.nextChunk), target.Name
	u := l.entry.node.Config().Upstreams[target.Name]
	f := tgframe.Frame{Execute: &x, Kind: tgframe.KindExecute, Sender: l.entry.node.Sender()}
	sent := false
	for range maxReattach {
		failure, silent := l.exchange(target, u, f, &sent)
		if !silent {
			return failure
		}
		l.entry.node.Transport.Forget(u.Companion)
		if sent {
			attach := &tgframe.Attach{Attempt: x.Attempt, Next: l.nextChunk}
			f = tgframe.Frame{Attach: attach, Kind: tgframe.KindAttach, Sender: l.entry.node.Sender()}
		}
	}
	if !sent {
		return tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, "companion of %q cannot be reached", target.Name)
	}
	return tgcall.UnknownFailure(tgcall.CodeUpstreamLost, "companion of %q is silent", target.Name)
}

// exchange sends f and passes on the frames of the reply; silent means that the connection is of no use.
func (l *call) exchange(
	target tgroute.Candidate, u tgconfig.Upstream, f tgframe.Frame, sent *bool,
) (failure *tgcall.Failure, silent bool) {
	openCtx, cancel := context.WithTimeout(l.ctx, openTimeout)
	defer cancel()
	x, err := l.entry.node.Transport.Open(openCtx, u.Companion)
	if err != nil {
		return nil, true
	}
	defer x.Close()
	*sent = true
	if x.Send(openCtx, f) != nil {
		return nil, true
	}
	for {
		r, err := l.receiveFrame(x)
		if err != nil {
			if l.ctx.Err() != nil {
				_ = x.Send(context.Background(), tgframe.Frame{
					Cancel: &tgframe.Cancel{Attempt: l.execute.Attempt}, Kind: tgframe.KindCancel,
				})
				return tgcall.UnknownFailure(tgcall.CodeDeadlineExceeded, "no answer within the request timeout"), false
			}
			return nil, true
		}
		if done, failure := l.take(target, r); done {
			return failure, false
		}
	}
}

func (l *call) receiveFrame(x tglink.Exchange) (tgframe.Frame, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.entry.node.Config().Settings.SilenceTimeout)
	defer cancel()
	return x.Receive(ctx)
}

// take passes one frame on and reports whether it was the last.
func (l *call) take(target tgroute.Candidate, r tgframe.Frame) (bool, *tgcall.Failure) {
	l.observe(target, r)
	switch r.Kind {
	case tgframe.KindChunk:
		if r.Chunk.Sequence == l.nextChunk {
			l.nextChunk++
			l.emit(event{chunk: r.Chunk.Data})
		}
	case tgframe.KindEnd:
		if r.End.Outcome != tgcall.Answered {
			return true, r.End.Failure
		}
		if r.End.Total != l.nextChunk {
			return true, tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "answer has %d of %d parts", l.nextChunk, r.End.Total)
		}
		return true, nil
	case tgframe.KindHead:
		if !l.headed {
			l.headed = true
			l.emit(event{head: r.Head})
		}
	default:
	}
	return false, nil
}
