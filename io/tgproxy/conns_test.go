package tgproxy

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
)

// Guards against expired idle connections that stay open and count as open, because one that became idle before them may
// be reused for longer: an upstream announces an idle timeout with each answer.
func TestExpiredBehindLongerLived(t *testing.T) {
	p := newConnPool()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	idle := func(idleFor time.Duration) {
		c, peer := net.Pipe()
		t.Cleanup(func() { _ = peer.Close() })
		assert.Assert(t, p.reserve(addr, 0))
		p.put(addr, &upstreamConn{Conn: tghttp.NewConn(c)}, idleFor)
	}
	idle(time.Hour)
	idle(0)
	p.lastSweep = time.Time{}
	idle(time.Hour)
	assert.Equal(t, p.openCount[addr], 2)
	assert.Equal(t, len(p.idle[addr]), 2)
}
