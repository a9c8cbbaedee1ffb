package tgstreamlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callers is the offered load of one priority.
type callers struct {
	perSecond float64
	priority  int
	until     time.Duration // end of the arrivals; 0 if they do not end
}

// simulatePriorities runs sources against a limiter whose limit stays at 20 streams of 1.5 s, so that 13 per second fit,
// and returns the share of each source's arrivals that was admitted.
func simulatePriorities(sources []callers) []float64 {
	const (
		limit      = 20
		streamTime = 1500 * time.Millisecond
		step       = time.Millisecond
		runs       = 120 * time.Second
	)
	r := rand.New(rand.NewPCG(5, 6))
	p := NewLimiter(limit, Bounds{GapTarget: time.Second, Max: limit, Min: limit}, r.Float64)
	var running []*Ticket
	arrived, admitted := make([]float64, len(sources)), make([]float64, len(sources))
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < runs; at += step {
		now := start.Add(at)
		for len(running) > 0 && now.Sub(running[0].start) >= streamTime {
			running[0].Done(now)
			running = running[1:]
		}
		for i, s := range sources {
			if s.until > 0 && at >= s.until || r.Float64() >= s.perSecond*step.Seconds() {
				continue
			}
			arrived[i]++
			if ticket, refusal := p.Admit(Request{Priority: s.priority}, now); refusal == nil {
				admitted[i]++
				running = append(running, ticket)
			}
		}
	}
	for i := range admitted {
		admitted[i] /= arrived[i]
	}
	return admitted
}

// Guards against refusing high priorities in an overload as often as low ones, and against reserving capacity for
// priorities without arrivals.
func TestPriorities(t *testing.T) {
	even := simulatePriorities([]callers{{perSecond: 13, priority: 1}, {perSecond: 13, priority: 1}})
	alone := simulatePriorities([]callers{{perSecond: 26, priority: 3}})
	t.Run("higher priority is served more often", func(t *testing.T) {
		got := simulatePriorities([]callers{{perSecond: 13, priority: 1}, {perSecond: 13, priority: 2}})
		t.Logf("admitted: %.2f and %.2f with priorities, %.2f and %.2f without", got[0], got[1], even[0], even[1])
		assert.Assert(t, got[0] > 1.3*got[1])
		assert.Assert(t, got[0] > even[0])
		// The reserve leaves little capacity idle: at least 0.9 of the streams served without priorities are served.
		assert.Assert(t, got[0]+got[1] > 0.9*(even[0]+even[1]))
	})
	t.Run("lower priority does not starve", func(t *testing.T) {
		got := simulatePriorities([]callers{{perSecond: 80, priority: 0}, {perSecond: 13, priority: 2}})
		t.Logf("admitted: %.2f and %.2f", got[0], got[1])
		assert.Assert(t, got[1] > 0.25*got[0])
	})
	t.Run("nothing is reserved with a single priority", func(t *testing.T) {
		assert.Assert(t, alone[0] > 0.95*even[0], "%.2f against %.2f", alone[0], even[0])
	})
	t.Run("nothing is reserved for a priority without arrivals", func(t *testing.T) {
		got := simulatePriorities([]callers{{perSecond: 13, priority: 0, until: time.Second}, {perSecond: 26, priority: 3}})
		assert.Assert(t, got[1] > 0.95*alone[0], "%.2f against %.2f", got[1], alone[0])
	})
}

// Guards against a limit of one stream of which the reserve excludes lower priorities for ever.
func TestPriorityOnEmptyPacer(t *testing.T) {
	p := NewLimiter(1, Bounds{GapTarget: time.Second, Max: 1, Min: 1}, rand.Float64)
	now := time.Unix(1000, 0)
	ticket, refusal := p.Admit(Request{Priority: 0}, now)
	assert.Assert(t, refusal == nil)
	ticket.Done(now.Add(time.Millisecond))
	_, refusal = p.Admit(Request{Priority: 4}, now.Add(2*time.Millisecond))
	assert.Assert(t, refusal == nil)
}
