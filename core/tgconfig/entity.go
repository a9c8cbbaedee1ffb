package tgconfig

import (
	"github.com/fxamacker/cbor/v2"
)

// EntityKind names a table of the configuration.
type EntityKind string

// Kinds of entities, sorted.
const (
	EntityAccount    EntityKind = "account"
	EntityDataCentre EntityKind = "dataCentre"
	EntityGroup      EntityKind = "group"
	EntityPool       EntityKind = "pool"
	EntitySettings   EntityKind = "settings"
	EntityUpstream   EntityKind = "upstream"
)

// Entity names the unit of change and of conflict.
type Entity struct {
	Kind EntityKind `cbor:"kind" json:"kind"`
	Name string     `cbor:"name" json:"name"` // empty for settings
}

// EntityChange replaces or deletes one entity.
type EntityChange struct {
	Deleted bool            `cbor:"deleted,omitempty"`
	Entity  Entity          `cbor:"entity"`
	Value   cbor.RawMessage `cbor:"value,omitempty"` // whole entity, if not Deleted
}

// Change is the body of a configuration change.
type Change struct {
	Comment  string         `cbor:"comment,omitempty"`
	Entities []EntityChange `cbor:"entities"`
}
