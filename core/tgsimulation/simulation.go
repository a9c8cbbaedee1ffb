// Package tgsimulation runs the request policies against a discrete-event model of upstreams, for benchmarks only.
package tgsimulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation is a virtual clock with scheduled events. Events at the same time run in the order in which they were added.
type simulation struct {
	clock  time.Time
	events eventHeap
	rand   *rand.Rand
	seq    int // number of events added
}

type event struct {
	at  time.Time
	run func()
	seq int
}

type eventHeap []event

func newSimulation(seed uint64) *simulation {
	return &simulation{clock: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 0))} //nolint:gosec // a reproducible choice
}

func (s *simulation) now() time.Time { return s.clock }

func (s *simulation) elapsed() time.Duration { return s.clock.Sub(time.Unix(0, 0)) }

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.clock.Add(d), run: run, seq: s.seq})
}

// runUntil runs the events up to the time d after the start.
func (s *simulation) runUntil(d time.Duration) {
	for len(s.events) > 0 && s.events[0].at.Sub(time.Unix(0, 0)) <= d {
		e, _ := heap.Pop(&s.events).(event)
		s.clock = e.at
		e.run()
	}
	s.clock = time.Unix(0, 0).Add(d)
}

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(v any) {
	e, _ := v.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
