package tgentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgroute"
	"tanagergrade/io/tglink"
)

const (
	maxFailedExchanges  = 2           // exchanges in a row without a frame, of an idempotent attempt
	maxFramesPerReceive = 32          // frames taken together if they are there already
	openTimeout         = time.Second // a handshake takes a few milliseconds
	reattachBackoff     = 200 * time.Millisecond
)

// attempt is one run of a call at one upstream, over as many connections as it needs.
type attempt struct {
	address         netip.AddrPort // of the companion
	assembler       *tganswer.Assembler
	call            *call
	ended           bool // the companion has ended it
	execute         tgframe.Execute
	failedExchanges int       // exchanges in a row without a frame
	sentAt          time.Time // zero until the execute frame may have left
	target          tgroute.Candidate

	// The current exchange, nil if there is none.
	cancel       context.CancelFunc
	ctx          context.Context //nolint:containedctx // ends with the exchange, the call or its silence
	exchange     tglink.Exchange
	silenceTimer *time.Timer
}

func (l *call) newAttempt(target tgroute.Candidate) *attempt {
	x := *l.execute
	x.Attempt, x.DeliveredEvents, x.Upstream = uuid.New(), int(l.nextChunk), target.Name
	return &attempt{
		address:   l.entry.node.Config().Upstreams[target.Name].Companion,
		assembler: tganswer.NewAssembler(x.Attempt, l.nextChunk),
		call:      l,
		execute:   x,
		target:    target,
	}
}

// next returns the next part of the answer; a failure ends the attempt.
func (a *attempt) next() (tganswer.Part, *tgcall.Failure) {
	for {
		if p, ok := a.assembler.Next(); ok {
			if p.Kind == tganswer.PartEnd {
				return p, a.endFailure(p.End)
			}
			return p, nil
		}
		if a.assembler.Inconsistent() {
			return tganswer.Part{}, tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "the end of the answer does not match its parts")
		}
		if a.call.shouldLeaveStalled() {
			return tganswer.Part{}, tgcall.UnknownFailure(tgcall.CodeUpstreamLost, "upstream %q has stalled", a.target.Name)
		}
		if a.exchange == nil {
			if failure := a.connect(); failure != nil {
				return tganswer.Part{}, failure
			}
		}
		if a.receive() != nil {
			a.disconnect()
			if a.call.ctx.Err() != nil {
				return tganswer.Part{}, a.call.contextFailure()
			}
			a.call.entry.node.Transport.RetireConnection(a.address)
		}
	}
}

// endFailure returns the failure of an end. An attempt that has never arrived at a companion which was up when it was
// sent has not run, and will not, since the companion refuses it from now on.
func (a *attempt) endFailure(end *tgframe.End) *tgcall.Failure {
	a.ended = true
	if end.Failure == nil && end.Outcome != tgcall.Answered {
		return tgcall.UnknownFailure(tgcall.CodeInternal, "outcome %q without a failure", end.Outcome)
	}
	if end.Unseen != nil && end.Unseen.Uptime > time.Since(a.sentAt) {
		return tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, "request did not arrive at the companion of %q", a.target.Name)
	}
	return end.Failure
}

// connect opens an exchange and sends the execute frame, or an attach frame once that may have left.
func (a *attempt) connect() *tgcall.Failure {
	for {
		if a.call.ctx.Err() != nil {
			return a.call.contextFailure()
		}
		if a.failedExchanges > 0 {
			if failure := a.reconnectFailure(); failure != nil {
				return failure
			}
			a.call.sleep(reattachBackoff * time.Duration(a.failedExchanges-1))
		}
		a.failedExchanges++ // until a frame arrives
		if a.openExchange() {
			return nil
		}
		a.call.entry.node.Transport.RetireConnection(a.address)
	}
}

// reconnectFailure ends an attempt after too many exchanges without a frame. An attempt that is not idempotent and may
// have run has no other upstream to go to, so it is asked for until the call's deadline.
func (a *attempt) reconnectFailure() *tgcall.Failure {
	switch {
	case a.failedExchanges < maxFailedExchanges || !a.sentAt.IsZero() && !a.execute.Idempotent:
		return nil
	case a.sentAt.IsZero():
		return tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, "companion of %q cannot be reached", a.target.Name)
	default:
		return tgcall.UnknownFailure(tgcall.CodeUpstreamLost, "companion of %q is silent", a.target.Name)
	}
}

func (a *attempt) openExchange() bool {
	ctx, cancel := context.WithCancel(a.call.ctx)
	silence := time.AfterFunc(openTimeout, cancel)
	x, err := a.call.entry.node.Transport.Open(ctx, a.address)
	if err != nil {
		silence.Stop()
		cancel()
		return false
	}
	f := tgframe.Frame{Kind: tgframe.KindExecute, Sender: a.call.entry.node.Sender()}
	if a.sentAt.IsZero() {
		a.sentAt = time.Now()
		f.Execute = &a.execute
		a.call.entry.counters.attempts.Add(1)
	} else {
		f.Kind = tgframe.KindAttach
		f.Attach = &tgframe.Attach{Attempt: a.execute.Attempt, Deadline: a.execute.Deadline, Next: a.assembler.FirstMissing()}
		a.call.entry.counters.reattaches.Add(1)
	}
	a.cancel, a.ctx, a.exchange, a.silenceTimer = cancel, ctx, x, silence
	if x.Send(ctx, f) != nil {
		a.disconnect()
		return false
	}
	silence.Stop()
	return true
}

// receive takes the next frame and those that have arrived with it.
func (a *attempt) receive() error {
	for range maxFramesPerReceive {
		started := time.Now()
		// Only the waiting counts as silence: a slow caller takes the parts later than they arrive.
		a.silenceTimer.Reset(a.call.silenceTimeout)
		f, err := a.exchange.Receive(a.ctx)
		a.silenceTimer.Stop()
		if err != nil {
			return err
		}
		if f.Attempt == a.execute.Attempt {
			a.failedExchanges = 0
			a.call.observe(a.target, &f, time.Since(started))
			a.assembler.Add(&f)
		}
		if !a.exchange.Buffered() {
			break
		}
	}
	return nil
}

func (a *attempt) disconnect() {
	if a.exchange == nil {
		return
	}
	a.silenceTimer.Stop()
	a.cancel()
	_ = a.exchange.Close()
	a.exchange = nil
}

// abandon stops the attempt's work at the upstream if it may be stopped.
func (a *attempt) abandon() {
	if a.ended || a.sentAt.IsZero() || !a.execute.Idempotent {
		return
	}
	e := a.call.entry
	f := tgframe.Frame{
		Cancel: &tgframe.Cancel{Attempt: a.execute.Attempt, Deadline: a.execute.Deadline},
		Kind:   tgframe.KindCancel, Sender: e.node.Sender(),
	}
	address := a.address
	e.cancelFrames.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		defer cancel()
		x, err := e.node.Transport.Open(ctx, address)
		if err != nil {
			return // the companion cancels an attempt without a reader by itself
		}
		_ = x.Send(ctx, f)
		_ = x.Close()
	})
}
