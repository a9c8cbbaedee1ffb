package tgrank

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgmapchange"
)

// Guards against a result of a change that has ended which reaches the recovery after it: with fewer ranks in the group, the
// leader ended with an index out of range; with as many, a rank could count as fenced that was not.
func TestResultReachesItsOwnerOnly(t *testing.T) {
	now := time.Now()
	l := NewLeader()
	l.term = 5
	former := tgmapchange.NewRecovery(4, 1, tgmapchange.Predecessor{Rank: -1})
	g := newGroup("g", "vm0", 2, tgcatalog.Engine{Sets: 1, Experts: 4})
	g.recovery = tgmapchange.NewRecovery(2, 2, tgmapchange.Predecessor{Rank: -1})
	l.groups["g"] = g
	ranks := []tgmapchange.RankState{{Epoch: 2, Open: true, Seen: now}, {Epoch: 2, Open: true, Seen: now}}
	before := g.recovery.NextOrders(ranks, now)
	assert.Assert(t, len(before) > 0)
	for _, rank := range []int{0, 1, 3} {
		l.results.add(result{
			group: "g", order: tgmapchange.Order{Operation: before[0].Operation, Rank: rank}, owner: former,
			result: tgmapchange.ResultDone, term: 5,
		})
	}
	l.handleResults()
	assert.Equal(t, len(g.recovery.NextOrders(ranks, now)), 0, "results of another recovery count as answers to its orders")
	l.results.add(result{group: "g", order: before[0], owner: g.recovery, result: tgmapchange.ResultUnknown, term: 5})
	l.handleResults()
	assert.Assert(t, slices.ContainsFunc(g.recovery.NextOrders(ranks, now.Add(time.Second)), func(o tgmapchange.Order) bool {
		return o.Rank == before[0].Rank
	}), "its own result was dropped")
}

// Guards against results that are dropped when many wait: their ranks got no further order in that change.
func TestAllResultsAreKept(t *testing.T) {
	q := newResultQueue()
	for i := range 1000 {
		q.add(result{order: tgmapchange.Order{Rank: i}})
	}
	<-q.added
	taken := q.take()
	assert.Equal(t, len(taken), 1000)
	assert.Equal(t, taken[999].order.Rank, 999)
	assert.Equal(t, len(q.take()), 0)
}

// panicLog counts the panics that are logged.
type panicLog struct {
	silentLog

	mu     sync.Mutex
	panics int // guarded by mu
}

// Line implements Log.
func (p *panicLog) Line(message string, _ map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if message == "panic" {
		p.panics++
	}
}

// Guards against a leader whose loop has panicked but which renews its session, so that nobody leads until its process ends.
func TestPanicEndsTerm(t *testing.T) {
	log := &panicLog{}
	var once sync.Once
	f := newFleet(t, func(l *Leader) {
		profile := l.EngineProfile
		l.Log = log
		l.EngineProfile = func(pool string) (tgcatalog.Engine, bool) {
			if l.term != 0 {
				once.Do(func() { panic("odd report") })
			}
			return profile(pool)
		}
	})
	f.waitFor(t, "a change of the map", func() bool { return f.version() != 0 })
	log.mu.Lock()
	assert.Equal(t, log.panics, 1)
	log.mu.Unlock()
	f.election.mu.Lock()
	defer f.election.mu.Unlock()
	assert.Assert(t, f.election.token > 1, "the term after the panic has the token of the one before")
}
