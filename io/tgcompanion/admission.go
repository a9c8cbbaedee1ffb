package tgcompanion

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgadmit"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgqueue"
)

const bytesPerToken = 4 // of a prompt, roughly; only changes of the prefill rate matter

// maxQueueWait are the longest waits in the queue. A live call must begin within 1.6 s, of which the first token takes
// about 0.3 s; a refusal in time lets the entry try elsewhere.
var maxQueueWait = map[tgcall.Priority]time.Duration{
	tgcall.Bulk:     15 * time.Second,
	tgcall.Live:     time.Second,
	tgcall.Standard: 4 * time.Second,
}

// admission is the limit of the upstream and the queue before it.
type admission struct {
	admittedTokens atomic.Int64                    // expected tokens of admitted attempts
	cfg            atomic.Pointer[tgconfig.Config] // the configuration applied last
	limiter        *tgadmit.Limiter
	mu             sync.Mutex // held while queued attempts are admitted, so that no free place is missed
	queue          *tgqueue.Queue[*waiter]
}

// waiter is an attempt in the queue; it receives one decision.
type waiter struct {
	decision chan *tgqueue.Refusal // nil if admitted
}

func newAdmission() *admission {
	defaults := tgconfig.DefaultSettings()
	return &admission{
		limiter: tgadmit.NewLimiter(defaults.ColdConcurrency, defaults.WarmConcurrency),
		queue: tgqueue.NewQueue(defaults.MaxQueued, func(w *waiter, r tgqueue.Refusal) {
			w.decision <- &r
		}, tgqueue.WithWaitBounds(maxQueueWait)),
	}
}

// admitQueued admits queued attempts while the limit allows it.
func (a *admission) admitQueued() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.queue.Len() > 0 && a.limiter.TryAcquire() {
		if w, ok := a.queue.Pop(); ok {
			w.decision <- nil
		} else {
			a.limiter.Release(tgadmit.Sample{})
		}
	}
}

// wait returns when the attempt is admitted or will not be; then it returns the reason.
func (a *admission) wait(ctx context.Context, r tgqueue.Request) (*tgqueue.Refusal, error) {
	w := &waiter{decision: make(chan *tgqueue.Refusal, 1)}
	ticket, refusal := a.queue.Push(r, w)
	if refusal != nil {
		return refusal, nil
	}
	a.admitQueued()
	timer := time.NewTimer(time.Until(ticket.Deadline()))
	defer timer.Stop()
	select {
	case refusal = <-w.decision:
		return refusal, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if a.queue.Remove(ticket) {
		return &tgqueue.Refusal{Reason: tgqueue.ReasonDeadline, RetryAfter: time.Second}, ctx.Err()
	}
	if refusal = <-w.decision; refusal == nil && ctx.Err() != nil {
		a.release(tgadmit.Sample{})
		return nil, ctx.Err()
	}
	return refusal, ctx.Err()
}

func (a *admission) release(s tgadmit.Sample) {
	a.limiter.Release(s)
	a.admitQueued()
}

// admit waits until the upstream can take the attempt; release ends it and takes its evidence.
func (c *Companion) admit(
	ctx context.Context, e *tgframe.Execute,
) (release func(tgadmit.Sample), failure *tgcall.Failure) {
	c.configureAdmission()
	priority := e.Priority
	if e.DeliveredEvents > 0 { // a caller has the beginning of the answer
		priority = tgcall.Live
	}
	refusal, err := c.admission.wait(ctx, tgqueue.Request{
		Account: e.Account, Deadline: e.Deadline, Priority: priority,
		Weight: c.node.Config().Accounts[e.Account].Share, Work: e.ExpectedTokens,
	})
	switch {
	case errors.Is(err, context.Canceled):
		return nil, tgcall.NotRunFailure(tgcall.CodeCancelled, "cancelled before it was run")
	case err != nil:
		return nil, tgcall.NotRunFailure(tgcall.CodeDeadlineExceeded, "deadline passed before the request was run")
	case refusal != nil:
		return nil, tgcall.NotRunFailure(tgcall.CodeOverloaded, "upstream %q is at its limit (%s)", c.upstream, refusal.Reason).
			WithRetryAfter(refusal.RetryAfter)
	}
	c.admission.admittedTokens.Add(int64(e.ExpectedTokens))
	return func(s tgadmit.Sample) {
		c.admission.admittedTokens.Add(-int64(e.ExpectedTokens))
		s.Cancelled = errors.Is(ctx.Err(), context.Canceled)
		s.Work = e.ExpectedTokens
		if !e.Stream { // the parts of a body are no tokens
			s.FirstToken, s.Tokens = 0, 0
		}
		c.admission.release(s)
	}, nil
}

// configureAdmission applies the accepted configuration.
func (c *Companion) configureAdmission() {
	cfg := c.node.Config()
	if c.admission.cfg.Swap(cfg) == cfg {
		return // a configuration is never modified, and the search for the group is long
	}
	group, _, _ := groupOf(cfg, c.upstream)
	lockStep := group != ""
	c.admission.limiter.Configure(cfg.Settings.ColdConcurrency, cfg.Settings.WarmConcurrency, lockStep)
	c.admission.queue.SetCapacity(cfg.Settings.MaxQueued)
}

// progressObserver returns what takes the evidence of a running attempt.
func (c *Companion) progressObserver(e *tgframe.Execute) func(tgadmit.Progress) {
	return func(p tgadmit.Progress) {
		if p.FirstToken > 0 {
			p.Prompt = len(e.Body) / bytesPerToken
		}
		c.admission.limiter.Observe(p)
		if c.admission.queue.Len() > 0 {
			c.admission.admitQueued()
		}
	}
}

// load returns the load report that goes to entries.
func (c *Companion) load() tgframe.Load {
	a := c.admission
	return tgframe.Load{
		InFlight: a.limiter.InFlight(), Limit: a.limiter.Limit(), Queued: a.queue.Len(),
		Work: int(a.admittedTokens.Load()) + a.queue.Work(),
	}
}
