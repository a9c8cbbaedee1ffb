package tgconfig

import (
	"maps"

	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// Verdict is the result of applying a change: whether it was accepted and, if not, why.
type Verdict string

// Verdicts, sorted.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict" // one of its entities was changed at or after its base
	Ignored  Verdict = "ignored"  // its ID is repeated
	Invalid  Verdict = "invalid"  // it cannot be decoded, its base is above its offset, or it gives an invalid configuration
	Stale    Verdict = "stale"    // its base is older than HistoryWindow, so conflicts cannot be detected
)

// HistoryWindow is the number of offsets for which the state remembers record IDs and the last change of each entity.
// A change whose base is older is rejected, so what is forgotten cannot change a verdict. At 15,000 changes a day the
// window is 32 hours.
const HistoryWindow = 20_000

// Decision is the verdict on the change in one record.
type Decision struct {
	Conflicts []Entity // entities changed at or after the base, if Verdict is Conflict
	ID        uuid.UUID
	Reason    string // empty if Verdict is Accepted
	Verdict   Verdict
}

// State folds the configuration stream. It depends only on the records and their offsets, so every reader of the same
// records reaches the same State. It is not safe for concurrent use.
type State struct {
	applied        uint64            // offset after the last append folded; only grows
	cfg            *Config           // replaced as a whole, never modified
	lastChanged    map[Entity]uint64 // offset after the last accepted change of an entity, within HistoryWindow
	latestSnapshot StoredSnapshot
	parts          map[uuid.UUID]map[int]bool // indices read of snapshots that are not complete, by snapshot
	seen           map[uuid.UUID]uint64       // offset of each change folded within HistoryWindow, by record ID
	trimmedAt      uint64                     // value of applied when lastChanged and seen were last trimmed
}

// NewState returns the state before the first record: default settings and no entities.
func NewState() *State {
	return &State{
		cfg: &Config{
			Accounts:    map[string]Account{},
			DataCentres: map[string]DataCentre{},
			Groups:      map[string]Group{},
			Pools:       map[string]Pool{},
			Settings:    DefaultSettings(),
			Upstreams:   map[string]Upstream{},
		},
		lastChanged: map[Entity]uint64{},
		parts:       map[uuid.UUID]map[int]bool{},
		seen:        map[uuid.UUID]uint64{},
	}
}

// Applied returns the offset after the last append that was folded.
func (s *State) Applied() uint64 { return s.applied }

// Config returns the accepted configuration.
func (s *State) Config() *Config { return s.cfg }

// Decided reports whether a change with the record ID was folded within HistoryWindow, whatever its verdict.
func (s *State) Decided(id uuid.UUID) bool {
	_, ok := s.seen[id]
	return ok
}

// LastChanged returns the offset after the last accepted change of e, or 0 if it is older than HistoryWindow.
func (s *State) LastChanged(e Entity) uint64 { return s.lastChanged[e] }

// Apply folds the records of one append and returns the decisions on its changes. It ignores an append that is older than
// Applied, since it was folded before.
func (s *State) Apply(offset uint64, records []tgrecord.Record) []Decision {
	if offset < s.applied {
		return nil
	}
	decisions := make([]Decision, 0, len(records))
	for _, r := range records {
		switch r.Kind {
		case tgrecord.KindConfigChange:
			d := s.applyChange(offset, r)
			d.ID = r.ID
			decisions = append(decisions, d)
		case tgrecord.KindSnapshot:
			s.addSnapshotPart(r)
		default:
		}
	}
	s.applied = offset + 1
	s.trim()
	return decisions
}

func (s *State) applyChange(offset uint64, r tgrecord.Record) Decision {
	if at, ok := s.seen[r.ID]; ok && at+HistoryWindow > offset {
		return Decision{Verdict: Ignored, Reason: "repeated ID"}
	}
	s.seen[r.ID] = offset
	change, err := tgrecord.Decode[Change](r)
	switch {
	case err != nil:
		return Decision{Verdict: Invalid, Reason: err.Error()}
	case r.Base > offset:
		return Decision{Verdict: Invalid, Reason: "base is after the change itself"}
	case r.Base+HistoryWindow <= offset:
		return Decision{Verdict: Stale, Reason: "base is too old"}
	}
	if conflicts := s.conflicts(r.Base, change); len(conflicts) > 0 {
		return Decision{Verdict: Conflict, Conflicts: conflicts, Reason: "changed after the base of this change"}
	}
	next, err := s.cfg.With(change)
	if err != nil {
		return Decision{Verdict: Invalid, Reason: err.Error()}
	}
	s.cfg = next
	for _, e := range change.Entities {
		s.lastChanged[e.Entity] = offset + 1
	}
	return Decision{Verdict: Accepted}
}

// conflicts returns the entities of change that an accepted change at or after base has changed.
func (s *State) conflicts(base uint64, change Change) []Entity {
	var conflicts []Entity
	for _, e := range change.Entities {
		if s.lastChanged[e.Entity] > base {
			conflicts = append(conflicts, e.Entity)
		}
	}
	return conflicts
}

// trim removes entries that are too old to affect a verdict, once per quarter of HistoryWindow.
func (s *State) trim() {
	if s.applied < s.trimmedAt+HistoryWindow/4 || s.applied < HistoryWindow {
		return
	}
	s.trimmedAt = s.applied
	floor := s.applied - HistoryWindow
	maps.DeleteFunc(s.seen, func(_ uuid.UUID, at uint64) bool { return at < floor })
	maps.DeleteFunc(s.lastChanged, func(_ Entity, at uint64) bool { return at <= floor })
}
