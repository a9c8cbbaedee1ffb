// Package tgshardmap provides containers that are split into shards, each with its own lock.
package tgshardmap

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 32 // a power of two, so that the remainder of the hash is a mask

// Map is a map with string keys that is safe for concurrent use.
type Map[V any] struct {
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	mu sync.RWMutex
	m  map[string]V // guarded by mu
}

// NewMap returns an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.shards {
		m.shards[i].m = map[string]V{}
	}
	return m
}

func (m *Map[V]) shard(key string) *shard[V] {
	return &m.shards[xxhash.Sum64String(key)%shardCount]
}

// Delete removes key, if it is present.
func (m *Map[V]) Delete(key string) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, key)
}

// Get returns the value of key and whether key is present.
func (m *Map[V]) Get(key string) (V, bool) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.m[key]
	return v, ok
}

// GetOrCreate returns the value of key. If key is not present, it first stores what create returns; create must not use the
// map.
func (m *Map[V]) GetOrCreate(key string, create func() V) V {
	if v, ok := m.Get(key); ok {
		return v
	}
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	if !ok {
		v = create()
		s.m[key] = v
	}
	return v
}

// Len returns the number of keys. Shards are counted one after another, so the number may reflect only some of the
// concurrent changes.
func (m *Map[V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		n += len(s.m)
		s.mu.RUnlock()
	}
	return n
}

// Range calls f for each entry until f returns false. It copies the entries of a shard first, so that f may use the map.
func (m *Map[V]) Range(f func(key string, v V) bool) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		entries := make(map[string]V, len(s.m))
		for k, v := range s.m {
			entries[k] = v
		}
		s.mu.RUnlock()
		for k, v := range entries {
			if !f(k, v) {
				return
			}
		}
	}
}

// Set stores v under key.
func (m *Map[V]) Set(key string, v V) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[key] = v
}

// SetIfAbsent stores v under key unless key is present. It returns the value that is now stored and whether it is v.
func (m *Map[V]) SetIfAbsent(key string, v V) (V, bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.m[key]; ok {
		return old, false
	}
	s.m[key] = v
	return v, true
}
