package tgroute

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minSamples            = 3                // samples before an upstream can be slow or counts in its pool's medians
	slowExclusionDivisor  = 3                // at most one in 3 upstreams is excluded as slow; if more are, load is the cause
	sampleWeight          = 0.3              // weight of a new sample in a smoothed latency
	maxBackoff            = 30 * time.Second // between probes
	minBackoff            = time.Second
	readmitWeight         = 0.1                     // part of the limit after readmission; doubles with each timely first token
	silenceTimeout        = 1500 * time.Millisecond // without any frame; companions send one every second
	slowRatio             = 3.0                     // latency relative to the pool's median above which an upstream is slow
	stallGapFactor        = 20                      // in median times between tokens: time without a token that means a stall
	stallFirstTokenFactor = 6                       // the same for a first token, in median times; plus queueWaitAllowance
	minStallTime          = time.Second             // lower bound of the stall time between tokens
	queueWaitAllowance    = 3 * time.Second         // waits in a companion's queue up to this time are no stall
)

// Reason is the reason why an upstream is excluded.
type Reason string

// Reasons for exclusion.
const (
	Failed  Reason = "failed"  // it could not be reached, or the connection broke
	Silent  Reason = "silent"  // no frame within silenceTimeout
	Slow    Reason = "slow"    // latencies far above the pool's median
	Stalled Reason = "stalled" // it sends frames but no tokens
)

// latency is an exponentially smoothed latency.
type latency struct {
	n     int     // samples
	value float64 // seconds
}

func (l *latency) add(d time.Duration) {
	l.n++
	if l.n == 1 {
		l.value = d.Seconds()
	}
	l.value += sampleWeight * (d.Seconds() - l.value)
}

// health is the state of one upstream's health checks.
type health struct {
	backoff   time.Duration // before the next probe; doubles with each exclusion
	begun     int           // attempts of this process in flight that have had their first token
	excluded  Reason        // empty if not excluded
	first     latency       // time to the first token
	gap       latency       // time between tokens
	lastFrame time.Time     // last frame, or the start of the first attempt in flight if that is later
	lastToken time.Time     // last token, or the start of the first attempt in flight if that is later
	nextProbe time.Time     // earliest time of the next probe while excluded
	pool      *poolStats
	probing   bool    // an attempt is testing the excluded upstream
	weight    float64 // part of the limit that is used; below 1 while a readmitted upstream ramps up
}

// exclude excludes the upstream until a probe after the backoff, with jitter of a quarter either way.
func (h *health) exclude(reason Reason, now time.Time, r *rand.Rand) {
	h.excluded, h.probing, h.weight = reason, false, readmitWeight
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.nextProbe = now.Add(time.Duration((0.75 + 0.5*r.Float64()) * float64(h.backoff)))
}

// readmit readmits an excluded upstream, or raises the weight of a readmitted one.
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

// poolStats has the medians and totals over the upstreams of a pool.
type poolStats struct {
	first, gap       float64   // medians in seconds; 0 if unknown
	limit            int       // median of the reported limits; 0 if unknown
	otherUtilisation float64   // attempts of other processes relative to the sum of the reported limits
	slow             int       // upstreams excluded as slow
	size             int       // upstreams known in the pool
	updated          time.Time // when the medians were computed
}

func (p *poolStats) isSlow(h *health) bool {
	return h.first.n >= minSamples &&
		(p.first > 0 && h.first.value > slowRatio*p.first || p.gap > 0 && h.gap.value > slowRatio*p.gap)
}

// unresponsiveReason returns why an upstream with attempts in flight looks unresponsive, or the empty reason. A queue reported by
// the companion explains why no attempt of this process has had its first token, so that is no stall.
func (p *poolStats) unresponsiveReason(u *upstream, now time.Time) Reason {
	stall := max(minStallTime, time.Duration(stallGapFactor*p.gap*float64(time.Second)))
	start := queueWaitAllowance + time.Duration(stallFirstTokenFactor*p.first*float64(time.Second))
	idle := now.Sub(u.lastToken)
	switch {
	case now.Sub(u.lastFrame) > silenceTimeout:
		return Silent
	case u.begun > 0 && idle > stall, u.begun == 0 && u.report.Queued == 0 && idle > start:
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
