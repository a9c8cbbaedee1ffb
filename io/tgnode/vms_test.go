package tgnode

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgstandin"
)

// TestVMClient guards against losing the leaving state of a VM in the VM list, and against treating an outage of the
// list as an empty list.
func TestVMClient(t *testing.T) {
	list := tgstandin.NewVMList(0)
	server, err := tgstandin.Serve(list.Handle)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	client := newVMClient(server.Address())
	vm := tgstandin.VM{Address: netip.MustParseAddrPort("127.0.0.1:7000"), DataCentre: "a", Name: "x", State: "live"}
	list.Set(vm)
	vms, version, err := client.VMs(t.Context(), 0)
	assert.NilError(t, err)
	want := tgframe.Member{Address: vm.Address, DataCentre: "a", Name: "x", Status: tgframe.MemberListed}
	assert.Assert(t, len(vms) == 1 && vms[0] == want, "%+v", vms)
	vm.State = vmStateLeaving
	list.Set(vm)
	vms, version, err = client.VMs(t.Context(), version)
	assert.NilError(t, err)
	assert.Equal(t, vms[0].Status, tgframe.MemberLeaving)
	vms, _, err = client.VMs(t.Context(), version)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
	list.SetDown(true)
	_, _, err = client.VMs(t.Context(), version)
	assert.ErrorContains(t, err, "503")
	lagging := tgstandin.NewVMList(time.Hour)
	lagging.Set(vm)
	page, ok := lagging.Page(0)
	assert.Assert(t, ok && len(page.VMs) == 0, "a change shows before the lag has passed")
}
