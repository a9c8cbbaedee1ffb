// Package tgmark keeps the volatile marks that drain upstreams or withdraw data centres while the log is down.
package tgmark

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
)

// ErrUnknownEntity is returned for a mark whose upstream or data centre is not in the configuration.
var ErrUnknownEntity = errors.New("the configuration has no such entity")

const maxMarks = 1024 // bounds the marks that a faulty operator script can spread by gossip

// AcceptedConfig is the accepted configuration, as far as it decides whether a mark still holds.
type AcceptedConfig interface {
	// Decided reports whether the record with the ID has been applied, whether it was accepted or not.
	Decided(id uuid.UUID) bool
	// LastChanged returns the offset after the last accepted change of the entity.
	LastChanged(e tgconfig.Entity) uint64
}

// Table holds the active marks. A mark is only added, or dropped because the log has decided it; none adds capacity.
type Table struct {
	marks map[uuid.UUID]tgframe.Mark
	mu    sync.Mutex
}

// NewTable returns a table without marks.
func NewTable() *Table { return &Table{marks: map[uuid.UUID]tgframe.Mark{}} }

// Entity returns the configuration entity of a mark.
func Entity(m tgframe.Mark) tgconfig.Entity {
	if m.Kind == tgframe.MarkWithdraw {
		return tgconfig.Entity{Kind: tgconfig.EntityDataCentre, Name: m.Name}
	}
	return tgconfig.Entity{Kind: tgconfig.EntityUpstream, Name: m.Name}
}

// Merge adds the marks that the accepted configuration has not decided, up to a bound, and reports whether any is new.
func (t *Table) Merge(marks []tgframe.Mark, cfg AcceptedConfig) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, m := range marks {
		if _, ok := t.marks[m.ID]; ok || len(t.marks) >= maxMarks || isDecided(m, cfg) {
			continue
		}
		if m.Kind != tgframe.MarkDrain && m.Kind != tgframe.MarkWithdraw {
			continue
		}
		t.marks[m.ID] = m
		added = true
	}
	return added
}

// Prune drops the marks that the accepted configuration has decided and returns them. Call it after each change of the
// configuration.
func (t *Table) Prune(cfg AcceptedConfig) []tgframe.Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dropped []tgframe.Mark
	for id, m := range t.marks {
		if isDecided(m, cfg) {
			dropped = append(dropped, m)
			delete(t.marks, id)
		}
	}
	return dropped
}

// isDecided reports whether the log has m's own record or a change of its entity that m's writer had not applied.
func isDecided(m tgframe.Mark, cfg AcceptedConfig) bool {
	return cfg.Decided(m.ID) || cfg.LastChanged(Entity(m)) > m.Base
}

// Has reports whether a mark of the kind is active for name.
func (t *Table) Has(kind tgframe.MarkKind, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.marks {
		if m.Kind == kind && m.Name == name {
			return true
		}
	}
	return false
}

// Marks returns the active marks, sorted by ID.
func (t *Table) Marks() []tgframe.Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	marks := make([]tgframe.Mark, 0, len(t.marks))
	for _, m := range t.marks {
		marks = append(marks, m)
	}
	slices.SortFunc(marks, func(a, b tgframe.Mark) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return marks
}

// Digest returns a digest of the IDs of the active marks; 0 means that there are none.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := uint64(0)
	for id := range t.marks {
		// The sum does not depend on the order, and the second hash keeps related IDs from cancelling out.
		digest += xxhash.Sum64(binary.BigEndian.AppendUint64(id[:], xxhash.Sum64(id[:])))
	}
	return digest
}

// NewRecord returns the configuration change that makes a mark durable. It has the mark's ID, so that readers ignore it
// if it is written more than once.
func NewRecord(m tgframe.Mark, cfg *tgconfig.Config, writer string) (tgrecord.Record, error) {
	var value any
	switch m.Kind {
	case tgframe.MarkDrain:
		u, ok := cfg.Upstreams[m.Name]
		if !ok {
			return tgrecord.Record{}, errors.Wrapf(ErrUnknownEntity, "upstream %q", m.Name)
		}
		u.State = tgconfig.Drained
		value = u
	default:
		d, ok := cfg.DataCentres[m.Name]
		if !ok {
			return tgrecord.Record{}, errors.Wrapf(ErrUnknownEntity, "data centre %q", m.Name)
		}
		d.State = tgconfig.Withdrawn
		value = d
	}
	raw, err := cbor.Marshal(value)
	if err != nil {
		return tgrecord.Record{}, errors.Wrapf(err, "encode %s %q", m.Kind, m.Name)
	}
	change := tgconfig.Change{
		Comment:  "volatile mark written to the log",
		Entities: []tgconfig.EntityChange{{Entity: Entity(m), Value: raw}},
	}
	r, err := tgrecord.New(tgrecord.KindConfigChange, writer, m.Base, change)
	if err != nil {
		return tgrecord.Record{}, err
	}
	r.ID = m.ID
	return r, nil
}
