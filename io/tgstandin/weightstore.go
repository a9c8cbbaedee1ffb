package tgstandin

import (
	"context"
	"sync"
	"time"
)

// WeightStore is a stand-in of the weight store. It serves one transfer after the other, at a fixed rate.
type WeightStore struct {
	mu             sync.Mutex
	busyUntil      time.Time // end of the transfers accepted so far
	rate           float64   // bytes/s
	requestedBytes float64
}

// NewWeightStore returns a store that delivers rate bytes/s.
func NewWeightStore(rate float64) *WeightStore { return &WeightStore{rate: rate} }

// Fetch blocks until the given number of bytes has been delivered or ctx ends. A cancelled transfer still takes its time
// at the store.
func (w *WeightStore) Fetch(ctx context.Context, bytes float64) error {
	w.mu.Lock()
	if now := time.Now(); w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(bytes / w.rate * float64(time.Second)))
	w.requestedBytes += bytes
	wait := time.NewTimer(time.Until(w.busyUntil))
	w.mu.Unlock()
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
		return nil
	}
}

// RequestedBytes returns the number of bytes requested so far.
func (w *WeightStore) RequestedBytes() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requestedBytes
}
