package tgpace

import (
	"math"
	"time"
)

const (
	reservedPerPriority = 0.15             // part of the limit that stays free for each higher priority
	maxReserved         = 0.50             // part that stays free at most
	starvationRatio     = 0.5              // part of the rate of success of higher priorities that is kept in any case
	priorityDecayTime   = 10 * time.Second // time constant of the counts
	priorityExpiry      = 2 * time.Second  // without arrivals, after which a priority counts no more
)

// priorityCount counts the applicants of one priority; the counts fade.
type priorityCount struct {
	admitted    float64
	arrived     float64
	lastArrival time.Time // arrival
}

// decay takes the time since the last arrival into account.
func (c *priorityCount) decay(now time.Time) {
	weight := math.Exp(-now.Sub(c.lastArrival).Seconds() / priorityDecayTime.Seconds())
	c.admitted, c.arrived, c.lastArrival = c.admitted*weight, c.arrived*weight, now
}

// priorityCounts counts the applicants of each priority seen lately.
type priorityCounts map[int]*priorityCount

// recordArrival takes an applicant and returns the part of the limit that it has to leave free for higher priorities.
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

// isStarved reports whether a priority serves its callers much worse than a higher one.
func (priorityCounts) isStarved(own, higher *priorityCount) bool {
	return own.admitted*higher.arrived < starvationRatio*higher.admitted*own.arrived
}

// recordAdmission takes that an applicant got a place.
func (p priorityCounts) recordAdmission(priority int) { p[priority].admitted++ }
