// Package tgmark has the volatile marks that remove capacity while the log is down.
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

// ErrUnknownEntity says that the configuration lacks the entity of a mark.
var ErrUnknownEntity = errors.New("the configuration has no such entity")

const maxMarks = 1024 // bounds what a faulty operator script can spread

// AcceptedConfig is what the accepted configuration says of a mark.
type AcceptedConfig interface {
	// Decided reports whether the record with the ID has been folded, with whatever verdict.
	Decided(id uuid.UUID) bool
	// LastChanged returns the offset after the last accepted change of the entity.
	LastChanged(e tgconfig.Entity) uint64
}

// Table has the marks in force. Marks are only added, or dropped because the log decided; none adds capacity.
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

// Merge adds marks that the accepted configuration has not decided and reports whether any is new.
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

// Prune drops the marks that the accepted configuration has decided; to be called after each change of it.
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

func isDecided(m tgframe.Mark, cfg AcceptedConfig) bool {
	return cfg.Decided(m.ID) || cfg.LastChanged(Entity(m)) > m.Base
}

// Has reports whether a mark of the kind is in force for name.
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

// Marks returns the marks in force, sorted by ID.
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

// Digest returns a digest of the IDs in force; 0 means that there are none.
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

// NewRecord returns the change that makes a mark durable. It has the mark's ID, so that readers ignore repetitions.
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
