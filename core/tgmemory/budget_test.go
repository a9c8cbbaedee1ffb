package tgmemory_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgmemory"
)

// Guards against a call that takes memory of others without end, one that is refused the little that each may take, and
// memory that stays counted after its call has ended.
func TestBudget(t *testing.T) {
	const free, limit = 16 << 10, 32 << 10
	var b tgmemory.Budget
	large, small := b.Lease(limit), b.Lease(limit)
	assert.NilError(t, large.Reserve(free+limit))
	assert.Equal(t, b.Used(), int64(limit))
	assert.ErrorIs(t, large.Reserve(1), tgmemory.ErrExhausted)
	assert.Equal(t, large.Held(), int64(free+limit)) // a refusal changes nothing
	assert.NilError(t, small.Reserve(free))
	assert.ErrorIs(t, small.Reserve(1), tgmemory.ErrExhausted)
	large.ReleaseTo(free)
	assert.NilError(t, small.Reserve(limit))
	assert.NilError(t, b.Lease(0).Reserve(10*limit)) // unbounded
	large.ReleaseTo(0)
	small.ReleaseTo(0)
	assert.Equal(t, b.Used(), int64(10*limit-free))
}
