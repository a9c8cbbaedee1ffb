package tgentry

import (
	"slices"
	"sync"
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgprefix"
	"tanagergrade/core/tgretry"
	"tanagergrade/core/tgroute"
	"tanagergrade/io/tgnode"
)

const (
	prefillFraction         = 0.2  // fraction of a request's work that is saved if its whole prompt is cached
	prefixBlockBytes        = 512  // size of the prompt blocks that the prefix index counts
	prefixBlocksPerUpstream = 4096 // blocks that the prefix index keeps for each upstream, in about 200 KB of memory
	// stalledIdleLimit is how long a call waits for a part from a stalled upstream before it moves to another one.
	// Waiting out a shorter pause costs less than a move.
	stalledIdleLimit = 5 * time.Second
	subsetSize       = 64 // upstreams of a pool that one entry uses
)

// routing is the state that all calls of an entry share to choose upstreams and to retry. budget and prefixes have locks
// of their own; mu guards the other fields.
type routing struct {
	budget             *tgretry.Budget
	cfg                *tgconfig.Config // from which poolUpstreams and subsets were computed
	mu                 sync.Mutex
	nextPrefixSequence uint64                         // number of the next event for prefixes
	poolUpstreams      map[string][]tgroute.Candidate // all usable upstreams, by pool
	prefixes           *tgprefix.Index
	removalsVersion    uint64                         // version of marks and leaving VMs from which the maps were computed
	subsets            map[string][]tgroute.Candidate // the usable upstreams that this entry uses, by pool
}

func newRouting() *routing {
	return &routing{
		budget:   tgretry.NewBudget(tgconfig.DefaultSettings().RetryBudgetRatio),
		prefixes: tgprefix.NewIndex(prefixBlocksPerUpstream),
	}
}

// attemptTiming holds the times of a call's current attempt that are evidence about its upstream.
type attemptTiming struct {
	firstPartSeen bool          // the time to the first chunk has been reported to the router
	idle          time.Duration // waited for frames since the last chunk, or since the attempt was last known to be queued
	start         time.Time     // of the attempt, or when it was last known to be queued
	target        tgroute.Candidate
}

// candidates returns the usable upstreams of a pool: every one of them if all is set, otherwise this entry's subset.
// Requests with an idempotency key need all, since all entries must agree on the home upstream of a key.
func (r *routing) candidates(node *tgnode.Node, pool string, all bool) []tgroute.Candidate {
	cfg, removals := node.Config(), node.RemovalVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg != cfg || r.removalsVersion != removals {
		r.removalsVersion = removals
		r.cfg, r.poolUpstreams, r.subsets = cfg, map[string][]tgroute.Candidate{}, map[string][]tgroute.Candidate{}
		r.budget.SetRatio(cfg.Settings.RetryBudgetRatio)
		for name, u := range cfg.Upstreams {
			if node.Usable(name) {
				c := tgroute.Candidate{DataCentre: u.DataCentre, Name: name, Pool: u.Pool}
				r.poolUpstreams[u.Pool] = append(r.poolUpstreams[u.Pool], c)
			}
		}
		for name, upstreams := range r.poolUpstreams {
			r.subsets[name] = tgroute.Subset(nil, node.Settings.Name, upstreams, subsetSize)
		}
	}
	if all {
		return r.poolUpstreams[pool]
	}
	return r.subsets[pool]
}

// recordPrompt adds the blocks of a prompt to the estimated prefix cache of the upstream to which the request is sent.
func (r *routing) recordPrompt(upstream string, blocks []tgprefix.Block) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.Apply(upstream, tgprefix.Event{Sequence: r.nextPrefixSequence, Stored: blocks})
	r.nextPrefixSequence++
}

// choose selects the upstream of the next attempt and starts the attempt's timing. It returns false if none is left.
func (l *call) choose() (tgroute.Candidate, bool) {
	target, ok := l.nextTarget()
	l.timing = attemptTiming{start: time.Now(), target: target}
	return target, ok
}

// nextTarget selects an upstream: for a request with an idempotency key the first untried one in the key's rendezvous
// order, otherwise the router's choice, which for a model pool considers the prefix caches.
func (l *call) nextTarget() (tgroute.Candidate, bool) {
	e := l.entry
	if len(l.triedUpstreams) == 0 {
		e.routing.budget.Deposit()
	}
	cfg := e.node.Config()
	candidates := e.routing.candidates(e.node, l.execute.Pool, !l.execute.Idempotent)
	if !l.execute.Idempotent {
		untried := slices.DeleteFunc(slices.Clone(candidates), func(c tgroute.Candidate) bool { return l.triedUpstreams[c.Name] })
		return tgroute.RendezvousFirst(untried, l.execute.IdempotencyKey)
	}
	candidates = tgroute.Untried(candidates, l.triedUpstreams)
	if cfg.Pools[l.execute.Pool].Kind != tgconfig.ModelPool {
		return e.router.Choose(candidates)
	}
	blocks := tgprefix.Blocks(l.execute.Body, prefixBlockBytes)
	target, ok := e.router.ChooseWithCacheGain(candidates, func(name string) float64 {
		n, confidence := e.routing.prefixes.Match(name, blocks)
		return prefillFraction * confidence * float64(n) / float64(len(blocks)+1)
	})
	if ok && len(blocks) > 0 {
		e.routing.recordPrompt(target.Name, blocks)
	}
	return target, ok
}

// observe reports a frame, for which this call waited the given time, to the router as evidence about the upstream.
func (l *call) observe(target tgroute.Candidate, f *tgframe.Frame, waited time.Duration) {
	router := l.entry.router
	l.entry.node.ObserveSender(f.Sender)
	l.timing.idle += waited                     // excludes the time that a slow caller takes between parts
	if f.Chunk != nil && l.execute.Idempotent { // the router does not count other attempts as sent
		l.timing.idle = 0
		if !l.timing.firstPartSeen {
			l.timing.firstPartSeen = true
			router.RecordAttempt(target.Name, tgroute.Observation{FirstToken: time.Since(l.timing.start)})
		} else if l.execute.Stream { // only the time waited here, since the caller may be slow to take the parts
			router.RecordAttempt(target.Name, tgroute.Observation{Gap: waited})
		}
	}
	if f.End != nil {
		router.RecordLoad(target.Name, f.End.Load)
	}
	if f.Progress != nil {
		router.RecordLoad(target.Name, f.Progress.Load)
		if !f.Progress.Running { // waiting in the companion's queue is no evidence of a slow upstream
			l.timing.start = time.Now()
			l.timing.idle = 0
		}
	}
}

// shouldLeaveStalled reports whether the call should be resumed at another upstream because the current one has stalled.
// The companion sends heartbeats even while its engine makes no progress, so the silence timeout does not detect this.
func (l *call) shouldLeaveStalled() bool {
	return l.execute.Idempotent && l.timing.idle > stalledIdleLimit &&
		l.entry.router.Excluded(l.timing.target.Name) == tgroute.Stalled
}

// prepareRetry reports a failed attempt to the router and returns whether another attempt is allowed. Before a retry
// that is paid from the budget it waits for the backoff.
func (l *call) prepareRetry(failure *tgcall.Failure) bool {
	e := l.entry
	switch failure.Code {
	case tgcall.CodeAnswerIncomplete, tgcall.CodeUpstreamFailed, tgcall.CodeUpstreamLost, tgcall.CodeUpstreamUnreachable:
		e.router.RecordAttempt(l.timing.target.Name, tgroute.Observation{Failed: true})
		e.routing.prefixes.Forget(l.timing.target.Name) // the upstream may have restarted with an empty cache
	default:
	}
	// After CodeLogUnavailable a retry elsewhere would fail too: the other upstreams of the pool need the same log, and
	// only the home upstream can tell whether an earlier call ran.
	if l.ctx.Err() != nil || failure.Code == tgcall.CodeLogUnavailable {
		return false
	}
	switch e.routing.budget.AfterFailure(failure, l.execute.Idempotent, l.nextChunk > 0) {
	case tgretry.Redirect:
		return true
	case tgretry.Retry:
	default:
		return false
	}
	l.sleep(e.routing.budget.Backoff(len(l.triedUpstreams) - 1))
	return l.ctx.Err() == nil
}
