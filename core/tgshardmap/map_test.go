package tgshardmap_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgshardmap"
)

// Guards against two users of a key that get different values, because both found none.
func TestGetOrCreate(t *testing.T) {
	const users = 50
	m := tgshardmap.NewMap[*int]()
	values := make([]*int, users)
	var wg sync.WaitGroup
	for i := range users {
		wg.Go(func() { values[i] = m.GetOrCreate("key", func() *int { return &i }) })
	}
	wg.Wait()
	for _, v := range values {
		assert.Equal(t, v, values[0])
	}
	assert.Equal(t, m.Len(), 1)
}
