package tgnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against an answer of the VM list with a status that HTTP does not have which counts as a list: 000 became 200.
func TestVMClientRefusesInvalidStatus(t *testing.T) {
	for _, code := range tgstandin.InvalidStatuses {
		s, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, `{"version":7,"vms":[]}`), true)
		assert.NilError(t, err)
		_, version, err := newVMClient(s.Address()).VMs(t.Context(), 0)
		assert.Assert(t, err != nil, "status %q brought version %d", code, version)
		assert.NilError(t, s.Close())
	}
}
