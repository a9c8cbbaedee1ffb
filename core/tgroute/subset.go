package tgroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const minUpstreamsPerDataCentre = 4 // so that a small data centre still offers a choice

// Subset returns the upstreams that the entry self uses: about size of them, with some in every data centre. In each data
// centre the upstreams are ordered by hash, and the entries, also ordered by hash, start at equal distances in that order.
// So every upstream is used by the same number of entries, give or take one, and adding or removing an upstream or an
// entry moves the starts only a little. Without a list of entries the start is the hash of self, which is stable but
// spreads unevenly. If the list does not contain self, it is added.
func Subset(entries []string, self string, upstreams []Candidate, size int) []Candidate {
	if len(upstreams) <= size {
		return upstreams
	}
	start := func(n int) int { return int(xxhash.Sum64String(self) % uint64(n)) }
	if len(entries) > 0 {
		index, count := position(entries, self)
		start = func(n int) int { return index * n / count }
	}
	byDataCentre := map[string][]Candidate{}
	for _, u := range upstreams {
		byDataCentre[u.DataCentre] = append(byDataCentre[u.DataCentre], u)
	}
	var subset []Candidate
	for _, members := range byDataCentre {
		sortByHash(members, func(c Candidate) string { return c.Name })
		n := len(members)
		width := min(max((size*n+len(upstreams)-1)/len(upstreams), minUpstreamsPerDataCentre), n)
		for i := range width {
			subset = append(subset, members[(start(n)+i)%n])
		}
	}
	slices.SortFunc(subset, func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) })
	return subset
}

// position returns the index of self among the entries ordered by hash, and their number.
func position(entries []string, self string) (index, count int) {
	all := slices.Clone(entries)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	sortByHash(all, func(s string) string { return s })
	return slices.Index(all, self), len(all)
}

func sortByHash[T any](s []T, key func(T) string) {
	type hashed struct {
		hash  uint64
		key   string
		value T
	}
	all := make([]hashed, len(s))
	for i, v := range s {
		all[i] = hashed{hash: xxhash.Sum64String(key(v)), key: key(v), value: v}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.key, b.key))
	})
	for i := range all {
		s[i] = all[i].value
	}
}
