package tgretry

import (
	"sync"
	"time"
)

const (
	windowSlots       = 10
	allowanceFraction = 0.8 // of the allowance is used, since the windows of processes are not aligned
)

// WindowBudget bounds the retries of one pool in any window of time to a part of its requests and a burst that all
// processes share. It is safe for concurrent use.
type WindowBudget struct {
	burst    float64 // share of this process
	mu       sync.Mutex
	ratio    float64
	requests [windowSlots]int // first sends
	retries  [windowSlots]int
	slot     int64 // the newest one, in units of span
	span     time.Duration
}

// NewWindowBudget returns a budget of ratio retries for each request plus burst in each window.
func NewWindowBudget(ratio, burst float64, window time.Duration) *WindowBudget {
	return &WindowBudget{burst: burst, ratio: ratio, span: max(window/windowSlots, time.Millisecond)}
}

// SetLimits changes the ratio and this process's share of the burst.
func (w *WindowBudget) SetLimits(ratio, burst float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.burst, w.ratio = burst, ratio
}

func (w *WindowBudget) advance(now time.Time) int {
	slot := now.UnixNano() / int64(w.span)
	if slot > w.slot {
		for s := max(w.slot+1, slot-windowSlots+1); s <= slot; s++ {
			w.retries[s%windowSlots], w.requests[s%windowSlots] = 0, 0
		}
		w.slot = slot
	}
	return int(w.slot % windowSlots)
}

// RecordRequest counts a request that is sent for the first time.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// AllowRetry pays for sending a request once more, or reports that the budget is used up.
func (w *WindowBudget) AllowRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	requests, retries := 0, 0
	for s := range windowSlots {
		requests += w.requests[s]
		retries += w.retries[s]
	}
	if float64(retries+1) > allowanceFraction*(w.ratio*float64(requests)+w.burst) {
		return false
	}
	w.retries[i]++
	return true
}
