package tgfleet

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
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
	view.ApplyOperator(operator.Apply([]tglogtable.Record{{Key: "config", Value: []byte("x")}}, tglogtable.Position{Offset: 1}))
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

// unscheduledContext is a context whose AfterFunc functions have not started when their stop function is called, as may
// happen just after its end.
type unscheduledContext struct{ context.Context } //nolint:containedctx // is a context itself

// AfterFunc replaces that of package context; it never calls f.
func (unscheduledContext) AfterFunc(func()) (stop func() bool) { return func() bool { return true } }

// Value hides the wrapped context, which package context would otherwise find and use in place of AfterFunc.
func (unscheduledContext) Value(any) any { return nil }

// Guards against Run never returning because the socket stays open: a function of context.AfterFunc that would close it
// can be stopped before it has started, if Run notices the end of its context first.
func TestRunEndsBeforeAfterFuncStarts(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	sends := 0
	endAndCount := func() map[string]int {
		if sends++; sends == 2 { // the socket is being read by now
			cancel()
		}
		return nil
	}
	x := &Exchange{
		OperatorTable: tglogtable.NewTable(), Peers: NewPeers("self"), Quarantine: tgquarantine.NewTable("self"),
		Streams:        endAndCount,
		UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}), VM: "self",
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.Run(unscheduledContext{ctx}, conn)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return after the end of its context")
	}
}

// Guards against an entry that starts while the store is away and takes the configuration of a peer that was cut off
// before a key was withdrawn: the first datagram decided, whichever peer sent it.
func TestStalePeerIsNotBelieved(t *testing.T) {
	x := &Exchange{
		OperatorTable: tglogtable.NewTable(), UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}),
	}
	start := time.Unix(1000, 0)
	pulledFrom := ""
	for at := time.Duration(0); at < 5*gossipInterval && pulledFrom == ""; at += gossipInterval {
		for _, g := range []Gossip{{OperatorEnd: 1, VM: "stale"}, {OperatorEnd: 3, VM: "newest"}} {
			if x.claimPull(g, start.Add(at)) {
				pulledFrom = g.VM
				break
			}
		}
	}
	assert.Equal(t, pulledFrom, "newest")
}

// Guards against the same if the stale peer also knows upstreams: a pull for the upstreams takes both tables of the peer.
func TestStalePeerWithUpstreams(t *testing.T) {
	x := &Exchange{
		OperatorTable: tglogtable.NewTable(), UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}),
	}
	assert.Assert(t, !x.claimPull(Gossip{OperatorEnd: 1, UpstreamsEnd: 1, VM: "stale"}, time.Unix(1000, 0)))
}
