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
	prefillFraction         = 0.2             // of a request's work, saved if its whole prompt is cached
	prefixBlockBytes        = 512             // of a prompt, the unit of the prefix index
	prefixBlocksPerUpstream = 4096            // of an upstream, about 200 KB
	stalledIdleLimit        = 5 * time.Second // without a part from a stalled upstream; shorter pauses are cheaper to wait for
	subsetSize              = 64              // upstreams of a pool that one entry uses
)

// routing is what all calls of an entry share to choose upstreams and to retry.
type routing struct {
	budget             *tgretry.Budget
	cfg                *tgconfig.Config // the configuration that subsets and poolUpstreams are from
	mu                 sync.Mutex
	nextPrefixSequence uint64 // sequence number of the prefix index
	poolUpstreams      map[string][]tgroute.Candidate
	prefixes           *tgprefix.Index
	removalsVersion    uint64 // the version of marks and leaving VMs that they are from
	subsets            map[string][]tgroute.Candidate
}

func newRouting() *routing {
	return &routing{
		budget:   tgretry.NewBudget(tgconfig.DefaultSettings().RetryBudgetRatio),
		prefixes: tgprefix.NewIndex(prefixBlocksPerUpstream),
	}
}

// attemptTiming is when the present attempt of a call began and what it has shown.
type attemptTiming struct {
	firstPartSeen bool
	idle          time.Duration // waited for frames since the last chunk, or since it was last known to wait in a queue
	start         time.Time
	target        tgroute.Candidate
}

// candidates returns the usable upstreams of a pool: all for the home of an idempotency key, on which all entries must
// agree, and this entry's subset for other requests.
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

// recordPrompt notes that an upstream has the prompt of a request in its cache.
func (r *routing) recordPrompt(upstream string, blocks []tgprefix.Block) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.Apply(upstream, tgprefix.Event{Sequence: r.nextPrefixSequence, Stored: blocks})
	r.nextPrefixSequence++
}

// choose returns the upstream of the next attempt.
func (l *call) choose() (tgroute.Candidate, bool) {
	target, ok := l.nextTarget()
	l.timing = attemptTiming{start: time.Now(), target: target}
	return target, ok
}

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

// observe takes the evidence of a frame for which this call waited the given time.
func (l *call) observe(target tgroute.Candidate, f *tgframe.Frame, waited time.Duration) {
	router := l.entry.router
	l.entry.node.ObserveSender(f.Sender)
	l.timing.idle += waited                     // a caller that is slow to take the parts is no idle upstream
	if f.Chunk != nil && l.execute.Idempotent { // others are not counted as sent by the router
		l.timing.idle = 0
		if !l.timing.firstPartSeen {
			l.timing.firstPartSeen = true
			router.RecordAttempt(target.Name, tgroute.Observation{FirstToken: time.Since(l.timing.start)})
		} else if l.execute.Stream { // only the time waited here: the caller may be slow to take the parts
			router.RecordAttempt(target.Name, tgroute.Observation{Gap: waited})
		}
	}
	if f.End != nil {
		router.RecordLoad(target.Name, f.End.Load)
	}
	if f.Progress != nil {
		router.RecordLoad(target.Name, f.Progress.Load)
		if !f.Progress.Running { // the wait in the queue is no evidence of a slow upstream
			l.timing.start = time.Now()
			l.timing.idle = 0
		}
	}
}

// shouldLeaveStalled reports whether the call is better resumed at another upstream. Heartbeats go on while an engine
// stands still, so silence does not show it.
func (l *call) shouldLeaveStalled() bool {
	return l.execute.Idempotent && l.timing.idle > stalledIdleLimit &&
		l.entry.router.Excluded(l.timing.target.Name) == tgroute.Stalled
}

// prepareRetry takes the evidence of a failed attempt and reports whether another one is allowed; it waits before it
// allows one that is paid from the budget.
func (l *call) prepareRetry(failure *tgcall.Failure) bool {
	e := l.entry
	switch failure.Code {
	case tgcall.CodeAnswerIncomplete, tgcall.CodeUpstreamFailed, tgcall.CodeUpstreamLost, tgcall.CodeUpstreamUnreachable:
		e.router.RecordAttempt(l.timing.target.Name, tgroute.Observation{Failed: true})
		e.routing.prefixes.Forget(l.timing.target.Name) // it may have restarted
	default:
	}
	// Other upstreams of the pool need the same log, and only the home upstream can tell whether an earlier call ran.
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
