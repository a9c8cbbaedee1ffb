package tgpicker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause that is forgotten before its end, because its pool had no request for a while.
func TestPauseOutlivesQuietPool(t *testing.T) {
	const pause = 4 * stateExpiry
	p := newTestPicker()
	c, _ := p.Pick(upstreams("paused"), Request{Work: 1}, epoch)
	c.Note(Hints{Pause: pause}, epoch)
	c.Done(OutcomeFull, 0, epoch)
	for after := time.Duration(0); after < pause; after += stateExpiry / 2 { // only another pool has requests
		other, _ := p.Pick(upstreams("other"), Request{Work: 1}, epoch.Add(after))
		other.Done(OutcomeAnswered, time.Millisecond, epoch.Add(after))
	}
	_, reason := p.Pick(upstreams("paused"), Request{Work: 1}, epoch.Add(pause-time.Second))
	assert.Equal(t, reason, ReasonPaused)
	c, _ = p.Pick(upstreams("paused"), Request{Work: 1}, epoch.Add(pause))
	assert.Assert(t, c != nil)
}
