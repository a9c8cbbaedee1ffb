package tggroup

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a rank's answer with a status that HTTP does not have which counts as an accepted order: 000 became 200.
func TestAgentRefusesInvalidStatus(t *testing.T) {
	for _, code := range tgstandin.InvalidStatuses {
		s, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, "{}"), true)
		assert.NilError(t, err)
		var answer struct{}
		a := NewAgent(0, s.Address(), LeaseName("g"), nil)
		assert.Assert(t, a.callEngine(t.Context(), "/v1/order", struct{}{}, &answer) != nil, "status %q", code)
		assert.NilError(t, s.Close())
	}
}
