// Package tgprefix estimates which prefixes of prompts each upstream has cached.
package tgprefix

import "sync"

// Event is a change of an upstream's cache. Events arrive late, out of order and with gaps.
type Event struct {
	Cleared  bool // the whole cache was dropped, as by a restart; Sequence starts anew
	Removed  []Block
	Sequence uint64
	Stored   []Block
}

// Index estimates the cache of every upstream in bounded memory.
type Index struct {
	maxBlocks int // per upstream
	mu        sync.RWMutex
	upstreams map[string]*cache
}

const (
	missingEventFactor   = 0.8  // confidence left after each event that is missing
	minConfidence        = 0.05 // a doubtful index is still better than none
	orderedEventRecovery = 0.01 // part of the doubt that an event in order removes
	calibrationWeight    = 0.1  // weight of one comparison with what the upstream reports
	maxMissing           = 64   // missing events that are remembered, to restore confidence when they arrive late
)

// cache is the estimate of one upstream. The ring holds the blocks in the order of their first event; the oldest one
// is forgotten when it is full.
type cache struct {
	blocks       map[Block]blockState
	confidence   float64 // probability that the estimate is right
	missing      map[uint64]struct{}
	nextSequence uint64 // sequence number expected
	oldest       int    // next place in the ring
	ring         []Block
}

// blockState keeps the last event of a block, so that a late one does not undo a newer one.
type blockState struct {
	present  bool
	sequence uint64
}

// NewIndex returns an index that remembers at most maxBlocks blocks of each upstream.
func NewIndex(maxBlocks int) *Index {
	return &Index{maxBlocks: maxBlocks, upstreams: map[string]*cache{}}
}

// Apply takes an event of an upstream.
func (x *Index) Apply(upstream string, e Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.upstreams[upstream]
	if !ok || e.Cleared {
		c = &cache{blocks: map[Block]blockState{}, confidence: 1, missing: map[uint64]struct{}{}, nextSequence: e.Sequence}
		x.upstreams[upstream] = c
	}
	c.trackSequence(e.Sequence)
	for _, b := range e.Removed {
		c.set(b, blockState{sequence: e.Sequence}, x.maxBlocks)
	}
	for _, b := range e.Stored {
		c.set(b, blockState{present: true, sequence: e.Sequence}, x.maxBlocks)
	}
}

// Calibrate compares an estimate with the number of cached blocks that the upstream reported for the same request.
func (x *Index) Calibrate(upstream string, estimated, reported int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.upstreams[upstream]
	if !ok || estimated == 0 {
		return
	}
	accuracy := min(1, float64(reported)/float64(estimated))
	c.confidence = max(minConfidence, c.confidence+calibrationWeight*(accuracy-c.confidence))
}

// Forget drops an upstream that left.
func (x *Index) Forget(upstream string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.upstreams, upstream)
}

// Match returns how many leading blocks an upstream probably has, and the confidence in that number.
func (x *Index) Match(upstream string, blocks []Block) (n int, confidence float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	c, ok := x.upstreams[upstream]
	if !ok {
		return 0, 0
	}
	for n < len(blocks) && c.blocks[blocks[n]].present {
		n++
	}
	return n, c.confidence
}

// arrive accounts for missing and late sequence numbers.
func (c *cache) trackSequence(sequence uint64) {
	switch {
	case sequence == c.nextSequence:
		c.nextSequence++
		c.confidence += orderedEventRecovery * (1 - c.confidence)
	case sequence > c.nextSequence:
		for s := c.nextSequence; s < sequence && c.confidence > minConfidence; s++ {
			c.confidence = max(minConfidence, c.confidence*missingEventFactor)
			if len(c.missing) >= maxMissing {
				clear(c.missing) // what is missing for so long does not arrive
			}
			c.missing[s] = struct{}{}
		}
		c.nextSequence = sequence + 1
	default:
		if _, ok := c.missing[sequence]; ok {
			delete(c.missing, sequence)
			c.confidence = min(1, c.confidence/missingEventFactor)
		}
	}
}

func (c *cache) set(b Block, e blockState, maxBlocks int) {
	old, ok := c.blocks[b]
	if ok && old.sequence > e.sequence {
		return
	}
	if !ok {
		if len(c.ring) < maxBlocks {
			c.ring = append(c.ring, b)
		} else {
			delete(c.blocks, c.ring[c.oldest])
			c.ring[c.oldest] = b
			c.oldest = (c.oldest + 1) % maxBlocks
		}
	}
	c.blocks[b] = e
}
