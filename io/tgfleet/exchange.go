package tgfleet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcost"
	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgguard"
	"tanagergrade/io/tghttp"
)

const (
	gossipInterval      = 500 * time.Millisecond // between datagrams to the other entries
	maxDatagram         = 60 << 10               // bytes; a UDP datagram has less than 64 KiB
	maxTablesBytes      = 16 << 20               // of a peer's tables
	pullTimeout         = 800 * time.Millisecond
	hearPeersTime       = gossipInterval + 100*time.Millisecond // in which an entry hears from all peers that it reaches
	pullDelay           = 300 * time.Millisecond                // before an entry that is behind pulls; the store is usually faster
	upstreamsStaleAfter = 1200 * time.Millisecond               // upstreams are pulled from a peer if the store has not answered for longer
	socketRetryPause    = 50 * time.Millisecond
)

// TablesPath is the path of the admin server at which peers pull the tables.
const TablesPath = "/tables"

// Exchange synchronises the tables of the entries: each entry announces to the others how far its tables reach, and one
// that is behind and gets nothing from the store pulls the tables of a peer.
type Exchange struct {
	Costs          *tgcost.Estimator // of answers; nil if they are not shared
	Groups         *tggroupview.View // rank groups, as their leader reports them; nil if nobody needs them
	Log            Log
	OperatorTable  *tglogtable.Table
	Peers          *Peers
	Quarantine     *tgquarantine.Table   // suspect parts of prompts
	Slowdowns      Slowdowns             // slow engines, as the leader of the rank groups reports them
	Streams        func() map[string]int // in progress, by pool
	UpstreamsTable *tglogtable.Table
	View           *tgview.View
	VM             string

	behindSince     time.Time // since when OperatorTable ends before maxPeerEnd; zero if it does not
	client          *fasthttp.Client
	askedQuarantine map[string]bool // VMs of peers; used by receive only
	costsPull       costsPull
	started         time.Time           // of Run
	keepers         map[string]bool     // VMs of peers that were asked for the records that they keep
	maxPeerEnd      tglogtable.Position // highest end of the operator's topic that a peer announced
	mu              sync.Mutex          // guards the other fields of this block except askedQuarantine, client, costsPull and started
	pulling         bool                // a pull is in progress
	upstreamsReadAt time.Time           // when the store last answered a read of the upstreams
}

// Log receives changes of the daemon's view and of the state of its dependencies.
type Log interface {
	// Dependency logs that a dependency was lost, answers again or failed in another way.
	Dependency(name, state string, err error)
	// Quarantine logs what a part of prompts is believed to be.
	Quarantine(c tgquarantine.Change)
	// ViewChange logs a change of a table; source names where the change came from.
	ViewChange(source, table string, c tgview.Change)
}

// NoteUpstreamsRead notes that the store answered a read of the upstreams.
func (x *Exchange) NoteUpstreamsRead(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.upstreamsReadAt = now
}

func newPeerClient() *fasthttp.Client {
	c := tghttp.NewClient()
	c.MaxResponseBodySize = maxTablesBytes
	return c
}

// Run exchanges datagrams on conn until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn *net.UDPConn) {
	x.client = newPeerClient()
	x.askedQuarantine, x.started = map[string]bool{}, time.Now()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer func() { _ = conn.Close() }() // ends receive
	wg.Go(func() { x.receive(ctx, conn) })
	wg.Go(func() { x.shareQuarantine(ctx, conn) })
	for ctx.Err() == nil {
		x.send(conn)
		sleep(ctx, gossipInterval)
	}
}

func (x *Exchange) send(conn *net.UDPConn) {
	now := time.Now()
	for _, c := range x.View.Expire(now) {
		x.Log.ViewChange("clock", "upstreams", c)
	}
	x.logSlowdownChanges("clock", "usual", x.Slowdowns.Expire(now))
	if x.Groups != nil {
		x.logGroups("clock", x.Groups.Expire(now))
	}
	operator, upstreams := x.OperatorTable.End(), x.UpstreamsTable.End()
	data, err := cbor.Marshal(Gossip{
		Era: operator.Era, Following: x.View.Following(), Keeps: x.OperatorTable.Keeps(), OperatorEnd: operator.Offset,
		Streams: x.Streams(), UpstreamsEnd: upstreams.Offset, UpstreamsEra: upstreams.Era, VM: x.VM,
	})
	if err != nil {
		x.Log.Dependency("peers", "encodeFailed", err)
		return
	}
	for _, m := range x.Peers.List(RoleEntry, now) {
		// A datagram that cannot be sent is treated like a lost one; the next one follows soon.
		_, _ = conn.WriteToUDPAddrPort(data, m.Address)
	}
}

func (x *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			sleep(ctx, socketRetryPause)
			continue
		}
		addr := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err := tgguard.Handle(func() { x.handleDatagram(conn, buf[:n], addr, time.Now()) }); err != nil {
			x.Log.Dependency("peer "+addr.String(), "panic", err)
		}
	}
}

func (x *Exchange) handleDatagram(conn *net.UDPConn, data []byte, from netip.AddrPort, now time.Time) {
	var g struct {
		Gossip
		GroupsNotice
		QuarantineNotice
		SlowdownNotice
	}
	if cbor.Unmarshal(data, &g) != nil {
		return // not from a daemon of this version
	}
	if g.Slow != nil {
		x.applySlowdowns(g.SlowdownNotice)
	}
	if g.Groups != nil && x.Groups != nil {
		x.applyGroups(conn, *g.Groups, from, now)
	}
	if g.Quarantine != nil {
		x.handleNotice(conn, g.Quarantine, from, now)
	}
	if g.VM == "" {
		return
	}
	x.askQuarantine(conn, g.VM, from, now)
	x.Peers.RecordGossip(g.VM, from, g.Streams, now)
	x.handleGossip(g.Gossip, from, now)
	x.startCostsPull(g.VM, from, now)
}

// applySlowdowns applies a notice of the leader and logs which engines became slow or are no longer slow.
func (x *Exchange) applySlowdowns(n SlowdownNotice) {
	slow, recovered := x.Slowdowns.Update(n, time.Now())
	x.logSlowdownChanges("leader", "slow", slow)
	x.logSlowdownChanges("leader", "usual", recovered)
}

func (x *Exchange) logSlowdownChanges(source, outcome string, engines []netip.AddrPort) {
	for _, addr := range engines {
		x.Log.ViewChange(source, "paces", tgview.Change{Key: addr.String(), Outcome: outcome})
	}
}

// handleGossip confirms this entry's configuration if the sender follows the store and is not ahead, and pulls the
// sender's tables if that is due.
func (x *Exchange) handleGossip(g Gossip, from netip.AddrPort, now time.Time) {
	own := x.OperatorTable.End()
	if end := peerPosition(g.Era, g.OperatorEnd, own); g.Following && end.Era == own.Era && !own.Before(end) {
		x.View.Confirm(now)
	}
	if x.claimPull(g, now) {
		go func() {
			if err := tgguard.Handle(func() { x.pull(g.VM, from) }); err != nil {
				x.Log.Dependency("peer "+g.VM, "panic", err)
			}
		}()
	}
}

// claimPull reports whether the tables of the sender of g are to be pulled now, and if so marks a pull as in progress.
func (x *Exchange) claimPull(g Gossip, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	end := x.OperatorTable.End()
	peerEnd := peerPosition(g.Era, g.OperatorEnd, end)
	operator := x.operatorDue(end, peerEnd, now)
	upstreams := x.upstreamsDue(g, now)
	if cfg, _ := x.View.Config(); cfg == nil && end.Before(peerEnd) { // a pull would bring the sender's configuration along
		upstreams = upstreams && operator
	}
	if x.pulling {
		return false
	}
	x.pulling = operator || upstreams || x.claimKept(g, peerEnd.Era == end.Era)
	return x.pulling
}

// operatorDue reports whether the operator's table, which ends at end, is to be pulled from a peer whose table ends at
// peerEnd. The caller holds x.mu.
func (x *Exchange) operatorDue(end, peerEnd tglogtable.Position, now time.Time) bool {
	if x.maxPeerEnd.Before(peerEnd) {
		x.maxPeerEnd = peerEnd
	}
	if !end.Before(x.maxPeerEnd) {
		x.behindSince = time.Time{}
	} else if x.behindSince.IsZero() {
		x.behindSince = now
	}
	behind := now.Sub(x.behindSince)
	if cfg, _ := x.View.Config(); cfg != nil {
		return end.Before(peerEnd) && behind >= pullDelay
	}
	// Any peer may be cut off and behind, so the others are heard before the newest is believed.
	newest := !peerEnd.Before(x.maxPeerEnd)
	return end.Before(peerEnd) && (newest && behind >= hearPeersTime || behind >= 2*hearPeersTime)
}

// upstreamsDue reports whether the table of upstreams is to be pulled from the sender of g. The caller holds x.mu.
func (x *Exchange) upstreamsDue(g Gossip, now time.Time) bool {
	end := x.UpstreamsTable.End()
	return end.Before(peerPosition(g.UpstreamsEra, g.UpstreamsEnd, end)) && now.Sub(x.upstreamsReadAt) > upstreamsStaleAfter
}

// maxKeepers is the number of peers that are asked for the records that they keep in spite of the store.
const maxKeepers = 3

// claimKept reports whether the records that a peer keeps are to be pulled: this daemon has started since the store returned
// from an older copy, so that it has nothing to compare the copy with. The caller holds x.mu.
func (x *Exchange) claimKept(g Gossip, sameEra bool) bool {
	if !g.Keeps || !sameEra || x.keepers[g.VM] || len(x.keepers) >= maxKeepers || x.OperatorTable.WasCompared() {
		return false
	}
	if x.keepers == nil {
		x.keepers = map[string]bool{}
	}
	x.keepers[g.VM] = true
	return true
}

// pull replaces the tables by those of a peer.
func (x *Exchange) pull(vm string, from netip.AddrPort) {
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.pulling = false
	}()
	status, body, err := x.client.GetTimeout(nil, "http://"+from.String()+TablesPath, pullTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Newf("status %d", status)
	}
	var t Tables
	if err == nil {
		err = cbor.Unmarshal(body, &t)
	}
	if err != nil {
		x.Log.Dependency("peer "+vm, "pullFailed", err)
		return
	}
	now := time.Now()
	source := "peer " + vm
	operatorEnd := peerPosition(t.Era, t.OperatorEnd, x.OperatorTable.End())
	for _, c := range x.View.ApplyOperator(x.OperatorTable.Merge(t.Operator, operatorEnd, t.Kept).Changed) {
		x.Log.ViewChange(source, "operator", c)
	}
	for _, c := range x.applyUpstreams(t, now) {
		x.Log.ViewChange(source, "upstreams", c)
	}
	if t.Following && x.OperatorTable.End().Era == operatorEnd.Era {
		x.View.Confirm(now)
	}
}

// applyUpstreams applies a peer's table of upstreams to the view.
func (x *Exchange) applyUpstreams(t Tables, now time.Time) []tgview.Change {
	r := x.UpstreamsTable.ApplyListing(t.Upstreams, peerPosition(t.UpstreamsEra, t.UpstreamsEnd, x.UpstreamsTable.End()))
	if r.OfCopy {
		return x.View.ApplyReturned(r.Changed, now)
	}
	return x.View.ApplyUpstreams(r.Changed, now)
}

// HandleTables answers the pull of a peer that is behind.
func (x *Exchange) HandleTables(ctx *fasthttp.RequestCtx) {
	var t Tables
	t.Following = x.View.Following()
	var operatorEnd, upstreamsEnd tglogtable.Position
	t.Kept = x.OperatorTable.Kept() // before the records: a key that is written again in between stands in both
	t.Operator, operatorEnd = x.OperatorTable.Records()
	t.Upstreams, upstreamsEnd = x.UpstreamsTable.Records()
	t.Era, t.OperatorEnd = operatorEnd.Era, operatorEnd.Offset
	t.UpstreamsEra, t.UpstreamsEnd = upstreamsEnd.Era, upstreamsEnd.Offset
	data, err := cbor.Marshal(t)
	if err != nil {
		ctx.Error("encode tables", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}
