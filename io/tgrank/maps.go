package tgrank

import (
	"sync"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgmapchange"
)

const maxCachedMaps = 4 // a change needs the map before it; the others are of changes that were undone

// mapCache keeps the maps that an agent relayed last, so that a request needs to contain only the difference from one
// of them.
type mapCache struct {
	maps  map[int64]*tgexpert.Replication // by version
	mu    sync.Mutex
	order []int64 // versions, oldest first
}

// resolve returns the map of a request, or false if the agent lacks the map that the difference applies to. In map 0 the
// experts are assigned to the ranks in turn.
func (c *mapCache) resolve(q Request) ([][][]int, bool) {
	if q.Order.Operation != tgmapchange.Prepare {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.maps[q.Order.Version]; ok {
		return known.Sets, true // a repeated request
	}
	if q.Delta == nil {
		if len(q.Replicas) == 0 || len(q.Replicas[0]) == 0 {
			return nil, false
		}
		c.add(q.Order.Version, &tgexpert.Replication{
			Experts: expertCount(q.Replicas[0]), Ranks: len(q.Replicas[0]), Sets: q.Replicas,
		})
		return q.Replicas, true
	}
	base, ok := c.maps[q.BaseVersion]
	if q.BaseVersion == 0 {
		base, ok = tgexpert.NewReplication(q.Delta.Sets, q.Delta.Experts, q.Delta.Ranks), true
	}
	if !ok {
		return nil, false
	}
	next, ok := base.Apply(*q.Delta)
	if !ok {
		return nil, false
	}
	next.Sort()
	c.add(q.Order.Version, next)
	return next.Sets, true
}

// expertCount returns the number of experts of a set. Every expert is on some rank, so the highest index gives it.
func expertCount(ranks [][]int) int {
	highest := -1
	for _, held := range ranks {
		for _, e := range held {
			highest = max(highest, e)
		}
	}
	return highest + 1
}

// add stores a map and evicts the oldest one beyond maxCachedMaps. The caller holds mu.
func (c *mapCache) add(version int64, p *tgexpert.Replication) {
	if c.maps == nil {
		c.maps = map[int64]*tgexpert.Replication{}
	}
	c.maps[version] = p
	if c.order = append(c.order, version); len(c.order) > maxCachedMaps {
		delete(c.maps, c.order[0])
		c.order = c.order[1:]
	}
}
