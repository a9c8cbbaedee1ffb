package tgcompanion

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgadmission"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgqueue"
)

// bytesPerToken is a rough estimate for prompts. That is enough, since only changes of the prefill rate matter.
const bytesPerToken = 4

// maxQueueWait bounds the wait in the queue by priority. A live call must begin within 1.6 s, of which the first token
// takes about 0.3 s; a refusal within the bound leaves the entry time to try another upstream.
var maxQueueWait = map[tgcall.Priority]time.Duration{
	tgcall.Bulk:     15 * time.Second,
	tgcall.Live:     time.Second,
	tgcall.Standard: 4 * time.Second,
}

// admission limits the attempts in flight at the upstream and queues those beyond the limit.
type admission struct {
	admittedTokens atomic.Int64                    // expected tokens of admitted attempts
	cfg            atomic.Pointer[tgconfig.Config] // the configuration that configureAdmission applied last
	limiter        *tgadmission.Limiter
	mu             sync.Mutex // held by admitQueued, so that concurrent calls leave no free place unused
	queue          *tgqueue.Queue[*waiter]
}

// waiter is an attempt in the queue.
type waiter struct {
	decision chan *tgqueue.Refusal // receives exactly one value: the refusal, or nil if the attempt is admitted
}

func newAdmission() *admission {
	defaults := tgconfig.DefaultSettings()
	return &admission{
		limiter: tgadmission.NewLimiter(defaults.ColdConcurrency, defaults.WarmConcurrency),
		queue: tgqueue.NewQueue(defaults.MaxQueued, func(w *waiter, r tgqueue.Refusal) {
			w.decision <- &r
		}, tgqueue.WithWaitBounds(maxQueueWait)),
	}
}

// admitQueued admits queued attempts up to the limit.
func (a *admission) admitQueued() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.queue.Len() > 0 && a.limiter.TryAcquire() {
		if w, ok := a.queue.Pop(); ok {
			w.decision <- nil
		} else {
			a.limiter.Release(tgadmission.Sample{})
		}
	}
}

// wait queues an attempt until it is admitted, and then returns neither a refusal nor an error; the attempt must be ended
// with release. Otherwise it returns why the attempt is not run: a refusal, the error of ctx if ctx has ended, or both.
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
		a.release(tgadmission.Sample{})
		return nil, ctx.Err()
	}
	return refusal, ctx.Err()
}

// release ends an admitted attempt and admits queued ones in its place.
func (a *admission) release(s tgadmission.Sample) {
	a.limiter.Release(s)
	a.admitQueued()
}

// admit waits until the attempt is admitted. The caller must end an admitted attempt with release, which also reports
// its sample to the limiter.
func (c *Companion) admit(
	ctx context.Context, e *tgframe.Execute,
) (release func(tgadmission.Sample), failure *tgcall.Failure) {
	c.configureAdmission()
	priority := e.Priority
	if e.DeliveredEvents > 0 { // the caller already has the beginning of the answer
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
	return func(s tgadmission.Sample) {
		c.admission.admittedTokens.Add(-int64(e.ExpectedTokens))
		s.Cancelled = errors.Is(ctx.Err(), context.Canceled)
		s.Work = e.ExpectedTokens
		if !e.Stream { // the chunks of a body that is not streamed do not correspond to tokens
			s.FirstToken, s.Tokens = 0, 0
		}
		c.admission.release(s)
	}, nil
}

// configureAdmission applies the limits of the accepted configuration if it has changed.
func (c *Companion) configureAdmission() {
	cfg := c.node.Config()
	if c.admission.cfg.Swap(cfg) == cfg {
		return // a published configuration is never modified, and the search for the group is slow
	}
	group, _, _ := groupOf(cfg, c.upstream)
	lockStep := group != ""
	c.admission.limiter.Configure(cfg.Settings.ColdConcurrency, cfg.Settings.WarmConcurrency, lockStep)
	c.admission.queue.SetCapacity(cfg.Settings.MaxQueued)
}

// progressObserver returns a function that reports the progress of a running attempt to the limiter.
func (c *Companion) progressObserver(e *tgframe.Execute) func(tgadmission.Progress) {
	return func(p tgadmission.Progress) {
		if p.FirstToken > 0 {
			p.Prompt = len(e.Body) / bytesPerToken
		}
		c.admission.limiter.Observe(p)
		if c.admission.queue.Len() > 0 {
			c.admission.admitQueued()
		}
	}
}

// load returns the load report that is sent to entries.
func (c *Companion) load() tgframe.Load {
	a := c.admission
	return tgframe.Load{
		InFlight: a.limiter.InFlight(), Limit: a.limiter.Limit(), Queued: a.queue.Len(),
		Work: int(a.admittedTokens.Load()) + a.queue.Work(),
	}
}
