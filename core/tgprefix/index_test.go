package tgprefix

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func stored(sequence uint64, blocks ...Block) Event { return Event{Sequence: sequence, Stored: blocks} }

// Guards against missing events that empty the index or have no effect, and against a confidence that never recovers.
func TestMissingEventsLowerConfidence(t *testing.T) {
	x := NewIndex(100)
	x.Apply("u", stored(7, 1, 2, 3))
	n, confidence := x.Match("u", []Block{1, 2, 3, 4})
	assert.Equal(t, n, 3)
	assert.Equal(t, confidence, 1.0)
	x.Apply("u", stored(10, 4))
	n, lowered := x.Match("u", []Block{1, 2, 3, 4})
	assert.Equal(t, n, 4)
	assert.Assert(t, lowered < 0.7 && lowered > 0.5, lowered)
	x.Apply("u", stored(8, 5))
	x.Apply("u", stored(9, 6))
	_, restored := x.Match("u", nil)
	assert.Assert(t, restored > 0.99, restored)
	x.Apply("u", stored(1000, 4))
	for range 50 {
		x.Calibrate("u", 4, 4)
	}
	_, calibrated := x.Match("u", nil)
	assert.Assert(t, calibrated > 0.9, calibrated)
}

// Guards against a late event that undoes a newer one, and against blocks that stay in the index after a restart.
func TestLateEvents(t *testing.T) {
	x := NewIndex(100)
	x.Apply("u", stored(1, 9))
	x.Apply("u", Event{Removed: []Block{1}, Sequence: 3})
	x.Apply("u", stored(2, 1))
	n, _ := x.Match("u", []Block{1})
	assert.Equal(t, n, 0)
	x.Apply("u", Event{Cleared: true, Sequence: 0})
	n, confidence := x.Match("u", []Block{9})
	assert.Equal(t, n, 0)
	assert.Equal(t, confidence, 1.0)
}

// Guards against memory that grows with the number of events.
func TestMemoryIsBounded(t *testing.T) {
	x := NewIndex(64)
	for i := range uint64(10_000) {
		x.Apply("u", stored(3*i, Block(i)))
	}
	c := x.upstreams["u"]
	assert.Assert(t, len(c.blocks) <= 64 && len(c.ring) <= 64 && len(c.missing) <= maxMissing)
	n, _ := x.Match("u", []Block{9_999})
	assert.Equal(t, n, 1)
	x.Forget("u")
	_, confidence := x.Match("u", nil)
	assert.Equal(t, confidence, 0.0)
}

// Guards against matching blocks although the text before them differs.
func TestBlocks(t *testing.T) {
	a := Blocks(append(bytes.Repeat([]byte("a"), 32), bytes.Repeat([]byte("c"), 40)...), 32)
	b := Blocks(append(bytes.Repeat([]byte("b"), 32), bytes.Repeat([]byte("c"), 40)...), 32)
	assert.Equal(t, len(a), 2)
	assert.Assert(t, a[0] != b[0] && a[1] != b[1])
}
