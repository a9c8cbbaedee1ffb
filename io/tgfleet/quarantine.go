package tgfleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgquarantine"
)

const (
	// An entry asks each peer that it hears in this time after its start what it knows of suspect parts of prompts.
	askQuarantineTime = 3 * time.Second
	// Datagrams get lost, so a notice is sent again, with what is new by then.
	noticeResends  = 2
	noticeInterval = 100 * time.Millisecond // between these
)

// QuarantineNotice is the datagram with which an entry tells the others of crashes, suspect parts and trials.
type QuarantineNotice struct {
	Quarantine *tgquarantine.Notice `cbor:"31,keyasint"` // not nil, which distinguishes a notice from other datagrams
}

// shareQuarantine logs the changes of the table and sends those of this entry to the others until ctx ends.
func (x *Exchange) shareQuarantine(ctx context.Context, conn *net.UDPConn) {
	resends := 0
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		tick := ticker.C
		if resends == 0 && time.Since(x.started) > askQuarantineTime {
			tick = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-x.Quarantine.Updates():
			x.logQuarantine()
			if n := x.Quarantine.Outgoing(time.Now()); n != nil {
				x.sendQuarantine(conn, n, x.entryAddresses())
				resends = noticeResends
			}
		case <-tick:
			// An entry that has just started may not have known its peers at the first time.
			resends = max(0, resends-1)
			if n := x.Quarantine.Notice(time.Now()); len(n.Claims)+len(n.Crashes) > 0 {
				x.sendQuarantine(conn, n, x.entryAddresses())
			}
		}
	}
}

func (x *Exchange) entryAddresses() []netip.AddrPort {
	members := x.Peers.List(RoleEntry, time.Now())
	addrs := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		addrs = append(addrs, m.Address)
	}
	return addrs
}

func (x *Exchange) sendQuarantine(conn *net.UDPConn, n *tgquarantine.Notice, to []netip.AddrPort) {
	data, err := cbor.Marshal(QuarantineNotice{Quarantine: n})
	if err != nil {
		x.Log.Dependency("peers", "encodeFailed", err)
		return
	}
	for _, addr := range to {
		// A datagram that cannot be sent is treated like a lost one; the next one follows soon.
		_, _ = conn.WriteToUDPAddrPort(data, addr)
	}
}

// askQuarantine asks a peer what it knows of suspect parts, once and only if this entry has just started.
func (x *Exchange) askQuarantine(conn *net.UDPConn, vm string, from netip.AddrPort, now time.Time) {
	if now.Sub(x.started) > askQuarantineTime || x.askedQuarantine[vm] {
		return
	}
	x.askedQuarantine[vm] = true
	x.sendQuarantine(conn, &tgquarantine.Notice{Ask: true, VM: x.VM}, []netip.AddrPort{from})
}

// handleNotice applies a notice of a peer, or answers it if the peer asks.
func (x *Exchange) handleNotice(conn *net.UDPConn, n *tgquarantine.Notice, from netip.AddrPort, now time.Time) {
	if n.Ask {
		x.sendQuarantine(conn, x.Quarantine.Notice(now), []netip.AddrPort{from})
		return
	}
	x.Quarantine.Merge(n, now)
}

func (x *Exchange) logQuarantine() {
	for _, c := range x.Quarantine.TakeChanges() {
		x.Log.Quarantine(c)
	}
}
