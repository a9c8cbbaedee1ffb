package tgpublisher

import (
	"cmp"
	"slices"

	"tanagergrade/core/tgconfig"
)

// maxRecordBytes bounds one record; log services refuse records of some megabytes.
const maxRecordBytes = 256 << 10

// entityOverhead is more than what kind and structure of an encoded entity take.
const entityOverhead = 64

// split returns change as parts that fit one record each. Entities come before those that refer to them and
// deletions come last in reverse, so that the parts are valid one after the other.
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

func encodedSizeBound(entities []tgconfig.EntityChange) int {
	total := 0
	for _, e := range entities {
		total += len(e.Value) + len(e.Entity.Name) + entityOverhead
	}
	return total
}

// splitOrder orders entities for split.
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
