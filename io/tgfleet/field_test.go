package tgfleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcost"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgstandin"
)

// Guards against a peer's answer with a malformed field name which counts as its tables or costs.
func TestPeersInvalidFieldName(t *testing.T) {
	peer := tgcost.NewEstimator()
	for range 100 {
		peer.Observe(tgcost.Request{Hint: 50, Route: "r"}, tgcost.Estimate{}, 300, time.Now())
	}
	tables, err := cbor.Marshal(Tables{OperatorEnd: 5, UpstreamsEnd: 5})
	assert.NilError(t, err)
	costs, err := cbor.Marshal(peer.Summaries())
	assert.NilError(t, err)
	errNothing := errors.New("nothing was taken")
	newExchange := func() *Exchange {
		return &Exchange{
			client: newPeerClient(), Costs: tgcost.NewEstimator(), Log: discardLog{}, OperatorTable: tglogtable.NewTable(),
			UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}),
		}
	}
	for body, call := range map[string]func(server netip.AddrPort) error{
		string(costs): func(server netip.AddrPort) error {
			x := newExchange()
			if x.pullCosts("vm", server); len(x.Costs.Summaries()) == 0 {
				return errNothing
			}
			return nil
		},
		string(tables): func(server netip.AddrPort) error {
			x := newExchange()
			if x.pull("vm", server); x.OperatorTable.End().Offset == 0 {
				return errNothing
			}
			return nil
		},
	} {
		accepted, err := tgstandin.AcceptedReplies(tgstandin.RepliesWithInvalidField(body), call)
		assert.NilError(t, err)
		assert.Equal(t, len(accepted), 0, "%q", accepted)
		whole := tgstandin.RepliesWithFieldLine("X: 1", body)
		accepted, err = tgstandin.AcceptedReplies(whole, call)
		assert.NilError(t, err)
		assert.DeepEqual(t, accepted, whole)
	}
}
