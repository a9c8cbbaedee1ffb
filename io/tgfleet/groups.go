package tgfleet

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tgview"
)

// GroupsNotice is the datagram with which the leader of the rank groups tells the entries of them.
type GroupsNotice struct {
	Groups *tggroupview.Notice `cbor:"41,keyasint"` // not nil, which distinguishes a notice from other datagrams
}

// A notice of many groups is sent in several datagrams, so that a packet of the network carries each.
const maxGroupsBytes = 1200

// datagramOverhead is the size of the headers of UDP and IP.
const datagramOverhead = 28

// SendGroups sends a notice and returns how many bytes that took.
func SendGroups(conn *net.UDPConn, to []netip.AddrPort, n tggroupview.Notice) (bytes int, err error) {
	for rest := n.Groups; len(rest) > 0; {
		var data []byte
		data, rest, err = encodeGroups(n, rest)
		if err != nil {
			return bytes, err
		}
		for _, addr := range to {
			// A datagram that cannot be sent is treated like a lost one; the next one follows soon.
			_, _ = conn.WriteToUDPAddrPort(data, addr)
		}
		bytes += len(to) * (len(data) + datagramOverhead)
	}
	return bytes, nil
}

// encodeGroups encodes as many groups as fit in a datagram, at least one, and returns the others.
func encodeGroups(n tggroupview.Notice, groups []tggroupview.GroupNotice) ([]byte, []tggroupview.GroupNotice, error) {
	for count := len(groups); ; count = (count + 1) / 2 {
		n.Groups = groups[:count]
		data, err := cbor.Marshal(GroupsNotice{Groups: &n})
		if err != nil || len(data) <= maxGroupsBytes || count == 1 {
			return data, groups[count:], err
		}
	}
}

// applyGroups applies a notice of the leader, logs what has changed, and asks the leader for members that it has told of.
func (x *Exchange) applyGroups(conn *net.UDPConn, n tggroupview.Notice, from netip.AddrPort, now time.Time) {
	changes, request := x.Groups.Apply(n, now)
	x.logGroups("leader", changes)
	if !request {
		return
	}
	data, err := cbor.Marshal(tggroupview.MembersRequest{Members: true})
	if err != nil {
		x.Log.Dependency("peers", "encodeFailed", err)
		return
	}
	// A datagram that cannot be sent is treated like a lost one; the request is repeated.
	_, _ = conn.WriteToUDPAddrPort(data, from)
}

func (x *Exchange) logGroups(source string, changes []tggroupview.Change) {
	for _, c := range changes {
		x.Log.ViewChange(source, "groups", tgview.Change{Age: c.Age, Epoch: c.Epoch, Key: c.Group, Outcome: string(c.Kind)})
	}
}
