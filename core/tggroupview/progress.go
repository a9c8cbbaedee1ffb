package tggroupview

import (
	"sync"
	"time"
)

// minStallStreams is the number of streams of a group from which its silence says something: one alone may wait for its
// prompt to be read again, or its connection may be lost.
const minStallStreams = 2

// Progress is what this process sees of the passes of the groups: the events of its streams. All ranks of a group pass
// together, so a group whose streams are all silent while those of another group go on has stalled, long before its
// engines give up. That no group goes on says nothing, as this process may have been stopped. It is safe for concurrent
// use.
type Progress struct {
	groups map[string]*groupProgress
	mu     sync.Mutex // guards groups
}

// groupProgress is the progress of one group.
type groupProgress struct {
	lastEvent  time.Time // of any stream
	resumed    time.Time // when the last stall ended; zero if there was none
	stallAfter time.Duration
	streams    int // begun and not ended
}

// NewProgress returns the progress of groups without streams.
func NewProgress() *Progress { return &Progress{groups: map[string]*groupProgress{}} }

// Begin notes the first event of a stream. The group stalls if its streams have been silent for stallAfter.
func (p *Progress) Begin(group string, stallAfter time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	if !ok {
		g = &groupProgress{}
		p.groups[group] = g
	}
	g.streams++
	g.stallAfter = stallAfter
	p.event(g, now)
}

// Event notes an event of a stream that has begun.
func (p *Progress) Event(group string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.groups[group]; ok {
		p.event(g, now)
	}
}

func (p *Progress) event(g *groupProgress, now time.Time) {
	if p.stalled(g) {
		g.resumed = now
	}
	g.lastEvent = now
}

// End notes the end of a stream that has begun. A group without streams is forgotten.
func (p *Progress) End(group string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	if !ok {
		return
	}
	if g.streams--; g.streams <= 0 {
		delete(p.groups, group)
	}
}

// Stalled reports whether the group makes no passes while another one does.
func (p *Progress) Stalled(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	return ok && p.stalled(g)
}

func (p *Progress) stalled(g *groupProgress) bool {
	if g.streams < minStallStreams || g.stallAfter <= 0 {
		return false
	}
	for _, other := range p.groups {
		if other.lastEvent.Sub(g.lastEvent) > g.stallAfter {
			return true
		}
	}
	return false
}

// StalledSince reports whether the group has stalled at some time after since. A pause between two events that spans such a
// time says nothing of the load.
func (p *Progress) StalledSince(group string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[group]
	return ok && (p.stalled(g) || g.resumed.After(since))
}
