package tgpublisher

import (
	"cmp"
	"slices"

	"tanagergrade/core/tgconfig"
)

// maxRecordBytes bounds a record unless one entity alone is larger; log services refuse records of a few megabytes.
const maxRecordBytes = 256 << 10

// entityOverhead is an upper bound, in bytes, for the kind and the structure of an encoded entity.
const entityOverhead = 64

// split returns change as parts that fit one record each. Entities come before those that refer to them, and deletions
// come last in the reverse order, so that the configuration is valid after each part.
func split(change tgconfig.Change) []tgconfig.Change {
	if encodedSizeBound(change.Entities) <= maxRecordBytes {
		return []tgconfig.Change{change}
	}
	entities := slices.Clone(change.Entities)
	slices.SortStableFunc(entities, func(a, b tgconfig.EntityChange) int { return cmp.Compare(splitOrder(a), splitOrder(b)) })
	var parts []tgconfig.Change
	start, total := 0, 0
	for i := range entities {
		n := encodedSizeBound(entities[i : i+1])
		if i > start && total+n > maxRecordBytes {
			parts = append(parts, tgconfig.Change{Comment: change.Comment, Entities: entities[start:i]})
			start, total = i, 0
		}
		total += n
	}
	return append(parts, tgconfig.Change{Comment: change.Comment, Entities: entities[start:]})
}

// encodedSizeBound returns an upper bound for the encoded size of entities in bytes.
func encodedSizeBound(entities []tgconfig.EntityChange) int {
	total := 0
	for _, e := range entities {
		total += len(e.Value) + len(e.Entity.Name) + entityOverhead
	}
	return total
}

// splitOrder returns the sort key of an entity in split.
func splitOrder(e tgconfig.EntityChange) int {
	order := []tgconfig.EntityKind{
		tgconfig.EntitySettings, tgconfig.EntityDataCentre, tgconfig.EntityPool, tgconfig.EntityUpstream,
		tgconfig.EntityGroup, tgconfig.EntityAccount,
	}
	i := slices.Index(order, e.Entity.Kind)
	if e.Deleted {
		return 2*len(order) - i
	}
	return i
}
