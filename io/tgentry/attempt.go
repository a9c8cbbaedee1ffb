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
	maxFailedExchanges  = 2                      // exchanges in a row without a frame that end an attempt; see reconnectFailure
	maxFramesPerReceive = 32                     // frames processed together if they have already arrived
	openTimeout         = time.Second            // bound for opening an exchange; a handshake takes a few milliseconds
	reattachBackoff     = 200 * time.Millisecond // added to the wait before each further reconnection; the first does not wait
)

// attempt is one run of a call at one upstream. If its exchange with the companion breaks, it re-attaches to the same
// run over a new one.
type attempt struct {
	address         netip.AddrPort // of the companion
	assembler       *tganswer.Assembler
	call            *call
	ended           bool // the companion's end frame has arrived
	execute         tgframe.Execute
	failedExchanges int       // consecutive exchanges without a frame
	sentAt          time.Time // when sending the execute frame began; zero before
	target          tgroute.Candidate

	// State of the current exchange; exchange is nil if there is none.
	cancel       context.CancelFunc
	ctx          context.Context //nolint:containedctx // ends with the exchange or the call, or when silenceTimer fires
	exchange     tglink.Exchange
	silenceTimer *time.Timer // cancels ctx if opening the exchange or waiting for a frame takes too long
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

// next returns the next part of the answer, re-attaching if the exchange breaks. A failure is final for the attempt.
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

// endFailure returns the failure that an end frame reports, or nil if the answer is complete. A companion that has been
// up since before the attempt was sent and has not seen it proves that the attempt has not run and will not run, since
// the companion refuses it from now on.
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

// connect opens an exchange and sends the execute frame, or an attach frame if the execute frame may have been sent.
// It retries until it succeeds, the call ends or reconnectFailure allows no further exchange.
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
		a.failedExchanges++ // reset when a frame arrives
		if a.openExchange() {
			return nil
		}
		a.call.entry.node.Transport.RetireConnection(a.address)
	}
}

// reconnectFailure returns the failure of an attempt after maxFailedExchanges exchanges without a frame, or nil if
// another exchange may be opened. An attempt that is not idempotent and may have run cannot move to another upstream,
// so the entry re-attaches to it until the call's deadline.
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

// receive processes the next frame, and those behind it that have already arrived.
func (a *attempt) receive() error {
	for range maxFramesPerReceive {
		started := time.Now()
		// The timer runs only while this call waits for a frame. Between calls a slow caller may be taking the parts,
		// which says nothing about the companion.
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

// abandon cancels the attempt at the companion in the background. Attempts that are not idempotent run to their end.
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
			return // the companion cancels an idempotent attempt without a reader by itself
		}
		_ = x.Send(ctx, f)
		_ = x.Close()
	})
}
