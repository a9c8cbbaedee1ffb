// Package tgrank manages rank groups: an agent on the VM of each engine reports the state of its rank, and the elected
// leader among the agents decides which ranks hold which experts.
package tgrank

import (
	"net/netip"
	"time"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgmapchange"
)

// Peer is another agent.
type Peer struct {
	Address       netip.AddrPort
	EngineAddress netip.AddrPort // on the agent's VM
	VM            string
}

// Beacon is the message that the leader repeats to all agents: who leads, and how to report.
type Beacon struct {
	CountsEvery int    `cbor:"5,keyasint"` // number of reports of a rank from one with counts to the next
	FastReports bool   `cbor:"1,keyasint"` // a change is under way: report the state often
	Token       int64  `cbor:"2,keyasint"`
	VM          string `cbor:"3,keyasint"`
	WantExperts bool   `cbor:"4,keyasint"` // report the experts that the rank holds
}

// Report is the state of a rank.
type Report struct {
	StateAge      time.Duration         `cbor:"10,keyasint"` // of State when the report was sent
	Counts        QuantizedCounts       `cbor:"1,keyasint"`  // choices of each expert since the last counts
	EngineAddress netip.AddrPort        `cbor:"2,keyasint"`
	From          netip.AddrPort        `cbor:"-"`                    // set by the receiver
	Experts       [][]int               `cbor:"3,keyasint,omitempty"` // held by the rank, by set, in the map of State.Version
	Group         string                `cbor:"4,keyasint"`
	Memory        byte                  `cbor:"12,keyasint,omitempty"` // used, in parts of 255
	Slowdown      float64               `cbor:"11,keyasint"`           // factor by which the engine's work takes longer than usual
	Pool          string                `cbor:"5,keyasint"`
	Rank          int                   `cbor:"6,keyasint"`
	Ranks         int                   `cbor:"7,keyasint"`
	State         tgmapchange.RankState `cbor:"8,keyasint"`
	Streams       *int                  `cbor:"13,keyasint,omitempty"` // of the engine, running and queued; nil from earlier versions
	VM            string                `cbor:"9,keyasint"`
}

// Request asks an agent to pass an order to the engine on its VM.
type Request struct {
	Group       string            `cbor:"1,keyasint"`
	Number      uint64            `cbor:"2,keyasint"` // identifies the request within a term
	Order       tgmapchange.Order `cbor:"3,keyasint"`
	BaseVersion int64             `cbor:"6,keyasint,omitempty"` // version of the map that Delta applies to
	Delta       *tgexpert.Delta   `cbor:"7,keyasint,omitempty"` // from the base to the map to prepare
	Replicas    [][][]int         `cbor:"4,keyasint,omitempty"` // full map, experts by set and rank, if agent lacks the base
	Token       int64             `cbor:"5,keyasint"`
}

// Reply is the result of a Request.
type Reply struct {
	Error       string             `cbor:"1,keyasint,omitempty"`
	BaseMissing bool               `cbor:"5,keyasint,omitempty"` // the agent does not have the map of BaseVersion
	Number      uint64             `cbor:"2,keyasint"`
	Result      tgmapchange.Result `cbor:"3,keyasint"`
	Token       int64              `cbor:"4,keyasint"`
}

// envelope is a datagram; exactly one field is set.
type envelope struct {
	Beacon  *Beacon  `cbor:"1,keyasint,omitempty"`
	Members bool     `cbor:"5,keyasint,omitempty"` // the request of an entry, see tggroupview.MembersRequest
	Reply   *Reply   `cbor:"2,keyasint,omitempty"`
	Report  *Report  `cbor:"3,keyasint,omitempty"`
	Request *Request `cbor:"4,keyasint,omitempty"`
}

const (
	reportInterval     = 100 * time.Millisecond // of an agent while its group does not change
	relayTimeout       = 120 * time.Millisecond // for the reply of an agent
	fastReportInterval = 30 * time.Millisecond  // instead of reportInterval while the group changes
	fastBeaconInterval = 100 * time.Millisecond // instead of beaconInterval to the agents of a group that changes
	beaconInterval     = 300 * time.Millisecond // to all agents
	leaderTTL          = 2 * time.Second        // an agent reports to a leader for this long after the leader's last beacon
)
