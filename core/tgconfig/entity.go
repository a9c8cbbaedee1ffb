package tgconfig

import (
	"github.com/fxamacker/cbor/v2"
)

// EntityKind is the kind of an entity; each kind has a table of the configuration.
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

// Entity identifies an entry of a table, or the settings. Changes replace, and conflicts concern, whole entities.
type Entity struct {
	Kind EntityKind `cbor:"kind" json:"kind"`
	Name string     `cbor:"name" json:"name"` // empty for settings
}

// EntityChange replaces or deletes one entity.
type EntityChange struct {
	Deleted bool            `cbor:"deleted,omitempty"`
	Entity  Entity          `cbor:"entity"`
	Value   cbor.RawMessage `cbor:"value,omitempty"` // encoding of the whole entity, unless it is deleted
}

// Change is the body of a configuration change.
type Change struct {
	Comment  string         `cbor:"comment,omitempty"`
	Entities []EntityChange `cbor:"entities"`
}
