package tgwaitqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgstreamlimit"
)

func ranked(high, low func(time.Duration) float64) []source {
	return []source{
		{account: "a", perSecond: high, rank: Rank{}},
		{account: "a", perSecond: low, rank: Rank{Priority: 1}},
	}
}

// Guards against callers who are never served, or late, although the pool can serve them: each load is replayed with the
// queue and with refusals at once, and the queue must serve at least as many of the first source and, unless callers
// insist, of all. The bounds follow from the load: what fits into the slots is served, in the order of the ranks, and
// within what callers bear.
func TestLoads(t *testing.T) {
	between := func(at, from, to time.Duration) bool { return at > from && at < to }
	for name, c := range map[string]struct {
		load load
		want []served // at least
	}{
		"burst of a higher rank": { // 25 of 30 streams per second, and 14 of the lower rank
			load: load{sources: ranked(burst(10), steady(14))}, want: []served{{all: 0.99, onTime: 0.95}, {all: 0.9}},
		},
		"burst of a lower rank": {
			load: load{sources: ranked(steady(12), burst(12))}, want: []served{{all: 0.99, onTime: 0.99}, {all: 0.9}},
		},
		"bursts of both": { // 30 of 60 streams per second fit for 4 s, and 24 come after it
			load: load{sources: ranked(burst(12), burst(12))}, want: []served{{all: 0.97}, {all: 0.7}},
		},
		"lasting overload": { // 30 of 40 streams per second fit; the lower rank keeps half the share of the higher one
			load: load{sources: ranked(steady(26), steady(14))}, want: []served{{all: 0.8}, {all: 0.4}},
		},
		"half of the engines gone": { // for 4 s; 15 of 20 streams per second fit
			load: load{sources: ranked(steady(10), steady(10)), slots: func(at time.Duration) float64 {
				if between(at, 10*time.Second, 14*time.Second) {
					return slots / 2
				}
				return slots
			}},
			want: []served{{all: 0.99, onTime: 0.95}, {all: 0.95}},
		},
		"outage of the pool": { // for 2.5 s of 25, which all callers survive by waiting or by one return
			load: load{sources: ranked(steady(10), steady(10)), outage: func(at time.Duration) bool {
				return between(at, 10*time.Second, 12500*time.Millisecond)
			}},
			want: []served{{all: 0.99}, {all: 0.99}},
		},
		"account that repeats at once": { // the other account asks for less than its half
			load: load{sources: []source{
				{account: "a", perSecond: steady(10)}, {account: "b", insists: true, perSecond: steady(25)},
			}},
			want: []served{{all: 0.99, onTime: 0.9}, {}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.load.runs = 25 * time.Second
			refusing, queued := play(c.load, false), play(c.load, true)
			t.Logf("refused at once: %.3f; with the queue: %.3f", refusing, queued)
			for i, want := range c.want {
				assert.Assert(t, queued[i].all >= want.all && queued[i].onTime >= want.onTime, "source %d", i)
			}
			assert.Assert(t, queued[0].all >= refusing[0].all)
			assert.Assert(t, c.load.sources[1].insists || c.load.total(queued) >= c.load.total(refusing))
		})
	}
}

// fill returns a queue of which all places are taken, and the tickets that hold them.
func fill(places int, now time.Time) (*Queue, []*tgstreamlimit.Ticket) {
	n := float64(places)
	limiter := tgstreamlimit.NewLimiter(n, tgstreamlimit.Bounds{FreeSlots: n, GapTarget: time.Second, Max: n, Min: n}, rand.Float64)
	taken := make([]*tgstreamlimit.Ticket, places)
	for i := range taken {
		taken[i] = limiter.TryAdmit(false, now)
	}
	return NewQueue(limiter, rand.Float64), taken
}

// waiting returns r as a stream that bears a wait.
func waiting(r Request, wait time.Duration, now time.Time) Request {
	r.Cost, r.LastStart, r.OnTimeBy, r.RetryAfter = 1, now.Add(wait), now.Add(wait), longestReturn
	return r
}

const longestReturn = 4 * time.Second

// Guards against an order other than by rank, account's share and age, and against callers who are passed over because
// they were refused before.
func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	q, taken := fill(8, now)
	names := map[*Ticket]string{}
	for _, r := range []Request{
		{Account: "a1", Rank: Rank{Priority: 1}}, {Account: "a2", Rank: Rank{Priority: 1}}, {Account: "a2", Rank: Rank{Priority: 1}},
		{Account: "a1", Rank: Rank{Priority: 1}}, {Account: "low", Rank: Rank{Priority: 1, RoutePriority: 1}},
		{Account: "back", Rank: Rank{Priority: 1}, Returning: true}, {Account: "high", Rank: Rank{RoutePriority: 2}},
	} {
		names[q.Submit(waiting(r, time.Minute, now), now)] = r.Account
	}
	var order []string
	for _, place := range taken[:len(names)] {
		place.Done(now)
		q.Grant(now)
		for ticket, name := range names {
			if got, _ := ticket.Outcome(); got != nil {
				order = append(order, name)
				delete(names, ticket)
			}
		}
	}
	assert.DeepEqual(t, order, []string{"high", "a1", "a2", "back", "a2", "a1", "low"})
}

// Guards against a place that is lost when a caller leaves before or after it has got it, against one that is given to a
// caller who has left, and against waiting on when the process shuts down.
func TestLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	q, taken := fill(2, now)
	submit := func() *Ticket { return q.Submit(waiting(Request{Account: "a"}, time.Minute, now), now) }
	first, second, third, fourth := submit(), submit(), submit(), submit()
	first.Leave(now)
	taken[0].Done(now)
	q.Grant(now)
	place, _ := first.Outcome()
	assert.Assert(t, place == nil)
	place, _ = second.Outcome()
	assert.Assert(t, place != nil)
	second.Leave(now)
	place, _ = third.Outcome()
	assert.Assert(t, place != nil)
	assert.Equal(t, q.limiter.State().InFlight, 2)
	q.Drain(now)
	_, refusal := fourth.Outcome()
	assert.Equal(t, refusal.Reason, ReasonDrain)
	assert.Equal(t, q.Update(now), 0)
}

// Guards against a cost that is no number, as a caller's header may say, and that would spoil the order of all others.
func TestCostIsNoNumber(t *testing.T) {
	now := time.Unix(1000, 0)
	q, taken := fill(1, now)
	for _, cost := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		r := waiting(Request{Account: "a"}, time.Minute, now)
		r.Cost = cost
		q.Submit(r, now)
	}
	last := q.Submit(waiting(Request{Account: "b"}, time.Minute, now), now)
	for _, w := range q.waiting {
		assert.Assert(t, w.start >= 0 && w.start <= 3, w.start)
	}
	taken[0].Done(now)
	q.Grant(now)
	last.Leave(now)
	assert.Equal(t, q.Update(now), 3)
}

// Guards against all callers who wait for the end of an outage starting in one pass, and against new callers who wait in
// it: they can come back.
func TestEndOfOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	q, taken := fill(40, now)
	for _, place := range taken {
		place.Done(now)
	}
	q.SetRunning(false, now)
	for range 40 {
		q.Submit(waiting(Request{Account: "a", Returning: true}, time.Minute, now), now)
	}
	_, refusal := q.Submit(waiting(Request{Account: "a"}, time.Minute, now), now).Outcome()
	assert.Equal(t, refusal.Reason, ReasonOutage)
	q.Probe(now)
	assert.Equal(t, q.Update(now), 39)
	q.SetRunning(true, now)
	for at := time.Duration(0); at <= reopenTime; at += reopenTime / 10 {
		left := q.Update(now.Add(at))
		assert.Assert(t, left >= 40-1-int(40*at/reopenTime) && left <= 40-int(40*at/reopenTime), "%v %d", at, left)
	}
}

// Guards against refused callers who return all at once, before a place is expected or in another order, and against an
// account that delays the return of another one.
func TestReturnTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := fill(30, now)
	var returns []time.Duration
	for len(returns) < 100 {
		if _, refusal := q.Submit(waiting(Request{Account: "a"}, patience, now), now).Outcome(); refusal != nil {
			assert.Equal(t, refusal.Reason, ReasonWait)
			returns = append(returns, refusal.RetryAfter)
		}
	}
	assert.Assert(t, slices.IsSorted(returns[:5])) // the others have no place within longestReturn
	for _, d := range returns {
		assert.Assert(t, d >= patience && d <= longestReturn)
	}
	slices.Sort(returns)
	assert.Equal(t, len(slices.Compact(returns)), 100)
	_, refusal := q.Submit(waiting(Request{Account: "b"}, 0, now), now).Outcome()
	assert.Assert(t, refusal.RetryAfter < patience, refusal.RetryAfter)
}

// Guards against a queue that holds its lock for tenths of a second when all who wait have to be refused: the order was
// derived anew for each of them. It shows in the bytes that are allocated, also on a busy machine: at least one for each
// pair of streams.
func TestRefusingAll(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := fill(30, now)
	for i := range maxWaiting {
		q.Submit(waiting(Request{Account: fmt.Sprint("a", i%5), Returning: true}, time.Hour, now), now)
	}
	assert.Equal(t, len(q.waiting), maxWaiting)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	assert.Equal(t, q.Update(now.Add(time.Hour)), 0)
	runtime.ReadMemStats(&after)
	perStream := (after.TotalAlloc - before.TotalAlloc) / maxWaiting
	assert.Assert(t, perStream < maxWaiting, "%d bytes for each of %d streams", perStream, maxWaiting)
}
