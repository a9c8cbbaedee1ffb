package tggroup

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a rank's answer with a malformed field name which counts as an accepted order.
func TestAgentRefusesInvalidFieldName(t *testing.T) {
	const body = "{}"
	call := func(server netip.AddrPort) error {
		var answer struct{}
		return NewAgent(0, server, LeaseName("g"), nil).callEngine(t.Context(), "/v1/order", struct{}{}, &answer)
	}
	accepted, err := tgstandin.AcceptedReplies(tgstandin.RepliesWithInvalidField(body), call)
	assert.NilError(t, err)
	assert.Equal(t, len(accepted), 0, "%q", accepted)
	whole := tgstandin.RepliesWithFieldLine("X: 1", body)
	accepted, err = tgstandin.AcceptedReplies(whole, call)
	assert.NilError(t, err)
	assert.DeepEqual(t, accepted, whole)
}
