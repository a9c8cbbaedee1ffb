package tgcompanion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgadmission"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgqueue"
)

// Guards against an attempt that keeps waiting although a place is free, its maximum wait has passed or its caller has
// left, and against a place that is never released after any of these.
func TestAdmissionWait(t *testing.T) {
	rows := []struct {
		name     string
		event    func(a *admission, cancel func())
		admitted bool
		after    time.Duration
	}{
		{"bound", func(*admission, func()) {}, false, time.Second},
		{"cancelled", func(_ *admission, cancel func()) { cancel() }, false, 500 * time.Millisecond},
		{"released", func(a *admission, _ func()) { a.release(tgadmission.Sample{}) }, true, 500 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAdmission()
				request := tgqueue.Request{Deadline: time.Now().Add(time.Minute), Priority: tgcall.Live}
				for range a.limiter.Limit() {
					refusal, err := a.wait(t.Context(), request)
					assert.Assert(t, refusal == nil && err == nil)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(500*time.Millisecond, func() { row.event(a, cancel) })
				start := time.Now()
				refusal, err := a.wait(ctx, request)
				assert.Equal(t, refusal == nil && err == nil, row.admitted)
				assert.Equal(t, time.Since(start), row.after)
				for a.limiter.InFlight() > 0 {
					a.release(tgadmission.Sample{})
				}
				assert.Equal(t, a.queue.Len(), 0)
				assert.Assert(t, a.limiter.TryAcquire())
			})
		})
	}
}
