package tgfleet

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcost"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgstandin"
)

// peerBodies returns the bodies in which a peer sends its tables and its costs.
func peerBodies(t *testing.T) (tables, costs string) {
	t.Helper()
	peer := tgcost.NewEstimator()
	for range 100 {
		peer.Observe(tgcost.Request{Hint: 50, Route: "r"}, tgcost.Estimate{}, 300, time.Now())
	}
	tableData, err := cbor.Marshal(Tables{OperatorEnd: 5, UpstreamsEnd: 5})
	assert.NilError(t, err)
	costData, err := cbor.Marshal(peer.Summaries())
	assert.NilError(t, err)
	return string(tableData), string(costData)
}

// newPullingExchange returns an exchange that has nothing of its peers yet.
func newPullingExchange() *Exchange {
	return &Exchange{
		client: newPeerClient(), Costs: tgcost.NewEstimator(), Log: discardLog{}, OperatorTable: tglogtable.NewTable(),
		UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}),
	}
}

// Guards against a peer's answer with a status that HTTP does not have which counts as its tables: 000 became 200.
func TestPeersInvalidStatus(t *testing.T) {
	tables, costs := peerBodies(t)
	for _, code := range append([]string{"200"}, tgstandin.InvalidStatuses...) {
		x := newPullingExchange()
		for body, pull := range map[string]func(s *tgstandin.FixedReplyServer){
			costs:  func(s *tgstandin.FixedReplyServer) { x.pullCosts("vm", s.Address()) },
			tables: func(s *tgstandin.FixedReplyServer) { x.pull("vm", s.Address()) },
		} {
			s, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, body), true)
			assert.NilError(t, err)
			pull(s)
			assert.Equal(t, s.Requests.Load(), int64(1))
			assert.NilError(t, s.Close())
		}
		valid := code == "200"
		assert.Equal(t, x.OperatorTable.End().Offset > 0, valid, "status %q", code)
		assert.Equal(t, len(x.Costs.Summaries()) > 0, valid, "status %q", code)
	}
}
