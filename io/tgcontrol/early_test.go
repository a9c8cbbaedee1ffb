package tgcontrol

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a part of an answer to a control call that counts as the whole one: the engine answers a long order without
// a length before it has read it and resets the connection while it is still being written.
func TestEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	order := make([]byte, tgstandin.LongRequestBytes)
	c := newTestClient()
	assert.NilError(t, tgstandin.CheckEarlyReset("HTTP/1.1 202 Accepted\r\n\r\n{}", func(server netip.AddrPort) error {
		_, _, err := c.DoCertain(server, Call{Body: order, Target: "/v1/order", Timeout: 10 * time.Second})
		return err
	}))
}
