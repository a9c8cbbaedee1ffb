// Package tggroup runs the controller of a rank group and the agents of its ranks inside the companions.
package tggroup

import (
	"context"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgtwophase"
)

// RequestKind is the operation that a controller requests from an agent.
type RequestKind string

// Kinds of requests, sorted.
const (
	RequestLoads      RequestKind = "loads"      // read the loads since the last read
	RequestOrder      RequestKind = "order"      // carry out Request.Message
	RequestPlacements RequestKind = "placements" // read the placements whose weights the rank has loaded
	RequestState      RequestKind = "state"      // read the state of the step protocol
)

// Request is sent by the controller to the agent of a rank.
type Request struct {
	Kind      RequestKind         `cbor:"kind" json:"kind"`
	Message   tgtwophase.Message  `cbor:"message" json:"message"`               // set for an order
	Placement *tgexpert.Placement `cbor:"placement,omitempty" json:"placement"` // set for an order to stage weights
}

// Response is an agent's answer. The field that belongs to the kind of the request is set.
type Response struct {
	Loads      *RankLoads        `cbor:"loads,omitempty"`
	Placements []RankPlacement   `cbor:"placements,omitempty"`
	Reply      *tgtwophase.Reply `cbor:"reply,omitempty"`
	State      *tgtwophase.State `cbor:"state,omitempty"`
}

// RankLoads has the tokens per step that the expert replicas of a rank have received since the last read.
type RankLoads struct {
	Loads tgexpert.Loads `json:"loads"`
	Steps int            `json:"steps"` // since the last read
}

// RankPlacement is the placement of a map whose weights a rank has loaded.
type RankPlacement struct {
	ID        tgtwophase.ID       `json:"id"`
	Placement *tgexpert.Placement `json:"placement"`
}

// RankCaller calls the agents of a group by rank. After an error it is unknown whether the request was carried out.
type RankCaller interface {
	Call(ctx context.Context, rank int, r Request) (Response, error)
}

// LocalRanks calls agents in the same process; the index is the rank.
type LocalRanks []*Agent

// Call implements RankCaller.
func (l LocalRanks) Call(ctx context.Context, rank int, r Request) (Response, error) {
	return l[rank].Call(ctx, r)
}

// Leases grants the leases of group controllers and provides the fencing tokens in the log.
type Leases interface {
	// Acquire waits until this process holds the lease and returns its token.
	Acquire(ctx context.Context, name string) (token uint64, err error)
	// Held reports whether the lease with this token is held and its last renewal has been confirmed in time.
	Held(name string, token uint64) bool
	// Token returns the highest token of the lease in the log, or false while the log has not been read.
	Token(name string) (token uint64, ok bool)
}
