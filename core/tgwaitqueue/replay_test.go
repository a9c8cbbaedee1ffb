package tgwaitqueue

import (
	"math/rand/v2"
	"time"

	"tanagergrade/core/tgstreamlimit"
)

const (
	step       = 5 * time.Millisecond
	firstEvent = 200 * time.Millisecond // from a place on
	streamTime = 1500 * time.Millisecond
	slots      = 45 // 30 streams per second fit
)

// What callers bear: they count a stream as on time within target of their first attempt, leave after patience without an
// event, and return once if they are told to within a third of the time that is left.
const (
	callerDeadline = 8 * time.Second
	patience       = 2 * time.Second
	target         = 500 * time.Millisecond
)

// source is one account's load of one rank.
type source struct {
	account   string
	insists   bool // its callers come back at once, and as often as they can
	perSecond func(at time.Duration) float64
	rank      Rank
}

// served is what became of the load of a source; shares of the callers.
type served struct{ all, onTime float64 }

// load is a load to be replayed.
type load struct {
	outage  func(at time.Duration) bool
	runs    time.Duration
	slots   func(at time.Duration) float64
	sources []source
}

// caller is one caller of a source.
type caller struct {
	began, asked, ends time.Duration // of its first attempt, its present attempt and its stream
	place              *tgstreamlimit.Ticket
	returning          bool
	source             int
	ticket             *Ticket
}

// replay is a load played against one entry.
type replay struct {
	arrivals *rand.Rand // the same with a queue and without
	at       time.Duration
	callers  []int // by source
	limiter  *tgstreamlimit.Limiter
	load     load
	onTime   []int
	queue    *Queue // nil to admit without a queue
	rand     *rand.Rand
	running  []*caller
	served   []int
	waiting  []*caller
	returns  map[time.Duration][]*caller
}

// play replays a load with a queue or without, and returns what was served of each source.
func play(l load, queued bool) []served {
	n := len(l.sources)
	r := &replay{
		arrivals: rand.New(rand.NewPCG(13, 14)), callers: make([]int, n), load: l, onTime: make([]int, n), rand: rand.New(rand.NewPCG(11, 12)),
		returns: map[time.Duration][]*caller{}, served: make([]int, n),
	}
	bounds := tgstreamlimit.Bounds{GapTarget: time.Second, Max: slots, Min: slots, MaxStreamTime: callerDeadline}
	r.limiter = tgstreamlimit.NewLimiter(slots, bounds, r.rand.Float64)
	if queued {
		r.queue = NewQueue(r.limiter, r.rand.Float64)
	}
	for ; r.at < l.runs+callerDeadline; r.at += step {
		if bounds.FreeSlots = slots; l.slots != nil {
			bounds.FreeSlots = l.slots(r.at)
		}
		r.limiter.SetBounds(bounds)
		r.advance()
		for i, s := range l.sources {
			for k := s.perSecond(r.at) * step.Seconds(); r.at < l.runs && k > 0 && (k >= 1 || r.arrivals.Float64() < k); k-- {
				r.callers[i]++
				r.ask(&caller{began: r.at, source: i})
			}
		}
		for _, c := range r.returns[r.at] {
			c.returning = true
			r.ask(c)
		}
		delete(r.returns, r.at)
	}
	result := make([]served, n)
	for i := range result {
		result[i] = served{all: float64(r.served[i]) / float64(r.callers[i]), onTime: float64(r.onTime[i]) / float64(r.callers[i])}
	}
	return result
}

func (r *replay) now() time.Time { return time.Unix(1000, 0).Add(r.at) }

func (r *replay) inOutage() bool { return r.load.outage != nil && r.load.outage(r.at) }

// advance ends streams and takes the decisions of the queue.
func (r *replay) advance() {
	running := r.running[:0]
	for _, c := range r.running {
		if r.at < c.ends {
			running = append(running, c)
			continue
		}
		c.place.Done(r.now())
		r.served[c.source]++
	}
	r.running = running
	if r.queue == nil {
		return
	}
	r.queue.SetRunning(!r.inOutage(), r.now())
	r.queue.Update(r.now())
	waiting := r.waiting
	r.waiting = nil
	for _, c := range waiting {
		r.follow(c)
	}
}

// ask asks for a place.
func (r *replay) ask(c *caller) {
	c.asked = r.at
	rank := r.load.sources[c.source].rank
	left := c.began + callerDeadline - r.at
	if r.queue != nil {
		c.ticket = r.queue.Submit(Request{
			Account: r.load.sources[c.source].account, Cost: 1, LastStart: r.now().Add(patience - firstEvent),
			OnTimeBy: r.now().Add(target - firstEvent), Rank: rank, RetryAfter: left / 3, Returning: c.returning,
		}, r.now())
		r.follow(c)
		return
	}
	if r.inOutage() { // as the circuit breaker does
		r.refuse(c, time.Second+time.Duration(r.rand.Float64()*float64(time.Second)))
		return
	}
	place, refusal := r.limiter.Admit(tgstreamlimit.Request{Priority: rank.Priority, Retry: c.returning}, r.now())
	if refusal != nil {
		r.refuse(c, refusal.RetryAfter)
		return
	}
	r.start(c, place)
}

// follow acts on the decision about a ticket, if there is one.
func (r *replay) follow(c *caller) {
	if !c.ticket.isDecided() {
		r.waiting = append(r.waiting, c)
		return
	}
	place, refusal := c.ticket.Outcome()
	switch {
	case place != nil:
		r.start(c, place)
	case refusal.Reason == ReasonOutage:
		r.refuse(c, time.Second+time.Duration(r.rand.Float64()*float64(time.Second)))
	default:
		r.refuse(c, refusal.RetryAfter)
	}
}

func (r *replay) start(c *caller, place *tgstreamlimit.Ticket) {
	c.place, c.ends = place, r.at+streamTime
	r.running = append(r.running, c)
	if r.at+firstEvent-c.began <= target {
		r.onTime[c.source]++
	}
}

func (r *replay) refuse(c *caller, after time.Duration) {
	insists := r.load.sources[c.source].insists
	if c.returning && !insists || after > (c.began+callerDeadline-r.at)/3 {
		return
	}
	if insists {
		after = 20 * step
	}
	back := (r.at + after).Truncate(step) + step
	r.returns[back] = append(r.returns[back], c)
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns 2.5 times the load between 10 and 14 s.
func burst(perSecond float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 10*time.Second && at < 14*time.Second {
			return 2.5 * perSecond
		}
		return perSecond
	}
}

// total returns the streams per second that are served, without bursts.
func (l load) total(result []served) float64 {
	n := 0.0
	for i, s := range l.sources {
		n += s.perSecond(0) * result[i].all
	}
	return n
}
