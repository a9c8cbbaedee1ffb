package tgpicker

import (
	"slices"
	"time"

	"tanagergrade/core/tgcatalog"
)

const (
	// loadHistory is the longest age of a count of streams that can be corrected by what this process did since.
	loadHistory   = 1500 * time.Millisecond
	sharedChoices = 3    // candidates of which the best is chosen; with more, processes choose the same one
	maxLoadEvents = 256  // kept for each upstream; the oldest are dropped first
	workSmoothing = 0.95 // weight of the past, per attempt, in the work of a mean request
)

// loadEvent is an attempt of this process that began or ended at an upstream.
type loadEvent struct {
	at    time.Time
	delta int // in attempts in flight: 1 or -1
}

// record notes that an attempt begins or ends, and drops events that are too old to matter.
func (s *state) record(delta int, now time.Time) {
	s.pending += delta
	first := 0
	for first < len(s.events) && now.Sub(s.events[first].at) > loadHistory {
		first++
	}
	first = max(first, len(s.events)+1-maxLoadEvents)
	s.events = append(s.events[first:], loadEvent{at: now, delta: delta})
}

// pendingAt returns the attempts of this process that were in flight at a time of the recent past.
func (s *state) pendingAt(t time.Time) int {
	n := s.pending
	for i := len(s.events) - 1; i >= 0 && s.events[i].at.After(t); i-- {
		n -= s.events[i].delta
	}
	return n
}

// ownLoad returns the load of this process on an upstream.
func (r *Request) ownLoad(u *tgcatalog.Upstream, s *state) float64 {
	if r.OwnLoad != nil {
		return r.OwnLoad(u)
	}
	return s.load
}

// sharedLoads returns the load of each candidate from all processes, in the units of Request.Work: the work of this process
// and the streams that the others had when they were last counted. Candidates without a count are taken to have the mean of
// the others. It returns nil if there is no count.
func (p *Picker) sharedLoads(candidates []tgcatalog.Upstream, r Request, now time.Time) []float64 {
	if r.Load == nil {
		return nil
	}
	loads := make([]float64, len(candidates))
	unknown := make([]bool, len(candidates))
	sum, known := 0.0, 0
	for i := range candidates {
		u := &candidates[i]
		s := p.state(u.ID, now)
		loads[i] = r.ownLoad(u, s)
		streams, counted, ok := r.Load(u)
		if unknown[i] = !ok || now.Sub(counted) > loadHistory; unknown[i] {
			continue
		}
		remote := max(0, streams-float64(s.pendingAt(counted))) * p.meanWork
		loads[i] += remote
		sum += remote
		known++
	}
	if known == 0 {
		return nil
	}
	for i := range loads {
		if unknown[i] {
			loads[i] += sum / float64(known)
		}
	}
	return loads
}

// scored is a candidate with its score.
type scored struct {
	index   int // among the candidates
	pending int // attempts of this process in flight
	score   float64
}

// chooseByChance returns the candidate with the lowest score of sharedChoices that are drawn at random from those with the
// fewest attempts of this process. All processes see the same counts until the next ones come, so the best candidate would
// get a request of each of them. The attempts of this process are known at once, and to spread them evens out the sum.
func (p *Picker) chooseByChance(candidates []scored) (index int) {
	fewest := slices.MinFunc(candidates, func(a, b scored) int { return a.pending - b.pending }).pending
	candidates = slices.DeleteFunc(candidates, func(c scored) bool { return c.pending > fewest })
	draw := func() scored { return candidates[int(p.rand()*float64(len(candidates)))] }
	best := draw()
	for range sharedChoices - 1 {
		if c := draw(); c.score < best.score {
			best = c
		}
	}
	return best.index
}
