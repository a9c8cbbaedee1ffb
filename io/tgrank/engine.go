package tgrank

import (
	"net/netip"
	"time"

	"tanagergrade/core/tgswitch"
)

// EngineState is the state that an engine reports.
type EngineState struct {
	Group    string
	Slowdown float64 // factor by which its work takes longer than usual
	Rank     int
	Ranks    int       // of the group; 0 if the engine is in none
	Started  time.Time // of the engine process
	State    tgswitch.RankState
}

// EngineClient calls the engines. Calls to the engine on another VM cost more than to the one on this VM.
type EngineClient interface {
	Counts(addr netip.AddrPort) (counts []uint64, err error)
	Experts(addr netip.AddrPort) (version int64, sets [][]int, err error)
	Order(addr netip.AddrPort, o tgswitch.Order, token int64, replicas [][][]int) (tgswitch.Result, error)
	State(addr netip.AddrPort) (EngineState, error)
}

// ElectionStatus is the result of an election for one of its members.
type ElectionStatus struct {
	IsLeader bool
	Token    int64 // fencing token; grows with each change of the leader
}

// Election elects one daemon as the leader. Join takes the token of the member's last status, or 0.
type Election interface {
	Join(member string, token int64) (ElectionStatus, error)
	Leave(member string) error
}

// Log receives the log events of an agent.
type Log interface {
	Dependency(name, state string, err error)
	Line(message string, fields map[string]any)
}
