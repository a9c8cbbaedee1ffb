package tgcontrol

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against an answer to a control call with a malformed field name which counts as one of the engine.
func TestInvalidFieldName(t *testing.T) {
	assert.NilError(t, tgstandin.CheckFieldNames("{}", func(server netip.AddrPort) error {
		c := newTestClient()
		_, _, err := c.Do(server, Call{Target: "/v1/report", Timeout: time.Second})
		return err
	}))
}
