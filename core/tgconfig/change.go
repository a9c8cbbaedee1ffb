package tgconfig

import (
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// With returns a copy of c with the change applied, or an error if the result is invalid.
func (c *Config) With(change Change) (*Config, error) {
	next, err := c.withUnvalidated(change)
	if err != nil {
		return nil, err
	}
	if err := next.ValidateChange(change); err != nil {
		return nil, err
	}
	return next, nil
}

// withUnvalidated returns a copy of c with the change applied, without validating the result.
func (c *Config) withUnvalidated(change Change) (*Config, error) {
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
