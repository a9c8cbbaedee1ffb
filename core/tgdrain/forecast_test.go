package tgdrain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that takes a request which it cuts off later, also where the answers before were shorter,
// and against one that refuses requests of new connections which it has the time to finish.
func TestDecide(t *testing.T) {
	const (
		expiry = 8 * time.Second // of the caller, from the arrival
		left   = 3 * time.Second // until the process has to end
	)
	start := time.Unix(1000, 0)
	late := start.Add(time.Millisecond) // after the last connections were accepted
	// stream records a stream of 20 events with the given pause, for 100 tokens, that ends after the given time.
	stream := func(f *Forecast, pause, after time.Duration) {
		at := start.Add(after - 19*pause)
		for range 19 {
			at = at.Add(pause)
			f.RecordGap(pause, 1, at)
		}
		f.RecordEnd(100*time.Millisecond, 20, 100, at)
	}
	for _, tc := range []struct {
		name   string
		record func(f *Forecast)
		work   Work
		now    time.Duration // from start
		want   bool
	}{
		{"nothing is known", func(*Forecast) {}, Work{ExpiresAt: start.Add(expiry)}, 0, false},
		{"time limit ends it before", func(*Forecast) {}, Work{ExpiresAt: start.Add(left)}, 0, true},
		{
			"short plain answers", func(f *Forecast) { f.RecordEnd(100*time.Millisecond, 0, 0, start) },
			Work{ExpiresAt: start.Add(expiry)}, 0, true,
		},
		{
			"a slow plain answer among short ones", func(f *Forecast) {
				f.RecordEnd(left, 0, 0, start)
				f.RecordEnd(100*time.Millisecond, 0, 0, start)
			},
			Work{ExpiresAt: start.Add(expiry)}, 0, false,
		},
		{
			"streams at a pace that fits", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), Tokens: 100}, 0, true,
		},
		{
			"more tokens than streams so far", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), Tokens: 200}, 0, false,
		},
		{
			"likely shorter than streams with as many tokens", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), Likely: 20, Tokens: 200}, 0, true,
		},
		{
			"tokens beyond the range of a duration", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), Tokens: 1e300}, 0, false,
		},
		{
			"unknown tokens", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry)}, 0, true,
		},
		{
			"the pace has fallen", func(f *Forecast) {
				stream(f, 100*time.Millisecond, 0)
				f.RecordGap(4*time.Second, 20, start.Add(time.Second))
			},
			Work{ExpiresAt: start.Add(expiry), Tokens: 100}, time.Second, false,
		},
		{
			"a single long pause", func(f *Forecast) {
				stream(f, 50*time.Millisecond, 0)
				f.RecordGap(time.Second, 1, start.Add(time.Second))
			},
			Work{ExpiresAt: start.Add(expiry), Tokens: 100}, time.Second, true,
		},
		{
			"the pace has recovered", func(f *Forecast) {
				stream(f, 200*time.Millisecond, 0)
				stream(f, 50*time.Millisecond, 5*time.Second)
				stream(f, 50*time.Millisecond, 7*time.Second)
			},
			Work{ExpiresAt: start.Add(20 * time.Second), Tokens: 100}, 7 * time.Second, true,
		},
		{
			"the last answers are too long ago", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(time.Minute), Tokens: 100}, retention, false,
		},
		{
			"the pace is unknown", func(f *Forecast) { f.RecordEnd(100*time.Millisecond, 20, 100, start) },
			Work{ExpiresAt: start.Add(expiry), Tokens: 100}, 0, false,
		},
		{
			"stream on an idle connection, short ones so far", func(f *Forecast) { stream(f, 10*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), ReadAt: late, Tokens: 100}, time.Second, false,
		},
		{
			"likely short stream on an idle connection", func(f *Forecast) { stream(f, 10*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), Likely: 2, ReadAt: late, Tokens: 100}, time.Second, false,
		},
		{
			"plain request on an idle connection, short answers so far",
			func(f *Forecast) { f.RecordEnd(100*time.Millisecond, 0, 0, start) },
			Work{ExpiresAt: start.Add(expiry), ReadAt: late}, time.Second, false,
		},
		{
			"time limit ends it before, on an idle connection", func(*Forecast) {},
			Work{ExpiresAt: start.Add(left), ReadAt: late}, time.Second, true,
		},
		{
			"read while connections were accepted, tried again later", func(f *Forecast) { stream(f, 100*time.Millisecond, 0) },
			Work{ExpiresAt: start.Add(expiry), ReadAt: start, Tokens: 100}, 2 * time.Second, true,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewForecast()
			tc.record(f)
			now := start.Add(tc.now)
			assert.Equal(t, f.Decide(tc.work, Stop{AcceptUntil: start, End: now.Add(left)}, now).Admitted, tc.want)
		})
	}
}
