package tgproxy

import (
	"time"

	"tanagergrade/core/tgcost"
	"tanagergrade/core/tgpicker"
	"tanagergrade/core/tgstreamlimit"
	"tanagergrade/core/tgwaitqueue"
	"tanagergrade/core/tgworkload"
)

// State is the state of the proxy in a dump of the daemon.
type State struct {
	Callers   int                            `json:"callers"` // open connections of callers
	Costs     map[string]tgcost.RouteState   `json:"costs"`   // lengths of answers, by route
	Draining  bool                           `json:"draining"`
	Pools     map[string]tgstreamlimit.State `json:"pools"`
	Queues    map[string]tgwaitqueue.State   `json:"queues,omitempty"` // by pool; those of streams that wait for a place
	Upstreams []tgpicker.UpstreamState       `json:"upstreams"`
	Work      map[string]tgworkload.State    `json:"work"` // left for the streams of this process, by upstream
}

// State returns the current state.
func (s *Server) State() State {
	state := State{
		Costs: s.costs.States(), Draining: s.isDraining(), Pools: map[string]tgstreamlimit.State{},
		Queues: s.admission.states(time.Now()), Upstreams: s.picker.States(), Work: s.ledger.States(),
	}
	s.streamLimiters.Range(func(pool string, l *tgstreamlimit.Limiter) bool {
		state.Pools[pool] = l.State()
		return true
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Callers = len(s.callers)
	return state
}

// Streams returns the number of streams in progress by pool.
func (s *Server) Streams() map[string]int {
	streams := map[string]int{}
	s.streamLimiters.Range(func(pool string, l *tgstreamlimit.Limiter) bool {
		streams[pool] = l.State().InFlight
		return true
	})
	return streams
}
