package tgrank

import (
	"net/netip"
	"time"

	"tanagergrade/core/tgmapchange"
)

// EngineState is the state that an engine reports.
type EngineState struct {
	Group    string
	Memory   float64 // share of its memory that is used, from 0 to 1
	Slowdown float64 // factor by which its work takes longer than usual
	Rank     int
	Ranks    int       // of the group; 0 if the engine is in none
	Started  time.Time // of the engine process
	State    tgmapchange.RankState
	Streams  int // running and queued
}

// EngineClient calls the engines. Calls to the engine on another VM cost more than to the one on this VM.
type EngineClient interface {
	// Counts returns how often each expert was chosen since the engine started, set by set.
	Counts(addr netip.AddrPort) (counts []uint64, err error)
	// Experts returns the version of the map in use and the experts that the engine holds in it, by set.
	Experts(addr netip.AddrPort) (version int64, sets [][]int, err error)
	// Order sends an order; replicas are the experts by set and rank of an order to prepare.
	Order(addr netip.AddrPort, o tgmapchange.Order, token int64, replicas [][][]int) (tgmapchange.Result, error)
	// State returns the state that the engine reports.
	State(addr netip.AddrPort) (EngineState, error)
}

// ElectionStatus is the result of an election for one of its members.
type ElectionStatus struct {
	IsLeader bool
	Token    int64 // fencing token; grows with each change of the leader
}

// Election elects one daemon as the leader.
type Election interface {
	// Join joins the election or stays in it; token is that of the member's last status, or 0.
	Join(member string, token int64) (ElectionStatus, error)
	// Leave leaves the election; it is no error if the member is not in it.
	Leave(member string) error
}

// Log receives the log events of an agent.
type Log interface {
	Dependency(name, state string, err error)
	Line(message string, fields map[string]any)
}
