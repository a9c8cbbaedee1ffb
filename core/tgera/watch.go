// Package tgera knows the era of the platform's store: how often the store has returned from an older copy of itself.
package tgera

import (
	"sync"
	"time"
)

// Era is the time between two returns of the store from an older copy. Each return raises it by one; 0 is also that of a
// store which does not say its era.
type Era int64

// Rise is a change of the store's era.
type Rise struct {
	At   time.Time // when it was noticed
	From Era
	To   Era
}

// Watch is the present era, as the answers of the store show it. It is safe for concurrent use.
type Watch struct {
	onRise func(Rise)

	mu     sync.Mutex // guards the fields below
	era    Era
	known  bool // an answer has shown the era
	last   Rise // the zero value before the first one
	raised chan struct{}
	rises  int
}

// NewWatch returns a watch that calls onRise at each rise, while it handles an answer.
func NewWatch(onRise func(Rise)) *Watch { return &Watch{onRise: onRise, raised: make(chan struct{})} }

// Observe notes the era in an answer. The first one is no rise, as nothing is known of an era before.
func (w *Watch) Observe(e Era, now time.Time) {
	rise, rose := w.observe(e, now)
	if rose {
		w.onRise(rise)
	}
}

func (w *Watch) observe(e Era, now time.Time) (r Rise, rose bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known && e <= w.era { // equal, or a late answer of a former era
		return Rise{}, false
	}
	r, rose = Rise{At: now, From: w.era, To: e}, w.known
	w.era, w.known = e, true
	if rose {
		w.last = r
		w.rises++
		close(w.raised)
		w.raised = make(chan struct{})
	}
	return r, rose
}

// Era returns the present era; 0 while none is known.
func (w *Watch) Era() Era {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// Raised returns the present era and a channel that is closed at the next rise.
func (w *Watch) Raised() (Era, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era, w.raised
}

// State is what a watch knows, for the state dump.
type State struct {
	Era      Era       `json:"era"`
	LastRise time.Time `json:"lastRise"` // zero before the first one
	Rises    int       `json:"rises"`    // noticed by this process
}

// State returns what the watch knows.
func (w *Watch) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return State{Era: w.era, LastRise: w.last.At, Rises: w.rises}
}
