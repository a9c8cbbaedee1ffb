package tgwaitqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// A rank whose share of served streams is below floorRatio times that of a higher one goes first.
	floorRatio = 0.5
	// lateShare is the part of a rank's places that go to callers who can no longer be on time, while others still can.
	// With all of them, an overload that lasts would make every stream late.
	lateShare = 1.0 / 3
	// minServed is the number of served streams of a higher rank below which it says nothing about the shares.
	minServed     = 5
	rankDecayTime = 5 * time.Second // time in which the counts of a rank decay to 1/e
)

// Rank is the order of a stream by the priority of its account, or of its route if the account has none, and then by that
// of its route. Lower numbers go first.
type Rank struct {
	Priority      int
	RoutePriority int
}

// Compare returns a negative number if r goes before other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, other.Priority), cmp.Compare(r.RoutePriority, other.RoutePriority))
}

// rank shares the places of one rank among accounts by start-time fair queueing: the start tag of a stream is the finish
// tag of the previous one of its account, or the virtual time if that is later. The finish tag is the start tag plus the
// cost. An account's place goes to the one of its streams that is first by being early or late; it takes the lowest tag.
type rank struct {
	arrived     float64            // streams, decayed; those of returning callers included
	early       float64            // those of them that could be on time when they arrived, decayed
	finishTags  map[string]float64 // of each account's last stream; later than virtualTime after each place
	lateCredit  float64            // places owed to callers who are late already
	served      float64            // streams that got a place, decayed
	since       time.Time          // start of the counts
	updated     time.Time          // time to which the counts are decayed
	virtualTime float64            // highest start tag of a stream that got a place
}

func (q *Queue) rank(of Rank, now time.Time) *rank {
	r, ok := q.ranks[of]
	if !ok {
		r = &rank{finishTags: map[string]float64{}, since: now, updated: now}
		q.ranks[of] = r
	}
	return r
}

func (r *rank) decay(now time.Time) {
	weight := math.Exp(-now.Sub(r.updated).Seconds() / rankDecayTime.Seconds())
	r.arrived, r.early, r.served, r.updated = r.arrived*weight, r.early*weight, r.served*weight, now
}

// arrivalRates returns the arrivals per second, and those of streams that could be on time.
func (r *rank) arrivalRates(now time.Time) (all, early float64) {
	r.decay(now)
	seen := rankDecayTime.Seconds() * max(0.1, 1-math.Exp(-now.Sub(r.since).Seconds()/rankDecayTime.Seconds()))
	return r.arrived / seen, r.early / seen
}

func (r *rank) arrive(t *Ticket, now time.Time) {
	r.decay(now)
	r.arrived++
	if !t.isLate(now) {
		r.early++
	}
	account := t.request.Account
	t.start = max(r.virtualTime, r.finishTags[account])
	r.finishTags[account] = t.start + t.request.Cost
}

func (r *rank) take(t *Ticket) {
	r.virtualTime = max(r.virtualTime, t.start)
	maps.DeleteFunc(r.finishTags, func(_ string, tag float64) bool { return tag <= r.virtualTime })
}

func (r *rank) remove(t *Ticket) {
	account := t.request.Account
	if tag, ok := r.finishTags[account]; ok {
		r.finishTags[account] = tag - t.request.Cost
	}
}

func (q *Queue) recordGrant(t *Ticket, now time.Time) {
	r := q.ranks[t.request.Rank]
	r.decay(now)
	r.served++
	switch {
	case t.isLate(now):
		r.lateCredit = max(0, r.lateCredit-1)
	case q.hasLate(t.request.Rank, now):
		r.lateCredit += lateShare / (1 - lateShare)
	default:
		r.lateCredit = 0
	}
}

// isLate reports whether the stream can no longer be on time.
func (t *Ticket) isLate(now time.Time) bool {
	return t.request.Returning || now.After(t.request.OnTimeBy)
}

func (q *Queue) hasLate(of Rank, now time.Time) bool {
	return slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return t.request.Rank == of && t.isLate(now) })
}

// next returns the stream that gets the next place, or nil. With onlyReturning set, it passes over new callers.
func (q *Queue) next(now time.Time, onlyReturning bool) *Ticket {
	of, ok := q.nextRank(now, onlyReturning)
	if !ok {
		return nil
	}
	var early, late *Ticket // the first of those that can be on time, and of the others
	heads := map[string]float64{}
	for _, t := range q.waiting {
		if t.request.Rank != of {
			continue
		}
		account := t.request.Account
		if _, ok := heads[account]; !ok {
			heads[account] = t.start
		}
		if onlyReturning && !t.request.Returning {
			continue
		}
		first := &early
		if t.isLate(now) {
			first = &late
		}
		if *first == nil || heads[account] < heads[(*first).request.Account] {
			*first = t
		}
	}
	if early == nil || late != nil && q.ranks[of].lateCredit >= 1 &&
		heads[late.request.Account] <= heads[early.request.Account] {
		return late
	}
	return early
}

// nextRank returns the rank that gets the next place: the highest that waits, unless a lower one is starved.
func (q *Queue) nextRank(now time.Time, onlyReturning bool) (of Rank, ok bool) {
	waiting := map[Rank]bool{}
	for _, t := range q.waiting {
		if t.request.Returning || !onlyReturning {
			waiting[t.request.Rank] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(waiting), Rank.Compare)
	if len(order) == 0 {
		return Rank{}, false
	}
	for _, of := range slices.Backward(order[1:]) {
		if q.isStarved(of, now) {
			return of, true
		}
	}
	return order[0], true
}

// isStarved reports whether a rank's share of served streams is below floorRatio times that of a higher one.
func (q *Queue) isStarved(of Rank, now time.Time) bool {
	own := q.ranks[of]
	own.decay(now)
	for other, r := range q.ranks {
		if other.Compare(of) >= 0 {
			continue
		}
		r.decay(now)
		if r.served >= minServed && own.served*r.arrived < floorRatio*r.served*own.arrived {
			return true
		}
	}
	return false
}
