package tgroute

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minSamples            = 3   // first tokens before an upstream can be slow
	slowExclusionDivisor  = 3   // at most one in this many upstreams is excluded as slow: if more are, it is load
	sampleWeight          = 0.3 // of a new value
	maxBackoff            = 30 * time.Second
	minBackoff            = time.Second
	readmitWeight         = 0.1                     // part of its limit that a returned upstream gets first; doubles with each answer
	silenceTimeout        = 1500 * time.Millisecond // companions send a frame every second
	slowRatio             = 3.0                     // latency over the median that means slow
	stallGapFactor        = 20                      // median times between tokens without a token that mean a stall
	stallFirstTokenFactor = 6                       // median first tokens without any that mean a stall, beyond waits in the queue
	minStallTime          = time.Second
	queueWaitAllowance    = 3 * time.Second // waits in a companion's queue that are no stall
)

// Reason says why an upstream is excluded.
type Reason string

// Reasons, sorted.
const (
	Failed  Reason = "failed"
	Silent  Reason = "silent"
	Slow    Reason = "slow"
	Stalled Reason = "stalled"
)

// latency is a smoothed figure in seconds.
type latency struct {
	n     int
	value float64
}

func (l *latency) add(d time.Duration) {
	l.n++
	if l.n == 1 {
		l.value = d.Seconds()
	}
	l.value += sampleWeight * (d.Seconds() - l.value)
}

// health is the evidence of one upstream.
type health struct {
	backoff   time.Duration // before the next probe
	begun     int           // attempts of this process that have begun to answer
	excluded  Reason        // empty if not excluded
	first     latency
	gap       latency
	lastFrame time.Time // or the first attempt after none
	lastToken time.Time
	nextProbe time.Time
	pool      *poolStats
	probing   bool    // one attempt tests the excluded upstream
	weight    float64 // part of the limit that is used; 1 if not lately returned
}

func (h *health) exclude(reason Reason, now time.Time, r *rand.Rand) {
	h.excluded, h.probing, h.weight = reason, false, readmitWeight
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.nextProbe = now.Add(time.Duration((0.75 + 0.5*r.Float64()) * float64(h.backoff)))
}

// readmit lets an upstream back, or raises the weight of one that was let back.
func (h *health) readmit() {
	if h.excluded != "" {
		h.excluded, h.probing = "", false
		h.first, h.gap = latency{}, latency{}
		return
	}
	if h.weight = min(1, 2*h.weight); h.weight == 1 {
		h.backoff = 0
	}
}

// pool is what is usual among the upstreams of a pool.
type poolStats struct {
	first, gap       float64   // medians in seconds; 0 if not known
	limit            int       // median of the reported ones
	otherUtilisation float64   // attempts of other processes for each attempt that the upstreams bear
	slow             int       // upstreams excluded as slow
	size             int       // upstreams known
	updated          time.Time // when the medians were computed
}

func (p *poolStats) isSlow(h *health) bool {
	return h.first.n >= minSamples &&
		(p.first > 0 && h.first.value > slowRatio*p.first || p.gap > 0 && h.gap.value > slowRatio*p.gap)
}

// silence returns why an upstream with attempts in flight looks dead, or the empty reason. A companion that reports a
// queue explains why no attempt of this process has begun.
func (p *poolStats) deadReason(u *upstream, now time.Time) Reason {
	stall := max(minStallTime, time.Duration(stallGapFactor*p.gap*float64(time.Second)))
	start := queueWaitAllowance + time.Duration(stallFirstTokenFactor*p.first*float64(time.Second))
	idle := now.Sub(u.lastToken)
	switch {
	case now.Sub(u.lastFrame) > silenceTimeout:
		return Silent
	case u.begun > 0 && idle > stall, u.begun == 0 && u.hint.Queued == 0 && idle > start:
		return Stalled
	default:
		return ""
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
