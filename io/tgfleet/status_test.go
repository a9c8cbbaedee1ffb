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

// Guards against a peer's answer with a status that HTTP does not have which counts as its tables: 000 became 200.
func TestPeersInvalidStatus(t *testing.T) {
	peer := tgcost.NewEstimator()
	for range 100 {
		peer.Observe(tgcost.Request{Hint: 50, Route: "r"}, tgcost.Estimate{}, 300, time.Now())
	}
	tables, err := cbor.Marshal(Tables{OperatorEnd: 5, UpstreamsEnd: 5})
	assert.NilError(t, err)
	costs, err := cbor.Marshal(peer.Summaries())
	assert.NilError(t, err)
	for _, code := range append([]string{"200"}, tgstandin.InvalidStatuses...) {
		x := &Exchange{
			client: newPeerClient(), Costs: tgcost.NewEstimator(), Log: discardLog{}, OperatorTable: tglogtable.NewTable(),
			UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}),
		}
		for body, pull := range map[string]func(s *tgstandin.FixedReplyServer){
			string(costs):  func(s *tgstandin.FixedReplyServer) { x.pullCosts("vm", s.Address()) },
			string(tables): func(s *tgstandin.FixedReplyServer) { x.pull("vm", s.Address()) },
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
