package tgconfig

import (
	"maps"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// Verdict says what the accept rule made of a change.
type Verdict string

// Verdicts of the accept rule.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
	Ignored  Verdict = "ignored" // a repeated ID or a record that is not a change
	Invalid  Verdict = "invalid"
)

// Decision is the verdict on one record.
type Decision struct {
	Conflicts []Entity
	Reason    string
	Verdict   Verdict
}

// State folds the config stream; every reader of the same records reaches the same State.
type State struct {
	applied uint64               // offset of the last record folded plus one
	cfg     *Config              // replaced, never modified
	seen    map[uuid.UUID]uint64 // IDs of folded changes
	touched map[Entity]uint64    // offset of the last accepted change of an entity
}

// NewState returns the state before the first record.
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
		seen:    map[uuid.UUID]uint64{},
		touched: map[Entity]uint64{},
	}
}

// Applied returns the offset after the last record folded.
func (s *State) Applied() uint64 { return s.applied }

// Config returns the accepted configuration.
func (s *State) Config() *Config { return s.cfg }

// Apply folds the records of one append at offset; offsets only grow.
func (s *State) Apply(offset uint64, records []tgrecord.Record) []Decision {
	if offset < s.applied {
		return nil
	}
	decisions := make([]Decision, 0, len(records))
	for _, r := range records {
		decisions = append(decisions, s.applyRecord(offset, r))
	}
	s.applied = offset + 1
	return decisions
}

func (s *State) applyRecord(offset uint64, r tgrecord.Record) Decision {
	if r.Kind != tgrecord.KindConfigChange {
		return Decision{Verdict: Ignored}
	}
	if _, ok := s.seen[r.ID]; ok {
		return Decision{Verdict: Ignored, Reason: "repeated ID"}
	}
	s.seen[r.ID] = offset
	change, err := tgrecord.Decode[Change](r)
	if err != nil {
		return Decision{Verdict: Invalid, Reason: err.Error()}
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
		s.touched[e.Entity] = offset + 1
	}
	return Decision{Verdict: Accepted}
}

// conflicts returns the entities of change that an accepted change at or after base touched.
func (s *State) conflicts(base uint64, change Change) []Entity {
	var conflicts []Entity
	for _, e := range change.Entities {
		if s.touched[e.Entity] > base {
			conflicts = append(conflicts, e.Entity)
		}
	}
	return conflicts
}

// With returns a copy of c with the change made.
func (c *Config) With(change Change) (*Config, error) {
	next := *c
	cloned := map[EntityKind]bool{}
	for _, e := range change.Entities {
		var err error
		switch e.Entity.Kind {
		case EntityAccount:
			next.Accounts, err = replaceEntity(next.Accounts, e, cloned)
		case EntityDataCentre:
			next.DataCentres, err = replaceEntity(next.DataCentres, e, cloned)
		case EntityGroup:
			next.Groups, err = replaceEntity(next.Groups, e, cloned)
		case EntityPool:
			next.Pools, err = replaceEntity(next.Pools, e, cloned)
		case EntitySettings:
			err = errors.Wrap(cbor.Unmarshal(e.Value, &next.Settings), "decode settings")
		case EntityUpstream:
			next.Upstreams, err = replaceEntity(next.Upstreams, e, cloned)
		default:
			err = errors.Newf("entity kind %q does not exist", e.Entity.Kind)
		}
		if err != nil {
			return nil, err
		}
	}
	return &next, nil
}

func replaceEntity[T any](m map[string]T, e EntityChange, cloned map[EntityKind]bool) (map[string]T, error) {
	if !cloned[e.Entity.Kind] {
		m = maps.Clone(m)
		cloned[e.Entity.Kind] = true
	}
	if e.Deleted {
		delete(m, e.Entity.Name)
		return m, nil
	}
	var v T
	if err := cbor.Unmarshal(e.Value, &v); err != nil {
		return nil, errors.Wrapf(err, "decode %s %q", e.Entity.Kind, e.Entity.Name)
	}
	m[e.Entity.Name] = v
	return m, nil
}

// Diff returns the change that turns from into to.
func Diff(from, to *Config) (Change, error) {
	var change Change
	var err error
	add := func(kind EntityKind, changes []EntityChange, e error) {
		_ = kind
		err = errors.CombineErrors(err, e)
		change.Entities = append(change.Entities, changes...)
	}
	accounts, e := diffMaps(EntityAccount, from.Accounts, to.Accounts)
	add(EntityAccount, accounts, e)
	dataCentres, e := diffMaps(EntityDataCentre, from.DataCentres, to.DataCentres)
	add(EntityDataCentre, dataCentres, e)
	groups, e := diffMaps(EntityGroup, from.Groups, to.Groups)
	add(EntityGroup, groups, e)
	pools, e := diffMaps(EntityPool, from.Pools, to.Pools)
	add(EntityPool, pools, e)
	if from.Settings != to.Settings {
		raw, e := cbor.Marshal(to.Settings)
		add(EntitySettings, []EntityChange{{Entity: Entity{Kind: EntitySettings}, Value: raw}}, e)
	}
	upstreams, e := diffMaps(EntityUpstream, from.Upstreams, to.Upstreams)
	add(EntityUpstream, upstreams, e)
	return change, err
}

func diffMaps[T any](kind EntityKind, from, to map[string]T) ([]EntityChange, error) {
	var changes []EntityChange
	for _, name := range sortedKeys(to) {
		old, ok := from[name]
		if ok && reflect.DeepEqual(old, to[name]) {
			continue
		}
		raw, err := cbor.Marshal(to[name])
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s %q", kind, name)
		}
		changes = append(changes, EntityChange{Entity: Entity{Kind: kind, Name: name}, Value: raw})
	}
	for _, name := range sortedKeys(from) {
		if _, ok := to[name]; !ok {
			changes = append(changes, EntityChange{Deleted: true, Entity: Entity{Kind: kind, Name: name}})
		}
	}
	return changes, nil
}
