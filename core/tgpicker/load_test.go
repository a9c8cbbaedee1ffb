package tgpicker

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
)

// loadReplay replays streams of several entries to a group of engines whose loads are told to them at intervals.
type loadReplay struct {
	counted  time.Time
	engines  []tgcatalog.Upstream
	inFlight []int
	index    map[string]int // of an engine, by ID
	told     []int          // inFlight at counted
}

const (
	replayEngines  = 64
	replayEntries  = 17
	replayInterval = 200 * time.Millisecond // between counts that are told
	replayRate     = 230                    // streams a second over all entries
	replayTime     = 20 * time.Second
)

// replayStream is a stream in progress.
type replayStream struct {
	choice *Choice // nil if the engine was chosen without a picker
	end    time.Time
	engine int
}

// streamHeap orders streams by their end.
type streamHeap []replayStream

func (h streamHeap) Len() int           { return len(h) }
func (h streamHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h streamHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *streamHeap) Push(x any) { *h = append(*h, x.(replayStream)) } //nolint:forcetypeassert // the only type

// Pop implements heap.Interface.
func (h *streamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// run returns the mean over time of the highest number of streams on an engine, as a multiple of the mean number. choose
// chooses the engine of a stream that arrives at an entry.
func (l *loadReplay) run(choose func(entry int, now time.Time) replayStream) float64 {
	r := rand.New(rand.NewPCG(5, 6))
	*l = loadReplay{inFlight: make([]int, replayEngines), index: map[string]int{}, told: make([]int, replayEngines), counted: epoch}
	for i := range replayEngines {
		id := strconv.Itoa(i)
		l.index[id] = i
		l.engines = append(l.engines, tgcatalog.Upstream{DataCentre: "a", ID: id})
	}
	var streams streamHeap
	ratios, samples := 0.0, 0
	for now := epoch; now.Sub(epoch) < replayTime; now = now.Add(time.Duration(r.ExpFloat64() / replayRate * float64(time.Second))) {
		for len(streams) > 0 && streams[0].end.Before(now) {
			s, _ := heap.Pop(&streams).(replayStream)
			l.inFlight[s.engine]--
			if s.choice != nil {
				s.choice.Done(OutcomeAnswered, 100*time.Millisecond, s.end)
			}
		}
		if now.Sub(l.counted) >= replayInterval {
			l.counted = now
			copy(l.told, l.inFlight)
		}
		s := choose(r.IntN(replayEntries), now)
		s.end = now.Add(time.Duration(1.28 * math.Exp(0.56*r.NormFloat64()) * float64(time.Second))) // 1.5 s on average
		l.inFlight[s.engine]++
		heap.Push(&streams, s)
		if now.Sub(epoch) > replayTime/4 {
			highest, sum := 0, 0
			for _, n := range l.inFlight {
				highest, sum = max(highest, n), sum+n
			}
			ratios += float64(highest) * replayEngines / float64(sum)
			samples++
		}
	}
	return ratios / float64(samples)
}

func (l *loadReplay) load(u *tgcatalog.Upstream) (float64, time.Time, bool) {
	return float64(l.told[l.index[u.ID]]), l.counted, true
}

// Guards against streams of this process that count twice or not at all: those sent after the count are not in it, those
// that have ended since still are, and a count may come late, be lost or be missing for one engine.
func TestCountsAreCorrected(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		counted int     // ms
		streams float64 // counted on e1; e2 has 4 of others
		unknown bool    // e1 has no count
		want    float64 // load of e1
	}{
		"afterEnd":     {counted: 450, streams: 4, want: 4}, // 1 of this process and 3 of others
		"beforeEnd":    {counted: 300, streams: 5, want: 4}, // 2 of this process and 3 of others
		"beforeSend":   {counted: 50, streams: 3, want: 4},
		"betweenSends": {counted: 150, streams: 4, want: 4},
		"engineIsLate": {counted: 450, streams: 0, want: 1}, // it does not have the stream yet
		"notCounted":   {unknown: true, want: 1 + 4},
		"tooOld":       {counted: -1200, streams: 9, want: 1 + 4},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPicker()
			first, _ := p.Pick(upstreams("e1"), Request{Work: 1}, at(100))
			_, _ = p.Pick(upstreams("e1"), Request{Work: 1}, at(200))
			first.Done(OutcomeAnswered, time.Millisecond, at(400))
			load := func(u *tgcatalog.Upstream) (float64, time.Time, bool) {
				if u.ID == "e2" {
					return 4, at(500), true
				}
				return c.streams, at(c.counted), !c.unknown
			}
			loads := p.sharedLoads(upstreams("e1", "e2"), Request{Load: load, Work: 1}, at(500))
			assert.Equal(t, loads[0], c.want)
			assert.Equal(t, loads[1], 4.0)
		})
	}
}

// Guards against a choice by the streams of this process alone that depends on whether counts are asked for, and against a
// slow or avoided engine that is drawn by chance while another is free.
func TestChoiceByChance(t *testing.T) {
	lost := func(*tgcatalog.Upstream) (float64, time.Time, bool) { return 0, time.Time{}, false }
	p := newTestPicker()
	assert.Assert(t, p.sharedLoads(upstreams("e1"), Request{Load: lost}, epoch) == nil)
	none := func(*tgcatalog.Upstream) (float64, time.Time, bool) { return 0, epoch, true }
	for _, r := range []float64{0, 0.5, 0.99} {
		p := NewPicker("a", WithRand(func() float64 { return r }))
		c, _ := p.Pick(upstreams("e1", "e2", "e3"), Request{
			Avoid: map[string]bool{"e1": true}, Load: none, Work: 1,
			Slowdown: func(u *tgcatalog.Upstream) float64 { return map[string]float64{"e1": 1, "e2": 1, "e3": 4}[u.ID] },
		}, epoch)
		assert.Equal(t, c.Upstream.ID, "e2")
	}
}

// Guards against engines with twice the streams of others, for which all ranks of the group wait: with more engines than
// an entry has streams, the streams of one entry say nearly nothing of the load. The load is 17 entries before 64 engines,
// streams of 1.5 s, and counts that are up to 200 ms old.
func TestSharedLoadsLevelEngines(t *testing.T) {
	var l loadReplay
	withPickers := func(shared bool) float64 {
		r := rand.New(rand.NewPCG(1, 2))
		pickers := make([]*Picker, replayEntries)
		for i := range pickers {
			pickers[i] = NewPicker("a", WithRand(r.Float64))
		}
		return l.run(func(entry int, now time.Time) replayStream {
			q := Request{Work: 1}
			if shared {
				q.Load = l.load
			}
			c, _ := pickers[entry].Pick(l.engines, q, now)
			return replayStream{choice: c, engine: l.index[c.Upstream.ID]}
		})
	}
	own, shared := withPickers(false), withPickers(true)
	told := l.run(func(int, time.Time) replayStream { // what a picker does that takes the counts as they are
		return replayStream{engine: lowest(l.told)}
	})
	hindsight := l.run(func(int, time.Time) replayStream { return replayStream{engine: lowest(l.inFlight)} })
	t.Logf("highest engine against the mean: own %.2f, shared %.2f, counts as told %.2f, hindsight %.2f", own, shared, told, hindsight)
	assert.Assert(t, hindsight < shared && shared < own && own < told)
}

func lowest(loads []int) int {
	best := 0
	for i := range loads {
		if loads[i] < loads[best] {
			best = i
		}
	}
	return best
}
