package tgretry

import (
	"sync"
	"time"
)

const (
	windowSlots       = 10  // counters that make up the sliding window
	allowanceFraction = 0.8 // usable part of the allowance: the windows of the processes are not aligned
)

// WindowBudget bounds the retries of one pool within a sliding window to a ratio of its requests plus this process's share
// of a burst. It is safe for concurrent use.
type WindowBudget struct {
	base     time.Time // start of slot 0: the time of the first request or retry
	burst    float64   // retries allowed beyond the ratio; this process's share
	mu       sync.Mutex
	ratio    float64          // retries allowed per request
	requests [windowSlots]int // first attempts, by slot
	retries  [windowSlots]int // by slot
	slot     int64            // newest slot, by its number
	span     time.Duration    // length of a slot
}

// NewWindowBudget returns a budget of ratio retries per request plus burst within any window.
func NewWindowBudget(ratio, burst float64, window time.Duration) *WindowBudget {
	return &WindowBudget{burst: burst, ratio: ratio, span: max(window/windowSlots, time.Millisecond)}
}

// SetLimits changes the ratio and this process's share of the burst.
func (w *WindowBudget) SetLimits(ratio, burst float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.burst, w.ratio = burst, ratio
}

// advance clears the slots that have left the window and returns the index of the current one.
func (w *WindowBudget) advance(now time.Time) int {
	if w.base.IsZero() {
		w.base = now
	}
	slot := int64(now.Sub(w.base) / w.span)
	if slot > w.slot {
		for s := max(w.slot+1, slot-windowSlots+1); s <= slot; s++ {
			w.retries[s%windowSlots], w.requests[s%windowSlots] = 0, 0
		}
		w.slot = slot
	}
	return int(w.slot % windowSlots)
}

// RecordRequest counts the first attempt of a request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// AllowRetry deducts a retry and reports true, or reports false if the budget is used up.
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
