package tgconfig

import (
	"maps"
	"slices"
)

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
