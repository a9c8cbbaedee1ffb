package tggroup

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a rank's answer with a malformed field name which counts as an accepted order.
func TestAgentRefusesInvalidFieldName(t *testing.T) {
	assert.NilError(t, tgstandin.CheckFieldNames("{}", func(server netip.AddrPort) error {
		var answer struct{}
		return NewAgent(0, server, LeaseName("g"), nil).callEngine(t.Context(), "/v1/order", struct{}{}, &answer)
	}))
}
