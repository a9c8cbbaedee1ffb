package tgfleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgview"
)

// Guards against an entry that never pulls newer tables from a peer that is ahead, because the datagrams of another peer
// that is as far behind, arriving within 300 ms of the first one's, restart the wait before the pull.
func TestPeerBehindDoesNotPreventPull(t *testing.T) {
	view := tgview.NewView(tgview.Codec{
		Config:   func([]byte) (*tgcatalog.Config, error) { return tgcatalog.NewConfig(1, nil), nil },
		Operator: func(string) (tgview.OperatorRecordKind, string) { return tgview.OperatorConfig, "" },
	})
	operator := tglogtable.NewTable()
	view.ApplyOperator(operator.Apply([]tglogtable.Record{{Key: "config", Value: []byte("x")}}, 1))
	x := &Exchange{OperatorTable: operator, UpstreamsTable: tglogtable.NewTable(), View: view}
	now := time.Unix(1000, 0)
	pulled := false
	for i := range 10 {
		at := now.Add(time.Duration(i) * gossipInterval)
		pulled = pulled || x.claimPull(Gossip{OperatorEnd: 3, VM: "ahead"}, at)
		assert.Assert(t, !x.claimPull(Gossip{OperatorEnd: 1, VM: "behind"}, at.Add(100*time.Millisecond)))
	}
	assert.Assert(t, pulled)
}
