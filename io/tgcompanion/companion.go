// Package tgcompanion is the daemon that runs beside an upstream.
package tgcompanion

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgshard"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgupstream"
)

const (
	attemptRetention  = 30 * time.Second // a finished attempt can be attached to for this time
	heartbeatInterval = time.Second
)

// Companion admits and runs the attempts of one upstream.
type Companion struct {
	admission *admission
	attempts  *tgshard.Map[*attempt]
	claims    *tgclaim.Table
	node      *tgnode.Node
	running   conc.WaitGroup
	upstream  string // name in the configuration
	client    *tgupstream.Client
}

// New returns a companion of the upstream with the given name.
func New(node *tgnode.Node, upstream string, client *tgupstream.Client) *Companion {
	return &Companion{
		admission: newAdmission(),
		attempts:  tgshard.NewMap[*attempt](),
		claims:    tgclaim.NewTable(),
		client:    client,
		node:      node,
		upstream:  upstream,
	}
}

// Run serves until ctx ends and all attempts have finished.
func (c *Companion) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.node.Run(ctx) })
	wg.Go(func() { c.followClaims(ctx) })
	err := c.node.Transport.Serve(ctx, c.serve)
	c.running.Wait()
	return err
}

func (c *Companion) serve(ctx context.Context, x tglink.Exchange) {
	f, err := x.Receive(ctx)
	if err != nil {
		return
	}
	switch f.Kind {
	case tgframe.KindAttach:
		a, ok := c.attempts.Get(f.Attach.Attempt.String())
		if !ok {
			c.refuse(ctx, x, tgcall.UnknownFailure(tgcall.CodeRequestUnresolved, "attempt is not known here"))
			return
		}
		c.follow(ctx, x, a, f.Attach.Next)
	case tgframe.KindCancel:
		if a, ok := c.attempts.Get(f.Cancel.Attempt.String()); ok {
			a.cancel()
		}
	case tgframe.KindExecute:
		a := c.start(ctx, f.Execute)
		c.follow(ctx, x, a, uint64(f.Execute.Delivered))
	default:
		c.node.Log.WithField("kind", f.Kind).Warn("unexpected first frame")
	}
}

func (c *Companion) refuse(ctx context.Context, x tglink.Exchange, failure *tgcall.Failure) {
	end := &tgframe.End{Failure: failure, Load: c.load(), Outcome: failure.Outcome}
	_ = x.Send(ctx, tgframe.Frame{End: end, Kind: tgframe.KindEnd, Sender: c.node.Sender()})
}

// start starts the attempt unless it is known already.
func (c *Companion) start(ctx context.Context, e *tgframe.Execute) *attempt {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.Deadline)
	a := newAttempt(e, cancel)
	if old, added := c.attempts.SetIfAbsent(e.Attempt.String(), a); !added {
		cancel()
		return old
	}
	c.running.Go(func() {
		defer cancel()
		c.run(runCtx, a)
		time.AfterFunc(attemptRetention, func() { c.attempts.Delete(e.Attempt.String()) })
	})
	return a
}

// follow sends the frames of a from the chunk next on, with heartbeats, until the end or a lost connection.
func (c *Companion) follow(ctx context.Context, x tglink.Exchange, a *attempt, next uint64) {
	if x.Send(ctx, tgframe.Frame{Kind: tgframe.KindAccepted, Sender: c.node.Sender()}) != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	r := a.reader(next)
	for {
		f, changed := r.Read()
		if f != nil {
			if f.End != nil {
				end := *f.End
				end.Load = c.load()
				f.End = &end
			}
			if x.Send(ctx, *f) != nil || f.Kind == tgframe.KindEnd {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			p := &tgframe.Progress{Load: c.load(), Next: a.buffer.Next(), Running: true}
			if x.Send(ctx, tgframe.Frame{Kind: tgframe.KindProgress, Progress: p}) != nil {
				return
			}
		}
	}
}
