package tgfleet

import (
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tggroupview"
)

func listenUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, netip.MustParseAddrPort(conn.LocalAddr().String())
}

func readDatagram(t *testing.T, conn *net.UDPConn) ([]byte, netip.AddrPort) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	buf := make([]byte, maxDatagram)
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	assert.NilError(t, err)
	return buf[:n], from
}

// Guards against an entry that never learns the members of the groups: it started after the leader had told them, or the
// datagrams were lost. And against a notice of many groups that no packet carries, or of which a part is dropped.
func TestNoticeOfManyGroups(t *testing.T) {
	const groups, ranks = 12, 32
	leader, leaderAddr := listenUDP(t)
	entry, entryAddr := listenUDP(t)
	x := &Exchange{Groups: tggroupview.NewView(), Log: discardLog{}, Peers: NewPeers("self")}
	notice := tggroupview.Notice{Number: 1, Token: 1 << 40}
	for g := range groups {
		members := make([]netip.AddrPort, ranks)
		loads := make([]tggroupview.RankLoad, ranks)
		for r := range members {
			members[r] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(g), byte(r)}), 80)
			loads[r] = tggroupview.NewRankLoad(g+r, 0, 0)
		}
		notice.Groups = append(notice.Groups, tggroupview.GroupNotice{
			Digest: tggroupview.MembersDigest(members), Epoch: 1, Loads: loads, Members: members, Name: strconv.Itoa(g),
			State: tggroupview.StateOpen,
		})
	}
	send := func(n tggroupview.Notice) {
		bytes, err := SendGroups(leader, []netip.AddrPort{entryAddr}, n)
		assert.NilError(t, err)
		for bytes > 0 {
			data, from := readDatagram(t, entry)
			assert.Equal(t, from, leaderAddr)
			assert.Assert(t, len(data) <= maxGroupsBytes)
			x.handleDatagram(entry, data, from, time.Now())
			bytes -= len(data) + datagramOverhead
		}
		assert.Equal(t, bytes, 0)
	}
	withoutMembers := tggroupview.Notice{Number: 1, Token: notice.Token}
	for _, g := range notice.Groups {
		g.Members = nil
		withoutMembers.Groups = append(withoutMembers.Groups, g)
	}
	send(withoutMembers)
	data, from := readDatagram(t, leader)
	assert.Equal(t, from, entryAddr)
	var request tggroupview.MembersRequest
	assert.NilError(t, cbor.Unmarshal(data, &request))
	assert.Assert(t, request.Members)

	notice.Number = 2
	send(notice)
	for g := range groups {
		streams, _, ok := x.Groups.Load(notice.Groups[g].Members[ranks-1], time.Now())
		assert.Assert(t, ok)
		assert.Equal(t, streams, float64(g+ranks-1))
	}
}
