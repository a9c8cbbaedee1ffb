package tgconfig

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// maxPartBytes bounds the data of one snapshot part, so that no single append is large.
const maxPartBytes = 256 << 10

// ErrPartsMissing means that the indices of a snapshot's parts have a gap.
var ErrPartsMissing = errors.New("snapshot parts are missing")

// Snapshot is a folded state in a form that can be stored in the log and sent to peers.
type Snapshot struct {
	Covered  uint64               `cbor:"covered"`  // State.Applied when the snapshot was taken
	Entities []EntityChange       `cbor:"entities"` // the whole configuration
	Seen     map[uuid.UUID]uint64 `cbor:"seen"`     // State.seen
	Touched  []TouchedEntity      `cbor:"touched"`
}

// TouchedEntity is an entity and the offset after its last accepted change.
type TouchedEntity struct {
	Entity Entity `cbor:"entity"`
	Offset uint64 `cbor:"offset"`
}

// SnapshotPart is the body of a snapshot record. The data of all parts, in the order of Index, is the encoded Snapshot.
type SnapshotPart struct {
	Covered  uint64    `cbor:"covered"`
	Data     []byte    `cbor:"data"`
	Index    int       `cbor:"index"` // from 0
	Snapshot uuid.UUID `cbor:"snapshot"`
	Total    int       `cbor:"total"` // number of parts
}

// Snapshot returns the state in a form that can be stored.
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

// NewStateFromSnapshot returns the state that a snapshot holds.
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

// Parts returns the bodies of the records that store the snapshot under id.
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

// SnapshotAssembler assembles snapshots from the records of a stream.
type SnapshotAssembler struct {
	parts map[uuid.UUID]map[int]SnapshotPart
}

// Add adds a record and returns the snapshot that it completes, if any. It ignores records of other kinds.
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
