// Package tgroute chooses the upstream of an attempt.
package tgroute

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"tanagergrade/core/tgframe"
)

// Candidate is an upstream that may take an attempt.
type Candidate struct {
	DataCentre string
	Name       string
}

// Router chooses by the load that companions last reported plus what this process has sent since.
type Router struct {
	mu    sync.Mutex
	hints map[string]tgframe.Load
	local string         // data centre of this process
	sent  map[string]int // attempts in flight from this process
}

// NewRouter returns a router for a process in the data centre local.
func NewRouter(local string) *Router {
	return &Router{hints: map[string]tgframe.Load{}, local: local, sent: map[string]int{}}
}

// Choose returns the least loaded candidate, preferring the own data centre at equal load.
func (r *Router) Choose(candidates []Candidate) (Candidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best Candidate
	bestScore, found := 0.0, false
	for _, c := range candidates {
		if score := r.score(c); !found || score < bestScore {
			best, bestScore, found = c, score, true
		}
	}
	if found {
		r.sent[best.Name]++
	}
	return best, found
}

func (r *Router) score(c Candidate) float64 {
	h := r.hints[c.Name]
	score := float64(max(h.InFlight+h.Queued, r.sent[c.Name])) / float64(max(h.Limit, 1))
	if c.DataCentre != r.local {
		score += 0.25
	}
	return score
}

// Observe takes a companion's load report.
func (r *Router) Observe(name string, l tgframe.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[name] = l
}

// Done ends an attempt that Choose started.
func (r *Router) Done(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[name]--
}

// Home returns the candidates in the order of rendezvous hashing for key.
func Home(candidates []Candidate, key string) (Candidate, bool) {
	var best Candidate
	bestHash, found := uint64(0), false
	for _, c := range candidates {
		if h := xxhash.Sum64String(c.Name + "\x00" + key); !found || h > bestHash {
			best, bestHash, found = c, h, true
		}
	}
	return best, found
}
