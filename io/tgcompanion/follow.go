package tgcompanion

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglink"
)

const (
	confirmTimeout = 2 * time.Second // wait for an entry to close an exchange after the end frame
	// heartbeatInterval is so short that an entry can treat a connection as silent after three missing heartbeats and
	// still get the first token to its caller within 1.6 s.
	heartbeatInterval = 400 * time.Millisecond
)

// attach continues to send the answer of an attempt to an entry that has lost its connection.
func (c *Companion) attach(ctx context.Context, x tglink.Exchange, f *tgframe.Attach) {
	a, unseen := c.attempts.get(f.Attempt, f.Deadline)
	if a == nil {
		c.refuse(ctx, x, f.Attempt, tgframe.End{
			Failure: tgcall.UnknownFailure(tgcall.CodeAttemptUnknown, "attempt is not known at %q", c.upstream),
			Unseen:  unseen,
		})
		return
	}
	c.sendAnswer(ctx, x, a, f.Next)
}

// refuse answers an exchange with nothing but an end frame that reports a failure.
func (c *Companion) refuse(ctx context.Context, x tglink.Exchange, attempt uuid.UUID, end tgframe.End) {
	end.Load, end.Outcome = c.load(), end.Failure.Outcome
	f := tgframe.Frame{Attempt: attempt, End: &end, Kind: tgframe.KindEnd, Sender: c.node.Sender()}
	if x.Send(ctx, f) == nil {
		awaitConfirmation(ctx, x)
	}
}

// awaitConfirmation waits for the entry to close the exchange, as it does after it has received the end frame, and reports
// whether it did so within confirmTimeout.
func awaitConfirmation(ctx context.Context, x tglink.Exchange) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := x.Receive(ctx)
	return errors.Is(err, io.EOF)
}

// sendAnswer sends the answer of a from the chunk next on, and heartbeats while there is nothing to send, until the end
// of the answer or of the connection.
func (c *Companion) sendAnswer(ctx context.Context, x tglink.Exchange, a *attempt, next uint64) {
	r, ok := a.buffer.NewReader(next)
	if !ok {
		c.refuse(ctx, x, a.execute.Attempt, tgframe.End{Failure: tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete,
			"output of the attempt from part %d is no longer kept", next)})
		return
	}
	defer r.Close()
	c.attempts.addReader(a)
	delivered := false
	defer func() { c.attempts.removeReader(a, delivered) }()

	// An entry that stops reading must not keep the exchange open beyond the attempt's retention.
	sendCtx, cancel := context.WithDeadline(ctx, a.execute.Deadline.Add(attemptRetention))
	defer cancel()
	id := a.execute.Attempt
	sender := c.node.Sender() // sent with the first frame only
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	f := tgframe.Frame{Attempt: id}
	for {
		if r.Read(&f) {
			if f.End != nil {
				end := *f.End
				end.Load = c.load()
				f.End = &end
			}
			f.Sender, sender = sender, nil
			if x.Send(sendCtx, f) != nil {
				return
			}
			if f.Kind == tgframe.KindEnd {
				delivered = awaitConfirmation(ctx, x)
				return
			}
			continue
		}
		select {
		case <-r.Wake():
		case <-sendCtx.Done():
			return
		case <-heartbeat.C:
			p := tgframe.Frame{Attempt: id, Kind: tgframe.KindProgress, Sender: sender}
			if sender != nil {
				p.Kind = tgframe.KindAccepted
			}
			p.Progress = &tgframe.Progress{Load: c.load(), Next: a.buffer.NextSequence(), Running: a.admitted.Load()}
			sender = nil
			if x.Send(sendCtx, p) != nil {
				return
			}
		}
	}
}
