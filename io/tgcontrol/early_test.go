package tgcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a part of an answer to a control call that counts as the whole one: the engine answers a long order without
// a length before it has read it and resets the connection while it is still being written.
func TestEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	const runs = 20
	order := make([]byte, 8<<20) // more than the system takes for an engine that does not read
	c := newTestClient()
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		s, err := tgstandin.NewEarlyResetServer("HTTP/1.1 202 Accepted\r\n\r\n{}", delay)
		assert.NilError(t, err)
		for range runs {
			status, _, err := c.DoCertain(s.Address(), Call{Body: order, Target: "/v1/order", Timeout: 10 * time.Second})
			assert.Assert(t, err != nil, "reset after %v: status %d", delay, status)
		}
		assert.NilError(t, s.Close())
	}
}
