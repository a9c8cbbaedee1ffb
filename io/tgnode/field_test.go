package tgnode

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against an answer of the VM list with a malformed field name which counts as a list.
func TestVMClientRefusesInvalidFieldName(t *testing.T) {
	assert.NilError(t, tgstandin.CheckFieldNames(`{"version":7,"vms":[]}`, func(server netip.AddrPort) error {
		_, _, err := newVMClient(server).VMs(t.Context(), 0)
		return err
	}))
}
