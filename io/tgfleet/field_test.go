package tgfleet

import (
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a peer's answer with a malformed field name which counts as its tables or costs.
func TestPeersInvalidFieldName(t *testing.T) {
	errNothing := errors.New("nothing was taken")
	tables, costs := peerBodies(t)
	assert.NilError(t, tgstandin.CheckFieldNames(costs, func(server netip.AddrPort) error {
		x := newPullingExchange()
		if x.pullCosts("vm", server); len(x.Costs.Summaries()) == 0 {
			return errNothing
		}
		return nil
	}))
	assert.NilError(t, tgstandin.CheckFieldNames(tables, func(server netip.AddrPort) error {
		x := newPullingExchange()
		if x.pull("vm", server); x.OperatorTable.End().Offset == 0 {
			return errNothing
		}
		return nil
	}))
}
