package tgconfig

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Diff returns the change that turns the configuration from into the configuration to.
func Diff(from, to *Config) (Change, error) {
	var d differ
	diffEntities(&d, EntityAccount, from.Accounts, to.Accounts)
	diffEntities(&d, EntityDataCentre, from.DataCentres, to.DataCentres)
	diffEntities(&d, EntityGroup, from.Groups, to.Groups)
	diffEntities(&d, EntityPool, from.Pools, to.Pools)
	if from.Settings != to.Settings {
		d.replace(Entity{Kind: EntitySettings}, to.Settings)
	}
	diffEntities(&d, EntityUpstream, from.Upstreams, to.Upstreams)
	return d.change, d.err
}

// differ collects the replaced and deleted entities of a change.
type differ struct {
	change Change
	err    error // failures to encode an entity, combined
}

func (d *differ) replace(e Entity, value any) {
	raw, err := cbor.Marshal(value)
	if err != nil {
		d.err = errors.CombineErrors(d.err, errors.Wrapf(err, "encode %s %q", e.Kind, e.Name))
		return
	}
	d.change.Entities = append(d.change.Entities, EntityChange{Entity: e, Value: raw})
}

func diffEntities[T any](d *differ, kind EntityKind, from, to map[string]T) {
	for _, name := range sortedKeys(to) {
		old, ok := from[name]
		if !ok || !reflect.DeepEqual(old, to[name]) {
			d.replace(Entity{Kind: kind, Name: name}, to[name])
		}
	}
	for _, name := range sortedKeys(from) {
		if _, ok := to[name]; !ok {
			d.change.Entities = append(d.change.Entities, EntityChange{
				Deleted: true, Entity: Entity{Kind: kind, Name: name},
			})
		}
	}
}
