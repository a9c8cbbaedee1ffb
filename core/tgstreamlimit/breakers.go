package tgstreamlimit

import (
	"slices"
	"sync"
	"time"

	"tanagergrade/core/tgretry"
)

// Group is a rank group of a pool. A failure that stops all of its work leaves the other groups running.
type Group struct {
	Broken bool   // the leader of the groups says so
	Name   string // empty for the engines whose group is not known
}

// Breakers are the circuit breakers of a pool, one for each of its groups. It is safe for concurrent use.
type Breakers struct {
	groups map[string]*Breaker // by name
	mu     sync.Mutex          // guards groups
	rand   func() float64
}

// NewBreakers returns closed breakers; random returns values in [0,1).
func NewBreakers(random func() float64) *Breakers {
	return &Breakers{groups: map[string]*Breaker{}, rand: random}
}

// Group returns the breaker of a group.
func (b *Breakers) Group(name string) *Breaker {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.groups[name]
	if !ok {
		g = NewBreaker(b.rand)
		b.groups[name] = g
	}
	return g
}

// Select returns the groups that a request must not go to, or false if it is to be refused because no group runs. A
// request that mayProbe may be sent to a group that failed before, although others run. With a single group, only its
// breaker decides: there is nothing to choose, and the leader may be wrong.
func (b *Breakers) Select(groups []Group, mayProbe bool, now time.Time) (excluded map[string]bool, ok bool) {
	if len(groups) <= 1 {
		name := ""
		for _, g := range groups {
			name = g.Name
		}
		return nil, b.Group(name).Allow(now)
	}
	excluded = map[string]bool{}
	for _, g := range groups {
		if g.Broken || b.Group(g.Name).IsOpen() {
			excluded[g.Name] = true
		}
	}
	runs := len(excluded) < len(groups)
	for _, g := range groups {
		breaker := b.Group(g.Name)
		if !excluded[g.Name] || runs && (g.Broken || !mayProbe) {
			continue
		}
		if !breaker.IsOpen() { // the leader knows of a failure that no request has met yet
			breaker.RecordFailure(now)
		}
		if breaker.Allow(now) {
			return allBut(g.Name, groups), true
		}
	}
	return excluded, runs
}

// Runs reports whether any of the groups is known to run requests.
func (b *Breakers) Runs(groups []Group) bool {
	if len(groups) <= 1 {
		name := ""
		for _, g := range groups {
			name = g.Name
		}
		return !b.Group(name).IsOpen()
	}
	return slices.ContainsFunc(groups, func(g Group) bool { return !g.Broken && !b.Group(g.Name).IsOpen() })
}

// RetryAfter returns the time after which a caller should retry that was refused because no group runs.
func (b *Breakers) RetryAfter(groups []Group, now time.Time) time.Duration {
	if len(groups) == 0 {
		return b.Group("").RetryAfter(now)
	}
	wait := tgretry.MaxOutageWait
	for _, g := range groups {
		wait = min(wait, b.Group(g.Name).RetryAfter(now))
	}
	return wait
}

func allBut(name string, groups []Group) map[string]bool {
	excluded := map[string]bool{}
	for _, g := range groups {
		if g.Name != name {
			excluded[g.Name] = true
		}
	}
	return excluded
}
