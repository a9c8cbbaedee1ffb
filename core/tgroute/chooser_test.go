package tgroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
)

type fixture struct {
	*Router
	candidates []Candidate
	clock      time.Time
}

func newFixture(n int) *fixture {
	f := &fixture{clock: time.Unix(0, 0)}
	f.Router = NewRouter("a", WithClock(func() time.Time { return f.clock }), WithRand(rand.New(rand.NewPCG(1, 1))))
	for i := range n {
		f.candidates = append(f.candidates, Candidate{DataCentre: "abc"[i%3 : i%3+1], Name: strconv.Itoa(i)})
	}
	return f
}

// answer sends n sequential requests, each answered with the given time to the first token, and counts them by upstream.
func (f *fixture) answer(n int, first func(name string) time.Duration) map[string]int {
	counts := map[string]int{}
	for range n {
		c, _ := f.Choose(f.candidates)
		counts[c.Name]++
		f.RecordAttempt(c.Name, Observation{FirstToken: first(c.Name)})
		f.clock = f.clock.Add(20 * time.Millisecond)
		f.RecordLoad(c.Name, tgframe.Load{Limit: 16})
		f.Done(c.Name, true)
	}
	return counts
}

func usual(string) time.Duration { return 300 * time.Millisecond }

// Guards against a slow upstream that keeps its share of the requests, and against one that never gets it back.
func TestSlowUpstreamIsExcludedAndReturns(t *testing.T) {
	f := newFixture(12)
	f.answer(600, usual)
	slow := func(name string) time.Duration {
		if name == "3" {
			return 3 * time.Second
		}
		return usual(name)
	}
	counts := f.answer(3000, slow)
	assert.Assert(t, counts["3"] > 2 && counts["3"] < 30, counts["3"])
	assert.Equal(t, f.Excluded("3"), Slow)
	f.answer(3000, usual)
	assert.Equal(t, f.Excluded("3"), Reason(""))
	assert.Assert(t, f.answer(1200, usual)["3"] > 50)
}

// Guards against mistaking load for slow upstreams, which would exclude most of them.
func TestAtMostAThirdIsExcludedAsSlow(t *testing.T) {
	f := newFixture(12)
	f.answer(600, usual)
	f.answer(3000, func(name string) time.Duration {
		if name < "7" {
			return 5 * time.Second
		}
		return usual(name)
	})
	n := 0
	for _, c := range f.candidates {
		if f.Excluded(c.Name) == Slow {
			n++
		}
	}
	assert.Assert(t, n <= 4, n)
}

// Guards against sending work to upstreams that have fallen silent, stalled or failed.
func TestUnresponsiveUpstreamsAreExcluded(t *testing.T) {
	rows := []struct {
		name   string
		during func(f *fixture, name string)
		want   Reason
	}{
		{"failed", func(f *fixture, name string) { f.RecordAttempt(name, Observation{Failed: true}) }, Failed},
		{"silent", func(*fixture, string) {}, Silent},
		{"stalled", func(f *fixture, name string) { f.RecordLoad(name, tgframe.Load{Limit: 16}) }, Stalled},
		{"works", func(f *fixture, name string) { f.RecordAttempt(name, Observation{Gap: 20 * time.Millisecond}) }, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFixture(12)
			c, _ := f.Choose(f.candidates)
			f.RecordAttempt(c.Name, Observation{FirstToken: usual("")})
			for range 20 {
				f.clock = f.clock.Add(100 * time.Millisecond)
				row.during(f, c.Name)
			}
			others, _ := f.Choose(f.candidates)
			f.Done(others.Name, false)
			assert.Equal(t, f.Excluded(c.Name), row.want)
			f.Done(c.Name, true)
			f.clock = f.clock.Add(time.Minute)
			f.answer(600, usual)
			assert.Equal(t, f.Excluded(c.Name), Reason(""))
		})
	}
}

// Guards against mistaking a queue for a stall: attempts wait there after other attempts have ended.
func TestQueuedAttemptsAreNotStalled(t *testing.T) {
	f := newFixture(3)
	load := tgframe.Load{InFlight: 16, Limit: 16, Queued: 1}
	first, _ := f.Choose(f.candidates)
	f.candidates = []Candidate{first}
	_, _ = f.Choose(f.candidates)
	f.RecordAttempt(first.Name, Observation{FirstToken: usual("")})
	f.Done(first.Name, true)
	for range 15 {
		f.clock = f.clock.Add(time.Second)
		f.RecordLoad(first.Name, load)
		_, _ = f.Choose(f.candidates)
		assert.Equal(t, f.Excluded(first.Name), Reason(""))
	}
}

// Guards against finding no upstream while all are excluded, and against a choice without candidates.
func TestAllExcluded(t *testing.T) {
	f := newFixture(3)
	for _, c := range f.candidates {
		f.RecordAttempt(c.Name, Observation{Failed: true})
	}
	_, ok := f.Choose(f.candidates)
	assert.Assert(t, ok)
	_, ok = f.Choose(nil)
	assert.Assert(t, !ok)
}

// Guards against a returning data centre that at once gets the load that it had before it left.
func TestReturningDataCentreIsRampedUp(t *testing.T) {
	f := newFixture(12)
	f.answer(600, usual)
	all := f.candidates
	f.candidates = slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.DataCentre == "a" })
	f.answer(300, usual)
	f.candidates = all
	sent := map[string]int{}
	for range 40 {
		c, _ := f.Choose(f.candidates)
		sent[c.DataCentre]++
	}
	assert.Assert(t, sent["a"] <= 8, sent)
}

// Guards against cache affinity or locality that overloads an upstream.
func TestGainAndLocalityYieldToLoad(t *testing.T) {
	f := newFixture(12)
	for _, c := range f.candidates {
		f.RecordLoad(c.Name, tgframe.Load{Limit: 16})
	}
	for range 20 {
		c, _ := f.Choose(f.candidates)
		assert.Equal(t, c.DataCentre, "a")
	}
	sent := map[string]int{}
	for range 96 {
		c, _ := f.ChooseWithCacheGain(f.candidates, func(name string) float64 {
			if name == "1" {
				return 0.75
			}
			return 0
		})
		sent[c.Name]++
	}
	assert.Assert(t, sent["1"] > 8 && sent["1"] <= 16, sent)
	for name, n := range sent {
		assert.Assert(t, n <= 16, "%s %d", name, n)
	}
}

// Guards against upstreams that no entry uses, against uneven use, and against large changes of the subsets when a member
// joins. The sizes are a fifth of the design's, in the same proportion.
func TestSubset(t *testing.T) {
	entries, upstreams := make([]string, 0, 141), make([]Candidate, 0, 1341)
	for i := range 140 {
		entries = append(entries, fmt.Sprint("entry-", i))
	}
	for i := range 1340 {
		upstreams = append(upstreams, Candidate{DataCentre: strconv.Itoa(i % 7), Name: fmt.Sprint("u-", i)})
	}
	used := map[string]int{}
	for _, e := range entries {
		s := Subset(entries, e, upstreams, 64)
		assert.Assert(t, len(s) <= 70, len(s))
		for _, c := range s {
			used[c.Name]++
		}
	}
	assert.Equal(t, len(used), len(upstreams))
	for name, n := range used {
		assert.Assert(t, n >= 6 && n <= 9, "%s is used by %d", name, n)
	}
	changed := func(entries []string, upstreams []Candidate) float64 {
		n := 0
		for _, e := range entries[:100] {
			before := Subset(entries[:140], e, upstreams[:1340], 64)
			for _, c := range Subset(entries, e, upstreams, 64) {
				if !slices.Contains(before, c) {
					n++
				}
			}
		}
		return float64(n) / 100
	}
	withUpstream := append(slices.Clone(upstreams), Candidate{DataCentre: "0", Name: "new"})
	withEntry := append(slices.Clone(entries), "new")
	assert.Assert(t, changed(entries, withUpstream) <= 1)
	assert.Assert(t, changed(withEntry, upstreams) <= 8)
}
