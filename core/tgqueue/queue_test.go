package tgqueue

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
)

type fixture struct {
	*Queue[string]
	clock   time.Time
	dropped map[string]Reason
}

func newFixture(capacity int) *fixture {
	f := &fixture{clock: time.Unix(0, 0), dropped: map[string]Reason{}}
	f.Queue = NewQueue(capacity, func(v string, r Refusal) { f.dropped[v] = r.Reason },
		WithClock(func() time.Time { return f.clock }), WithRand(rand.New(rand.NewPCG(1, 1)).Float64),
		WithWaitBounds(map[tgcall.Priority]time.Duration{tgcall.Live: time.Second}))
	return f
}

func (f *fixture) add(account string, p tgcall.Priority, share int, v string, deadline time.Duration) *Refusal {
	_, r := f.Push(Request{Account: account, Deadline: f.clock.Add(deadline), Priority: p, Weight: share, Work: 1}, v)
	return r
}

// Guards against running, or keeping in a full queue, work of a lower priority in preference to a higher one.
func TestPriorityOrderAndShedding(t *testing.T) {
	f := newFixture(3)
	assert.Assert(t, f.add("a", tgcall.Bulk, 1, "b1", time.Minute) == nil)
	assert.Assert(t, f.add("a", tgcall.Standard, 1, "s1", time.Minute) == nil)
	assert.Assert(t, f.add("a", tgcall.Live, 1, "l1", time.Minute) == nil)
	assert.Assert(t, f.add("b", tgcall.Live, 1, "l2", time.Minute) == nil)
	assert.DeepEqual(t, f.dropped, map[string]Reason{"b1": ReasonFull})
	assert.Equal(t, f.add("b", tgcall.Bulk, 1, "b2", time.Minute).Reason, ReasonFull)
	assert.Assert(t, f.add("b", tgcall.Live, 1, "l3", time.Minute) == nil)
	assert.Equal(t, f.dropped["s1"], ReasonFull)
	for range 3 {
		v, ok := f.Pop()
		assert.Assert(t, ok && v[0] == 'l', v)
	}
	_, ok := f.Pop()
	assert.Assert(t, !ok)
}

// Guards against running queued work after its deadline, and against ignoring the wait bound of a priority.
func TestDeadlinePassed(t *testing.T) {
	f := newFixture(4)
	assert.Assert(t, f.add("a", tgcall.Standard, 1, "late", 2*time.Second) == nil)
	assert.Assert(t, f.add("a", tgcall.Live, 1, "bound", time.Minute) == nil)
	assert.Assert(t, f.add("a", tgcall.Standard, 1, "kept", time.Minute) == nil)
	f.clock = f.clock.Add(2 * time.Second)
	v, ok := f.Pop()
	assert.Assert(t, ok)
	assert.Equal(t, v, "kept")
	assert.DeepEqual(t, f.dropped, map[string]Reason{"bound": ReasonDeadline, "late": ReasonDeadline})
}

// Guards against queueing requests that cannot be run before their deadline.
func TestEarlyShedding(t *testing.T) {
	f := newFixture(100)
	for i := range 50 {
		assert.Assert(t, f.add("a", tgcall.Standard, 1, strconv.Itoa(i), time.Hour) == nil)
	}
	for range 20 { // one every 100 ms
		f.Pop()
		f.clock = f.clock.Add(100 * time.Millisecond)
	}
	assert.Equal(t, f.add("a", tgcall.Standard, 1, "short", time.Second).Reason, ReasonDeadline)
	assert.Assert(t, f.add("a", tgcall.Standard, 1, "long", time.Minute) == nil)
	assert.Assert(t, f.add("b", tgcall.Standard, 1, "other account", time.Second) == nil)
	assert.Assert(t, f.add("a", tgcall.Live, 1, "live", time.Second) == nil)
	f.clock = f.clock.Add(time.Hour)
	assert.Equal(t, f.add("c", tgcall.Live, 1, "stopped", time.Second).Reason, ReasonDeadline)
}

// Guards against shares that depend on how much load an account offers, and against starved accounts.
func TestSharesUnderOverload(t *testing.T) {
	shares := map[string]int{"large": 50, "middle": 20}
	for i := range 30 {
		shares[fmt.Sprint("small", i)] = 1
	}
	f := newFixture(200)
	r := rand.New(rand.NewPCG(7, 7))
	served := map[string]float64{}
	total := 0.0
	for range 40_000 {
		for account, share := range shares {
			if r.Float64() < 0.05*float64(share) { // five times the load that can be served
				f.add(account, tgcall.Standard, share, account, time.Hour)
			}
		}
		v, ok := f.Pop()
		assert.Assert(t, ok)
		served[v]++
		total++
		f.clock = f.clock.Add(time.Millisecond)
	}
	for account, share := range shares {
		got, want := served[account]/total, float64(share)/100
		assert.Assert(t, got > 0.95*want && got < 1.05*want, "%s got %.4f, share %.4f", account, got, want)
	}
}

// Guards against state that outlives its request, with as many accounts as the design allows for.
func TestStateOfManyAccountsIsBounded(t *testing.T) {
	f := newFixture(64)
	r := rand.New(rand.NewPCG(3, 3))
	var tickets []*Ticket[string]
	for i := range 36_000 {
		request := Request{Account: strconv.Itoa(i), Deadline: f.clock.Add(time.Second), Work: 1 + r.IntN(50)}
		if ticket, refusal := f.Push(request, ""); refusal == nil {
			tickets = append(tickets, ticket)
		}
		switch r.IntN(3) {
		case 0:
			f.Pop()
		case 1:
			f.Remove(tickets[r.IntN(len(tickets))])
		}
		f.clock = f.clock.Add(time.Millisecond)
		c := &f.classes[tgcall.Standard.Rank()]
		assert.Assert(t, f.Len() <= 64 && len(c.flows) <= f.Len() && len(c.finishTags) <= maxAheadAccounts)
	}
	for f.Len() > 0 {
		f.Pop()
	}
	assert.Equal(t, f.Work(), 0)
}

// Guards against refused callers that all retry at the same time.
func TestRetryAfterHasJitter(t *testing.T) {
	f := newFixture(0)
	seen := map[time.Duration]bool{}
	for range 100 {
		d := f.add("a", tgcall.Bulk, 1, "x", time.Minute).RetryAfter
		assert.Assert(t, d >= minRetryAfter/2 && d <= 2*minRetryAfter, d)
		seen[d] = true
	}
	assert.Assert(t, len(seen) > 90)
}
