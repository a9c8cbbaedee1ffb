package tgrank

import (
	"net/netip"
	"time"

	"tanagergrade/core/tgswitch"
)

// EngineState is what an engine says of itself.
type EngineState struct {
	Group    string
	Slowdown float64
	Rank     int
	Ranks    int // of the group; 0 if the engine is in none
	Started  time.Time
	State    tgswitch.RankState
}

// EngineClient calls the engines. Calls to another VM's engine cost more.
type EngineClient interface {
	Counts(addr netip.AddrPort) (counts []uint64, err error)
	Experts(addr netip.AddrPort) (version int64, sets [][]int, err error)
	Order(addr netip.AddrPort, o tgswitch.Order, token int64, replicas [][][]int) (tgswitch.Result, error)
	State(addr netip.AddrPort) (EngineState, error)
}

// ElectionStatus is the standing of a daemon among those that may lead.
type ElectionStatus struct {
	IsLeader bool
	Token    int64 // grows with each change of the leader
}

// Election finds the one daemon that leads.
type Election interface {
	Join(member string, token int64) (ElectionStatus, error)
	Leave(member string) error
}

// Log takes what the agent decides.
type Log interface {
	Dependency(name, state string, err error)
	Line(message string, fields map[string]any)
}
