package tgadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	warmFirst = 300 * time.Millisecond
	warmGap   = 20 * time.Millisecond
)

// upstream is a closed-form model of an engine: beyond its capacity, all latencies grow in proportion to the load.
type upstream struct {
	*Limiter
	capacity float64
	clock    time.Time
	slowdown float64 // factor of all latencies
}

func newUpstream(capacity float64, options ...Option) *upstream {
	u := &upstream{capacity: capacity, clock: time.Unix(0, 0), slowdown: 1}
	u.Limiter = NewLimiter(2, 16, append(options, WithClock(func() time.Time { return u.clock }))...)
	return u
}

func (u *upstream) factor() float64 { return u.slowdown * max(1, float64(u.InFlight())/u.capacity) }

// run serves decoding steps for d with as many attempts as the limit admits; each ends after a second of decoding.
func (u *upstream) run(d time.Duration) {
	ages := map[int]time.Duration{}
	id := 0
	for end := u.clock.Add(d); u.clock.Before(end); {
		for u.TryAcquire() {
			ages[id] = 0
			id++
		}
		f := u.factor()
		step := time.Duration(f * float64(warmGap))
		u.clock = u.clock.Add(step)
		for i := range ages {
			before := ages[i]
			ages[i] += step
			first := time.Duration(f * float64(warmFirst))
			switch {
			case before < first && ages[i] >= first:
				u.Observe(Progress{FirstToken: first, Tokens: 1})
			case before >= first:
				u.Observe(Progress{Gap: step, Tokens: 1})
			}
			if ages[i] > first+time.Second {
				delete(ages, i)
				u.Release(Sample{Observed: 50, OK: true, Tokens: 50, Total: ages[i]})
			}
		}
	}
	for range ages {
		u.Release(Sample{Cancelled: true})
	}
}

// Guards against a restarted companion that stays at the cold limit of a warm upstream, or starts at the warm limit.
func TestRestartBesideWarmUpstream(t *testing.T) {
	for _, options := range [][]Option{nil, {WithWarmLatencies(warmFirst, warmGap)}, {WithLockStep()}} {
		u := newUpstream(16, options...)
		u.run(500 * time.Millisecond)
		assert.Assert(t, u.Limit() < 8, u.Limit())
		u.run(8 * time.Second)
		assert.Equal(t, u.Limit(), 16)
	}
}

// Guards against a limit far above or below the capacity of the upstream.
func TestLimitFollowsCapacity(t *testing.T) {
	u := newUpstream(6)
	u.run(20 * time.Second)
	assert.Assert(t, u.Limit() >= 6 && u.Limit() <= 8, u.Limit())
	u.capacity = 12
	u.run(20 * time.Second)
	assert.Assert(t, u.Limit() >= 12 && u.Limit() <= 15, u.Limit())
}

// Guards against a limit that grows with time alone or while it is not reached.
func TestNoGrowthWithoutEvidence(t *testing.T) {
	u := newUpstream(16)
	u.clock = u.clock.Add(time.Hour)
	assert.Equal(t, u.Limit(), 2)
	for range 100 { // one attempt at a time says nothing about two
		assert.Assert(t, u.TryAcquire())
		u.Observe(Progress{FirstToken: warmFirst, Tokens: 1})
		u.Observe(Progress{Gap: warmGap, Tokens: 1})
		u.clock = u.clock.Add(time.Second)
		u.Release(Sample{Observed: 2, OK: true, Tokens: 2, Total: time.Second})
	}
	assert.Equal(t, u.Limit(), 2)
}

// Guards against a warm upstream that turns cold and keeps its limit for more than a few samples.
func TestSuddenCold(t *testing.T) {
	slowFirst := func(u *upstream) { u.Observe(Progress{FirstToken: 10 * warmFirst, Tokens: 1}) }
	rows := []struct {
		name     string
		evidence func(*upstream)
		repeats  int
		option   Option
	}{
		{"failures", func(u *upstream) { u.TryAcquire(); u.Release(Sample{Total: time.Second}) }, 2, nil},
		{"first tokens", slowFirst, 3, nil},
		{"first tokens in lock-step", slowFirst, 3, WithLockStep()},
		{"gaps", func(u *upstream) { u.Observe(Progress{Gap: 10 * warmGap, Tokens: 1}) }, 48, nil},
		{"prefill rate", func(u *upstream) {
			u.Observe(Progress{FirstToken: 10 * warmFirst, Prompt: 1000, Tokens: 1})
		}, 3, nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			u := newUpstream(16)
			if row.option != nil {
				row.option(u.Limiter)
			}
			u.run(10 * time.Second)
			u.Observe(Progress{FirstToken: warmFirst, Prompt: 1000, Tokens: 1})
			u.clock = u.clock.Add(time.Second)
			assert.Equal(t, u.Limit(), 16)
			for range row.repeats {
				row.evidence(u)
			}
			assert.Assert(t, u.Limit() <= 2, u.Limit())
			u.run(10 * time.Second)
			assert.Equal(t, u.Limit(), 16)
		})
	}
}

// Guards against treating an upstream whose requests became permanently slower as cold for ever.
func TestPermanentSlowdown(t *testing.T) {
	u := newUpstream(16)
	u.run(10 * time.Second)
	u.slowdown = 4
	u.run(5 * time.Second)
	assert.Assert(t, u.Limit() <= 2, u.Limit())
	u.run(5 * time.Minute)
	assert.Equal(t, u.Limit(), 16)
}

// Guards against a limit that never grows for services that do not stream their answers.
func TestUnstreamedAnswers(t *testing.T) {
	u := newUpstream(16)
	for range 40 {
		n := 0
		for u.TryAcquire() {
			n++
		}
		u.clock = u.clock.Add(5 * time.Millisecond)
		for range n {
			u.Release(Sample{FirstToken: 5 * time.Millisecond, OK: true, Tokens: 1, Total: 5 * time.Millisecond})
		}
	}
	assert.Equal(t, u.Limit(), 16)
	u.Release(Sample{}) // never sent to the upstream
	assert.Equal(t, u.Limit(), 16)
}

// Guards against an upstream that stays at its former cold limit after the operator has raised it, and against a change of
// the configuration that lifts a limit which latencies have lowered.
func TestConfigureColdLimit(t *testing.T) {
	l := NewLimiter(4, 16)
	l.Configure(8, 16, false)
	assert.Equal(t, l.Limit(), 8)
	l.TryAcquire()
	l.Release(Sample{Total: time.Second}) // a failure halves the limit
	assert.Equal(t, l.Limit(), 4)
	l.Configure(8, 12, false)
	assert.Equal(t, l.Limit(), 4)
	l.Configure(10, 6, false)
	assert.Equal(t, l.Limit(), 6)
}
