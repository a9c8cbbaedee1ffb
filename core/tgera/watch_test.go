package tgera_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgera"
)

// Guards against a start, a late answer of a former era or a repeated one that counts as a return of the store, and against
// a return that is not noticed.
func TestWatch(t *testing.T) {
	now := time.Unix(1000, 0)
	var rises []tgera.Rise
	w := tgera.NewWatch(func(r tgera.Rise) { rises = append(rises, r) })
	_, raised := w.Raised()
	for _, e := range []tgera.Era{3, 3, 2} {
		w.Observe(e, now)
	}
	assert.Equal(t, len(rises), 0)
	assert.Equal(t, w.Era(), tgera.Era(3))
	select {
	case <-raised:
		t.Fatal("the first era counts as a rise")
	default:
	}
	w.Observe(4, now)
	w.Observe(3, now)
	w.Observe(6, now.Add(time.Second))
	assert.DeepEqual(t, rises, []tgera.Rise{{At: now, From: 3, To: 4}, {At: now.Add(time.Second), From: 4, To: 6}})
	<-raised
	assert.DeepEqual(t, w.State(), tgera.State{Era: 6, LastRise: now.Add(time.Second), Rises: 2})
}
