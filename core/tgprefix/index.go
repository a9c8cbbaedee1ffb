// Package tgprefix estimates which prompt prefixes each upstream has cached.
package tgprefix

import "sync"

// Event is a change of an upstream's cache. Events may be late, out of order or missing.
type Event struct {
	Cleared  bool // the whole cache was dropped, for example by a restart; Sequence restarts with this event
	Removed  []Block
	Sequence uint64
	Stored   []Block
}

// Index estimates the cache of every upstream in bounded memory.
type Index struct {
	maxBlocks int // per upstream
	mu        sync.RWMutex
	upstreams map[string]*cache // by name
}

const (
	missingEventFactor   = 0.8  // factor of the confidence for each missing event
	minConfidence        = 0.05 // lower bound: a doubtful estimate is still better than none
	orderedEventRecovery = 0.01 // part of the doubt (1 - confidence) that an event in order removes
	calibrationWeight    = 0.1  // weight of one comparison with the upstream's report
	maxMissing           = 64   // missing sequence numbers kept, to restore the confidence when they arrive late
)

// cache is the estimated cache of one upstream. The ring holds the blocks in the order of their first event; if it is full,
// a new block evicts the oldest one.
type cache struct {
	blocks       map[Block]blockState
	confidence   float64 // probability that the estimate is correct, from minConfidence to 1
	missing      map[uint64]struct{}
	nextSequence uint64 // expected sequence number
	oldest       int    // index in the ring, once it is full
	ring         []Block
}

// blockState is the last event of a block, kept so that a late event does not undo a newer one.
type blockState struct {
	present  bool
	sequence uint64
}

// NewIndex returns an index of at most maxBlocks blocks per upstream.
func NewIndex(maxBlocks int) *Index {
	return &Index{maxBlocks: maxBlocks, upstreams: map[string]*cache{}}
}

// Apply applies an event of an upstream.
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

// Calibrate moves the confidence in an upstream's estimate towards its accuracy: the reported number of cached blocks of a
// request relative to the estimated one.
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

// Forget drops the estimate of an upstream that has left.
func (x *Index) Forget(upstream string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.upstreams, upstream)
}

// Match returns the estimated number of leading blocks that an upstream has cached, and the confidence in it.
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

// trackSequence lowers the confidence for missing sequence numbers, and raises it for late ones and for events in order.
func (c *cache) trackSequence(sequence uint64) {
	switch {
	case sequence == c.nextSequence:
		c.nextSequence++
		c.confidence += orderedEventRecovery * (1 - c.confidence)
	case sequence > c.nextSequence:
		for s := c.nextSequence; s < sequence && c.confidence > minConfidence; s++ {
			c.confidence = max(minConfidence, c.confidence*missingEventFactor)
			if len(c.missing) >= maxMissing {
				clear(c.missing) // events missing for that long will not arrive
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

// set records the event of a block unless a newer one is known, and evicts the oldest block of a full ring.
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
