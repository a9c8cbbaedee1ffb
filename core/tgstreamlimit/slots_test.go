package tgstreamlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// queuedStream is an admitted stream, which runs once it has a slot of an engine.
type queuedStream struct {
	admitted time.Time
	ends     time.Time // zero while it waits for a slot
	entry    int
	ticket   *Ticket
}

// simulateSlots runs entries in front of a pool with short passes, so that only its slots limit it, at twice the load that
// fits. If known is set, entries learn each other's number of streams twice a second. It returns the share of admitted
// streams that got a slot in time, and the mean share of slots in use.
func simulateSlots(known bool) (inTime, used float64) {
	const (
		entries    = 6
		slots      = 60
		streamTime = 1500 * time.Millisecond
		perTick    = 2 * float64(slots) * float64(tick) / float64(streamTime)
		maxWait    = 300 * time.Millisecond // for a slot
		runs       = 30 * time.Second
	)
	r := rand.New(rand.NewPCG(7, 8))
	now := time.Unix(1000, 0)
	limiters, reported := make([]*Limiter, entries), make([]int, entries)
	for i := range limiters {
		limiters[i] = NewLimiter(20, Bounds{GapTarget: 100 * time.Millisecond, Max: slots, Min: 2}, r.Float64)
	}
	var running, queue []*queuedStream
	inTimeCount, admitted, busy := 0, 0, 0.0
	for at := time.Duration(0); at < runs; at += tick {
		now = now.Add(tick)
		if at%(500*time.Millisecond) == 0 {
			for i, p := range limiters {
				reported[i] = p.State().InFlight
			}
		}
		remaining := running[:0]
		for _, s := range running {
			if now.Before(s.ends) {
				limiters[s.entry].ObserveGap(40*time.Millisecond, now)
				remaining = append(remaining, s)
				continue
			}
			s.ticket.Done(now)
		}
		running = remaining
		for n := perTick; n > 0 && (n >= 1 || r.Float64() < n); n-- {
			entry := r.IntN(entries)
			p := limiters[entry]
			b := Bounds{GapTarget: 100 * time.Millisecond, Max: slots, Min: 2}
			if known {
				others := 0
				for i, streams := range reported {
					if i != entry {
						others += streams
					}
				}
				b.FreeSlots = max(b.Min, float64(slots-others))
			}
			p.SetBounds(b)
			if ticket, refusal := p.Admit(Request{}, now); refusal == nil {
				admitted++
				queue = append(queue, &queuedStream{admitted: now, entry: entry, ticket: ticket})
			}
		}
		for len(queue) > 0 && len(running) < slots {
			s := queue[0]
			queue = queue[1:]
			s.ends = now.Add(streamTime)
			if now.Sub(s.admitted) <= maxWait {
				inTimeCount++
			}
			running = append(running, s)
		}
		if at >= 2*streamTime { // the slots fill within the first streamTime
			busy += float64(len(running)) / slots
		}
	}
	return float64(inTimeCount) / float64(admitted), busy * float64(tick) / float64(runs-2*streamTime)
}

const tick = 10 * time.Millisecond

// Guards against streams that wait for an engine slot until their callers time out. The gaps of running streams stay
// short, so the limit alone admits as many streams at each entry as the whole pool has slots. With 24 engines and twice
// the load that fits, the median first event took 940 ms and only 0.24 of the streams' value was earned.
func TestStreamsDoNotWaitForSlots(t *testing.T) {
	without, _ := simulateSlots(false)
	inTime, used := simulateSlots(true)
	t.Logf("in time: %.2f without the others' streams, %.2f with them; %.2f of the slots used", without, inTime, used)
	assert.Assert(t, without < 0.5)
	assert.Assert(t, inTime > 0.95)
	assert.Assert(t, used > 0.9)
}
