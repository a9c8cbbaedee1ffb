package tgadmin

import (
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
)

// Mark is a volatile mark: it removes a data centre or an upstream from service while the log cannot record the change.
type Mark struct {
	Base   uint64          `json:"base"` // log offset that the writer has applied; the daemon replaces 0 by its own
	Entity tgconfig.Entity `json:"entity"`
	ID     uuid.UUID       `json:"id"` // ID of the change that records the mark when the log returns
	Writer string          `json:"writer"`
}

// Validate returns an error unless m has an ID and names a data centre or an upstream.
func (m Mark) Validate() error {
	switch {
	case m.ID == uuid.Nil:
		return errors.New("mark has no ID")
	case m.Entity.Name == "":
		return errors.New("mark names no entity")
	case m.Entity.Kind != tgconfig.EntityDataCentre && m.Entity.Kind != tgconfig.EntityUpstream:
		return errors.Newf("a mark names a data centre or an upstream, not kind %q", m.Entity.Kind)
	default:
		return nil
	}
}
