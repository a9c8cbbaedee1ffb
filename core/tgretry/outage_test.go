package tgretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers who are told to come back while the outage still lasts and are then lost, since they come back
// only once. With the store away, entries that had just started had no configuration for 2.2 s and told all callers to
// return after 0.5 s: 463 of 530 were refused twice (kuehlhof-oberland-grown trouble-2).
func TestCallersReturnAfterAnOutage(t *testing.T) {
	for _, test := range []struct {
		name     string
		lasts    time.Duration
		minShare float64 // of the callers who return after the end, by what doubling the time so far achieves
	}{
		{name: "half a second", lasts: 500 * time.Millisecond, minShare: 1},
		{name: "two seconds", lasts: 2 * time.Second, minShare: 0.7},
		{name: "four seconds", lasts: 4 * time.Second, minShare: 0.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			o := NewOutage(r.Float64)
			start := time.Unix(1000, 0)
			after, n := 0, 0
			returns := map[int]int{} // by quarter of a second
			for at := time.Duration(0); at < test.lasts; at += 5 * time.Millisecond {
				back := at + o.RetryAfter(start.Add(at))
				n++
				if back >= test.lasts {
					after++
				}
				returns[int(back/(250*time.Millisecond))]++
			}
			assert.Assert(t, float64(after) >= test.minShare*float64(n), "%d of %d return after the end", after, n)
			for quarter, count := range returns {
				assert.Assert(t, count <= n/2, "%d of %d return in quarter %d", count, n, quarter)
			}
			o.End()
			wait := o.RetryAfter(start.Add(time.Hour))
			assert.Assert(t, wait < 2*MinOutageWait, "%v", wait)
		})
	}
}
