// Package tgorder decides which orders are sent to an upstream, fences them and divides the weight store's rate.
package tgorder

import "fmt"

// Kind is the kind of change that an order asks for.
type Kind string

// Kinds of orders.
const (
	KindLoad   Kind = "load"
	KindRole   Kind = "role"
	KindUnload Kind = "unload"
)

// ResourceKind is the kind of thing that is loaded or unloaded.
type ResourceKind string

// Kinds of resources.
const (
	ResourceAdapter ResourceKind = "adapter"
	ResourceModel   ResourceKind = "model"
	ResourceRole    ResourceKind = "role" // the resource of all role orders
	ResourceVersion ResourceKind = "version"
)

// Resource is what an order changes; orders about the same resource conflict.
type Resource struct {
	Kind ResourceKind `json:"kind"`
	Name string       `json:"name"` // empty for the role
}

// Position is the place of an order in the log.
type Position struct {
	Index  int    `json:"index"`
	Offset uint64 `json:"offset"`
}

// Less reports whether p comes before other in the log.
func (p Position) Less(other Position) bool {
	if p.Offset != other.Offset {
		return p.Offset < other.Offset
	}
	return p.Index < other.Index
}

// Order names the state that an upstream has to reach, so it is idempotent.
type Order struct {
	Kind     Kind     `json:"kind"`
	Position Position `json:"position"`
	Resource Resource `json:"resource"`
	Role     string   `json:"role,omitempty"` // of role orders
	Token    uint64   `json:"token"`          // fencing token of the lease under which it was given
}

// State is what an upstream reports.
type State struct {
	Loaded map[Resource]bool `json:"loaded"`
	Role   string            `json:"role"`
}

// Satisfies reports whether the upstream is in the state that o asks for.
func (s State) Satisfies(o Order) bool {
	switch o.Kind {
	case KindLoad:
		return s.Loaded[o.Resource]
	case KindRole:
		return s.Role == o.Role
	default:
		return !s.Loaded[o.Resource]
	}
}

// StaleTokenError reports that the token of an order is lower than one already seen.
type StaleTokenError struct{ Highest, Token uint64 }

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("token %d is stale, the highest is %d", e.Token, e.Highest)
}

// SupersededError reports that a later order about the same resource is in the log.
type SupersededError struct{ By Position }

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("order is superseded by the one at offset %d, index %d", e.By.Offset, e.By.Index)
}

// TokenUnknownError reports that the companion has restarted and has not read the highest token from the log yet.
type TokenUnknownError struct{}

// Error implements error.
func (e *TokenUnknownError) Error() string {
	return "the highest token is not known yet"
}
