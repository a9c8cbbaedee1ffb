package tgnode

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against an answer of the VM list with a malformed field name which counts as a list.
func TestVMClientRefusesInvalidFieldName(t *testing.T) {
	const body = `{"version":7,"vms":[]}`
	call := func(server netip.AddrPort) error {
		_, _, err := newVMClient(server).VMs(t.Context(), 0)
		return err
	}
	accepted, err := tgstandin.AcceptedReplies(tgstandin.RepliesWithInvalidField(body), call)
	assert.NilError(t, err)
	assert.Equal(t, len(accepted), 0, "%q", accepted)
	whole := tgstandin.RepliesWithFieldLine("X: 1", body)
	accepted, err = tgstandin.AcceptedReplies(whole, call)
	assert.NilError(t, err)
	assert.DeepEqual(t, accepted, whole)
}
