package tgfleet

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgview"
)

// discardLog implements Log.
type discardLog struct{}

// Dependency implements Log.
func (discardLog) Dependency(string, string, error) {}

// Quarantine implements Log.
func (discardLog) Quarantine(tgquarantine.Change) {}

// ViewChange implements Log.
func (discardLog) ViewChange(string, string, tgview.Change) {}

// Guards against a datagram that crashes the process, or makes it count a negative number of streams.
func FuzzDatagram(f *testing.F) {
	for _, m := range []any{
		Gossip{OperatorEnd: 3, Streams: map[string]int{"p": 2}, VM: "peer"},
		GroupsNotice{Groups: &tggroupview.Notice{Groups: []tggroupview.GroupNotice{{
			Digest: 1, Loads: []tggroupview.RankLoad{{3, 1, 1}}, Members: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:3")}, Name: "g",
		}}, Number: 1, Token: 1}},
		SlowdownNotice{Slow: []EngineSlowdown{{}}},
		QuarantineNotice{Quarantine: &tgquarantine.Notice{
			Claims: []tgquarantine.ClaimNotice{{Part: "a"}}, Cleared: []tgquarantine.ClearedNotice{{Part: "a"}},
			Crashes: []tgquarantine.CrashNotice{{Parts: []string{"a"}, Upstream: "u"}}, Proven: []string{"a"}, VM: "peer",
		}},
	} {
		data, err := cbor.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	now := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		x := &Exchange{
			Groups: tggroupview.NewView(), Log: discardLog{}, OperatorTable: tglogtable.NewTable(), Peers: NewPeers("self"),
			Quarantine:     tgquarantine.NewTable("self"),
			UpstreamsTable: tglogtable.NewTable(), View: tgview.NewView(tgview.Codec{}), VM: "self",
		}
		x.pulling = true // a pull would need a peer
		x.handleDatagram(&net.UDPConn{}, data, netip.MustParseAddrPort("127.0.0.1:2"), now)
		for _, g := range x.Groups.States(now) {
			assert.Assert(t, g.Streams >= 0)
		}
		x.Groups.Expire(now.Add(time.Hour))
		assert.Equal(t, len(x.Groups.States(now)), 0)
		for _, n := range x.Peers.count(now).streams {
			assert.Assert(t, n >= 0)
		}
	})
}
