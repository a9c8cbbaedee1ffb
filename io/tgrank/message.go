// Package tgrank runs the rank groups: an agent beside each engine reports the state of its rank, and the agent that
// leads places the experts.
package tgrank

import (
	"net/netip"
	"time"

	"tanagergrade/core/tgswitch"
)

// Beacon is what the leader sends to all agents.
type Beacon struct {
	Fast  bool   `cbor:"1,keyasint"` // a change is under way: report the state often
	Token int64  `cbor:"2,keyasint"`
	VM    string `cbor:"3,keyasint"`
	Want  bool   `cbor:"4,keyasint"` // report the experts that the rank holds
}

// Report is the state of a rank.
type Report struct {
	Counts  []uint32       `cbor:"1,keyasint,omitempty"` // choices of each expert since the last counts, set by set
	Engine  netip.AddrPort `cbor:"2,keyasint"`
	Experts [][]int        `cbor:"3,keyasint,omitempty"` // held, by set; belongs to Version of State
	Group   string         `cbor:"4,keyasint"`
	Pool    string         `cbor:"5,keyasint"`
	Rank    int            `cbor:"6,keyasint"`
	Ranks   int            `cbor:"7,keyasint"`
	State   tgswitch.Rank  `cbor:"8,keyasint"`
	VM      string         `cbor:"9,keyasint"`
}

// envelope is a datagram; one field is set.
type envelope struct {
	Beacon *Beacon `cbor:"1,keyasint,omitempty"`
	Report *Report `cbor:"2,keyasint,omitempty"`
}

const (
	reportInterval = 200 * time.Millisecond
	fastInterval   = 30 * time.Millisecond
	beaconInterval = 500 * time.Millisecond
	leaderFor      = 2 * time.Second // an agent reports to a leader for so long after its last beacon
)
