package tgconfig

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// maxPartBytes bounds the body of one snapshot part, so that no single append is large.
const maxPartBytes = 256 << 10

// ErrPartsMissing says that a snapshot is not complete yet.
var ErrPartsMissing = errors.New("snapshot parts are missing")

// Snapshot is a folded state that can be stored and sent.
type Snapshot struct {
	Covered  uint64               `cbor:"covered"` // State.Applied at the time
	Entities []EntityChange       `cbor:"entities"`
	Seen     map[uuid.UUID]uint64 `cbor:"seen"`
	Touched  []TouchedEntity      `cbor:"touched"`
}

// TouchedEntity is the offset after the last accepted change of an entity.
type TouchedEntity struct {
	Entity Entity `cbor:"entity"`
	Offset uint64 `cbor:"offset"`
}

// SnapshotPart is the body of a snapshot record; a snapshot is the concatenated data of its parts.
type SnapshotPart struct {
	Covered  uint64    `cbor:"covered"`
	Data     []byte    `cbor:"data"`
	Index    int       `cbor:"index"`
	Snapshot uuid.UUID `cbor:"snapshot"`
	Total    int       `cbor:"total"`
}

// Snapshot returns the state for storage.
func (s *State) Snapshot() (Snapshot, error) {
	change, err := Diff(&Config{}, s.cfg)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Covered: s.applied, Entities: change.Entities, Seen: maps.Clone(s.seen)}
	for e, offset := range s.lastChanged {
		snapshot.Touched = append(snapshot.Touched, TouchedEntity{Entity: e, Offset: offset})
	}
	return snapshot, nil
}

// NewStateFromSnapshot returns the state that a snapshot stores.
func NewStateFromSnapshot(snapshot Snapshot) (*State, error) {
	s := NewState()
	cfg, err := s.cfg.withUnvalidated(Change{Entities: snapshot.Entities})
	if err != nil {
		return nil, errors.Wrap(err, "apply snapshot")
	}
	s.applied, s.cfg = snapshot.Covered, cfg
	maps.Copy(s.seen, snapshot.Seen)
	for _, t := range snapshot.Touched {
		s.lastChanged[t.Entity] = t.Offset
	}
	return s, nil
}

// Parts returns the snapshot as bodies of records.
func (s Snapshot) Parts(id uuid.UUID) ([]SnapshotPart, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	chunks := slices.Collect(slices.Chunk(data, maxPartBytes))
	parts := make([]SnapshotPart, len(chunks))
	for i, c := range chunks {
		parts[i] = SnapshotPart{Covered: s.Covered, Data: c, Index: i, Snapshot: id, Total: len(chunks)}
	}
	return parts, nil
}

// SnapshotAssembler collects the parts of snapshots from the records of a stream.
type SnapshotAssembler struct {
	parts map[uuid.UUID]map[int]SnapshotPart
}

// Add takes a record and returns the snapshot that it completes, if it does.
func (a *SnapshotAssembler) Add(r tgrecord.Record) (snapshot Snapshot, complete bool, err error) {
	if r.Kind != tgrecord.KindSnapshot {
		return Snapshot{}, false, nil
	}
	part, err := tgrecord.Decode[SnapshotPart](r)
	if err != nil {
		return Snapshot{}, false, err
	}
	if a.parts == nil {
		a.parts = map[uuid.UUID]map[int]SnapshotPart{}
	}
	if a.parts[part.Snapshot] == nil {
		a.parts[part.Snapshot] = map[int]SnapshotPart{}
	}
	parts := a.parts[part.Snapshot]
	parts[part.Index] = part
	if len(parts) < part.Total {
		return Snapshot{}, false, nil
	}
	delete(a.parts, part.Snapshot)
	snapshot, err = joinParts(parts)
	return snapshot, err == nil, err
}

func joinParts(parts map[int]SnapshotPart) (Snapshot, error) {
	var data []byte
	for i := range len(parts) {
		part, ok := parts[i]
		if !ok {
			return Snapshot{}, ErrPartsMissing
		}
		data = append(data, part.Data...)
	}
	var s Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return s, nil
}
