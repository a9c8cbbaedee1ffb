// Package tggroup runs the controller of a rank group and the agents of its ranks inside the companions.
package tggroup

import (
	"context"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgstep"
)

// RequestKind says what a controller wants from an agent.
type RequestKind string

// Kinds of requests.
const (
	RequestLoads      RequestKind = "loads"
	RequestOrder      RequestKind = "order"
	RequestPlacements RequestKind = "placements"
	RequestState      RequestKind = "state"
)

// Request goes from the controller to the agent beside a rank.
type Request struct {
	Kind      RequestKind         `cbor:"kind" json:"kind"`
	Message   tgstep.Message      `cbor:"message" json:"message"`               // of order
	Placement *tgexpert.Placement `cbor:"placement,omitempty" json:"placement"` // of order, with stage
}

// Response is an agent's answer; the field of the request's kind is set.
type Response struct {
	Loads      *RankLoads      `cbor:"loads,omitempty"`
	Placements []RankPlacement `cbor:"placements,omitempty"`
	Reply      *tgstep.Reply   `cbor:"reply,omitempty"`
	State      *tgstep.State   `cbor:"state,omitempty"`
}

// RankLoads has the tokens per step that a rank's replicas received since the last read.
type RankLoads struct {
	Loads tgexpert.Loads `json:"loads"`
	Steps int            `json:"steps"`
}

// RankPlacement is a map whose weights a rank holds.
type RankPlacement struct {
	ID        tgstep.ID           `json:"id"`
	Placement *tgexpert.Placement `json:"placement"`
}

// RankCaller reaches the agents of a group. An error means that the outcome is unknown.
type RankCaller interface {
	Call(ctx context.Context, rank int, r Request) (Response, error)
}

// LocalRanks reaches agents in the same process.
type LocalRanks []*Agent

// Call implements RankCaller.
func (l LocalRanks) Call(ctx context.Context, rank int, r Request) (Response, error) {
	return l[rank].Call(ctx, r)
}

// Leases grants the lease of a group's controller and knows the fencing tokens in the log.
type Leases interface {
	// Acquire waits until this process holds the lease and returns its token.
	Acquire(ctx context.Context, name string) (token uint64, err error)
	// Held reports whether the lease with this token is held and its last renewal has been confirmed in time.
	Held(name string, token uint64) bool
	// Token returns the highest token of the lease in the log, or false while the log has not been read.
	Token(name string) (token uint64, ok bool)
}
