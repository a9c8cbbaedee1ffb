package tgquarantine

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	historyShards   = 16
	historyMaxParts = 4096            // of one generation of a shard
	historyTime     = 5 * time.Minute // a part is remembered at least this long, unless there are too many
)

// historySeed keeps callers from finding parts with the same digest as a known one.
var historySeed = maphash.MakeSeed()

// history remembers digests of the parts of answers, in two generations. Its zero value is empty. A part that it has
// forgotten counts as unknown.
type history struct {
	shards [historyShards]historyShard
}

type historyShard struct {
	mu       sync.Mutex      // guards the fields below
	current  map[uint64]bool // by digest: whether an answer was complete
	previous map[uint64]bool
	started  time.Time // of the current generation
}

func (h *history) add(parts []string, answered bool, now time.Time) {
	for _, p := range parts {
		digest := maphash.String(historySeed, p)
		h.shards[digest%historyShards].add(digest, answered, now)
	}
}

func (s *historyShard) add(digest uint64, answered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || len(s.current) >= historyMaxParts || now.Sub(s.started) > historyTime {
		s.previous, s.current, s.started = s.current, map[uint64]bool{}, now
	}
	s.current[digest] = s.current[digest] || answered
}

// find reports whether an answer to a request with a part has gone on for ProofTime, and whether one was complete.
func (h *history) find(part string) (proven, answered bool) {
	digest := maphash.String(historySeed, part)
	s := &h.shards[digest%historyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	current, inCurrent := s.current[digest]
	previous, inPrevious := s.previous[digest]
	return inCurrent || inPrevious, current || previous
}
