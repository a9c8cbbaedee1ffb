package tgwaitqueue

import (
	"maps"
	"time"
)

const (
	initialFirstEvent = 200 * time.Millisecond
	maxWait           = time.Minute // cap of the estimate, so that it cannot overflow
	minPlacesPerS     = 0.1         // places per second that a rank is taken to get at least
	minRetryAfter     = 100 * time.Millisecond
)

// duration is the smoothed mean and mean deviation of a time, as TCP keeps them of the round trip.
type duration struct {
	deviation time.Duration
	mean      time.Duration
}

const (
	durationGain   = 16 // a new value moves the averages by this part of its distance from them
	deviationsHigh = 4
)

func newDuration(mean time.Duration) duration { return duration{deviation: mean / 4, mean: mean} }

func (d *duration) record(v time.Duration) {
	d.deviation += ((v - d.mean).Abs() - d.deviation) / durationGain
	d.mean += (v - d.mean) / durationGain
}

// high returns a time that few values exceed.
func (d *duration) high() time.Duration { return d.mean + deviationsHigh*d.deviation }

// forecast is how a waiting stream is expected to get its place.
type forecast struct {
	late bool    // as isLate
	tag  float64 // start tag that it takes
}

// predict sets the forecasts of all waiting streams.
func (q *Queue) predict(now time.Time) {
	type flow struct {
		account string
		rank    Rank
	}
	type class struct {
		flow
		late bool
	}
	starts, used := map[flow][]float64{}, map[class]int{}
	for _, t := range q.waiting {
		f := flow{account: t.request.Account, rank: t.request.Rank}
		starts[f] = append(starts[f], t.start)
	}
	for _, t := range q.waiting {
		f := flow{account: t.request.Account, rank: t.request.Rank}
		c := class{flow: f, late: t.isLate(now)}
		t.expected = forecast{late: c.late, tag: starts[f][used[c]]}
		used[c]++
	}
}

// ahead returns how many waiting streams are expected to get a place before t, by the last call of predict.
func (q *Queue) ahead(t *Ticket) int {
	n, reached := 0, false
	for _, o := range q.waiting {
		if o == t {
			reached = true
			continue
		}
		switch c := o.request.Rank.Compare(t.request.Rank); {
		case c < 0:
			n++
		case c == 0 && o.expected.late == t.expected.late &&
			(o.expected.tag < t.expected.tag || o.expected.tag == t.expected.tag && !reached):
			n++
		}
	}
	return n
}

// expectedWait returns the time until t is expected to get a place, by the last call of predict.
func (q *Queue) expectedWait(t *Ticket, now time.Time) time.Duration {
	p := q.limiter.Places()
	missing := float64(q.ahead(t)+1) - p.Room
	if missing <= 0 {
		return 0
	}
	seconds := missing / max(minPlacesPerS, q.placesPerSecond(t, p.PerSecond, now))
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// placesPerSecond returns the part of all places that goes to the streams like t: what higher ranks leave, or the floor of
// the rank, shared with those that are late, or not late, other than t.
func (q *Queue) placesPerSecond(t *Ticket, total float64, now time.Time) float64 {
	of := t.request.Rank
	all, higher := 0.0, 0.0
	for other, r := range q.ranks {
		rate, _ := r.arrivalRates(now)
		all += rate
		if other.Compare(of) < 0 {
			higher += rate
		}
	}
	own, early := q.ranks[of].arrivalRates(now)
	places := max(total-higher, floorRatio*own*min(1, total/max(all, minPlacesPerS)))
	switch {
	case t.isLate(now):
		return max(lateShare*places, places-early)
	case q.hasLate(of, now):
		return (1 - lateShare) * places
	default:
		return places
	}
}

// returnTime returns when the caller of t should return: when a place is expected for it, after those of its account that
// were told to return before. An account that is refused often delays only its own callers.
func (q *Queue) returnTime(t *Ticket, wait time.Duration, now time.Time) time.Duration {
	maps.DeleteFunc(q.returns, func(_ string, at time.Time) bool { return !at.After(now) })
	account, longest := t.request.Account, t.request.RetryAfter
	at := now.Add(wait)
	if last := q.returns[account]; last.After(at) {
		at = last
	}
	perPlace := float64(len(q.returns)+1) / max(minPlacesPerS, lateShare*q.limiter.Places().PerSecond)
	after := at.Sub(now) + time.Duration((0.5+q.rand())*perPlace*float64(time.Second))
	if after > longest { // more were refused than can return in time
		after = longest/2 + time.Duration(q.rand()*float64(longest)/2)
	} else {
		q.returns[account] = now.Add(after)
	}
	return max(after, minRetryAfter)
}
