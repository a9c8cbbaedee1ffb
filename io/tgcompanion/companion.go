// Package tgcompanion has the companion: the daemon that runs beside an upstream, admits the attempts that entries send
// and runs them there.
package tgcompanion

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgupstream"
)

// Companion admits and runs the attempts of one upstream.
type Companion struct {
	admission     *admission
	attempts      *registry
	claims        poolClaimer
	client        *tgupstream.Client
	decisions     tgcall.Decisions
	draining      atomic.Bool // set when the companion stops; new attempts are refused
	membership    membership
	node          *tgnode.Node
	pendingClaims atomic.Int64   // attempts that wait for a claim
	running       conc.WaitGroup // attempts
	startedAt     time.Time
	upstream      string // name in the configuration
}

// New returns a companion of the upstream with the given name.
func New(node *tgnode.Node, upstream string, client *tgupstream.Client) *Companion {
	return &Companion{
		admission: newAdmission(),
		attempts:  newRegistry(),
		client:    client,
		node:      node,
		startedAt: time.Now(),
		upstream:  upstream,
	}
}

// Run serves until ctx ends, then finishes the attempts in flight. The node, the claims and the transport run until that
// is done, so that entries can re-attach and answers are delivered and recorded.
func (c *Companion) Run(ctx context.Context) error {
	lastCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.node.Run(lastCtx) })
	wg.Go(func() { c.RunBackground(lastCtx) })
	done := make(chan error, 1)
	wg.Go(func() { done <- c.node.Transport.Serve(lastCtx, c.Handle) })
	var err error
	select {
	case err = <-done:
		stop()
	case <-ctx.Done():
		c.drain()
		stop()
		err = <-done
	}
	c.running.Wait()
	return err
}

// RunBackground runs the claimer of the upstream's pool and the upstream's part of its rank group until ctx ends.
func (c *Companion) RunBackground(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.runClaimers(ctx) })
	wg.Go(func() { c.runGroup(ctx) })
}

// Handle serves one exchange that an entry opened.
func (c *Companion) Handle(ctx context.Context, x tglink.Exchange) {
	f, err := x.Receive(ctx)
	if err != nil {
		return
	}
	c.node.ObserveSender(f.Sender)
	switch {
	case f.Kind == tgframe.KindAttach && f.Attach != nil:
		c.attach(ctx, x, f.Attach)
	case f.Kind == tgframe.KindCancel && f.Cancel != nil:
		// If the attempt has not arrived yet, get refuses its ID, so that it will not run.
		if a, _ := c.attempts.get(f.Cancel.Attempt, f.Cancel.Deadline); a != nil && a.execute.Idempotent {
			a.cancel(errCancelled)
		}
	case f.Kind == tgframe.KindExecute && f.Execute != nil:
		a, failure := c.start(ctx, f.Execute)
		if failure != nil {
			c.refuse(ctx, x, f.Execute.Attempt, tgframe.End{Failure: failure})
			return
		}
		c.sendAnswer(ctx, x, a, uint64(f.Execute.DeliveredEvents))
	case f.Kind == tgframe.KindRank && f.Rank != nil:
		c.serveRank(ctx, x, f.Rank)
	default:
		if !c.node.HandleControl(ctx, x, f) {
			c.node.Log.WithField("kind", f.Kind).Warn("unexpected first frame")
		}
	}
}

// start starts an attempt, or returns the one that already has its ID.
func (c *Companion) start(ctx context.Context, e *tgframe.Execute) (*attempt, *tgcall.Failure) {
	deadlineCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), e.Deadline)
	runCtx, cancel := context.WithCancelCause(deadlineCtx)
	release := func() {
		cancel(nil)
		stop()
	}
	a, added, refused := c.attempts.start(newAttempt(e, cancel), &c.draining)
	if !added {
		release()
	}
	switch {
	case refused:
		return nil, c.recordDecision(e, tgcall.NotRunFailure(tgcall.CodeAttemptUnknown, "attempt was given up before it arrived"))
	case a == nil:
		return nil, c.recordDecision(e, tgcall.NotRunFailure(tgcall.CodeDraining, "companion of %q is stopping", c.upstream).
			WithRetryAfter(time.Second))
	case added:
		c.running.Go(func() {
			defer release()
			defer c.attempts.finish(a)
			c.run(runCtx, a)
			if end := a.buffer.End(); end != nil {
				_ = c.recordDecision(e, end.Failure)
			}
		})
	}
	return a, nil
}

// recordDecision adds the result of an attempt to the decisions in the state dump. It returns failure, which is nil for
// an attempt that was answered.
func (c *Companion) recordDecision(e *tgframe.Execute, failure *tgcall.Failure) *tgcall.Failure {
	c.decisions.Add(tgcall.Decision{Outcome: tgcall.Answered, Request: e.RequestID, Upstream: c.upstream}, failure)
	return failure
}
