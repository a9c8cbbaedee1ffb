package tgstreamlimit

import (
	"math"
	"time"
)

const (
	reservedPerPriority = 0.15 // part of the limit reserved for each higher priority that has arrivals
	maxReserved         = 0.50 // upper bound of the reserved part
	// A priority whose share of admitted requests is below starvationRatio times that of a higher one reserves nothing
	// for it.
	starvationRatio   = 0.5
	priorityDecayTime = 10 * time.Second // time in which the counts decay to 1/e
	priorityExpiry    = 2 * time.Second  // a priority without arrivals for this time is dropped
)

// priorityCount has the exponentially decayed counts of one priority.
type priorityCount struct {
	admitted    float64
	arrived     float64
	lastArrival time.Time
}

// decay applies the decay since the last arrival.
func (c *priorityCount) decay(now time.Time) {
	weight := math.Exp(-now.Sub(c.lastArrival).Seconds() / priorityDecayTime.Seconds())
	c.admitted, c.arrived, c.lastArrival = c.admitted*weight, c.arrived*weight, now
}

// priorityCounts has the counts of each priority with arrivals within priorityExpiry.
type priorityCounts map[int]*priorityCount

// recordArrival counts a request and returns the part of the limit reserved for higher priorities.
func (p priorityCounts) recordArrival(priority int, now time.Time) float64 {
	own, ok := p[priority]
	if !ok {
		own = &priorityCount{lastArrival: now}
		p[priority] = own
	}
	own.decay(now)
	own.arrived++
	higher := 0.0
	for other, c := range p {
		if now.Sub(c.lastArrival) > priorityExpiry {
			delete(p, other)
			continue
		}
		if other < priority && !p.isStarved(own, c) {
			higher++
		}
	}
	return min(reservedPerPriority*higher, maxReserved)
}

// isStarved reports whether a priority's share of admitted requests is below starvationRatio times that of a higher one.
func (priorityCounts) isStarved(own, higher *priorityCount) bool {
	return own.admitted*higher.arrived < starvationRatio*higher.admitted*own.arrived
}

// recordAdmission counts an admitted request.
func (p priorityCounts) recordAdmission(priority int) { p[priority].admitted++ }
