package tgrank

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgmapchange"
	"tanagergrade/io/tgguard"
)

const maxDatagram = 60 << 10 // bytes; a UDP datagram has less than 64 KiB

// Agent reports the state of one rank to the leader, and leads if it is elected.
type Agent struct {
	Conn          *net.UDPConn
	EngineAddress netip.AddrPort // on this VM
	Engines       EngineClient
	Leader        *Leader
	Log           Log
	Pool          string
	VM            string

	mu           sync.Mutex // guards beacon, lastBeaconAt and leader
	beacon       Beacon     // newest one received
	lastBeaconAt time.Time
	leader       netip.AddrPort // address of its agent
	mapCache     mapCache
	wake         chan struct{} // makes reportLoop report at once

	// The fields below belong to the goroutine of reportLoop.
	lastCounts     []uint64  // at the last read; nil if not known
	engineStarted  time.Time // of the engine process that lastCounts and experts belong to
	lastRank       int       // at the last report
	expertsVersion int64     // of the map that experts belong to
	experts        [][]int   // held, by set; nil if not known
	engineLost     bool      // the last call to the engine failed
}

// Run receives datagrams, reports the state of the rank and runs the leader until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.wake = make(chan struct{}, 1)
	// Counts as a beacon, so that one of the present leader can arrive before this daemon becomes a candidate.
	a.lastBeaconAt = time.Now()
	stop := context.AfterFunc(ctx, func() { _ = a.Conn.Close() }) // ends receive
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { a.receive(ctx) })
	wg.Go(func() { a.Leader.Run(ctx, a) })
	a.reportLoop(ctx)
	wg.Wait()
}

func (a *Agent) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := a.Conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			pause(ctx, fastReportInterval)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		a.guard(from, func() { a.handleDatagram(buf[:n], from) })
	}
}

func (a *Agent) handleDatagram(data []byte, from netip.AddrPort) {
	var e envelope
	if cbor.Unmarshal(data, &e) != nil {
		return // not from a daemon of this version
	}
	switch {
	case e.Beacon != nil:
		a.handleBeacon(*e.Beacon, from)
	case e.Report != nil:
		e.Report.From = from
		a.Leader.EnqueueReport(*e.Report)
	case e.Request != nil:
		go a.guard(from, func() { a.relayOrder(*e.Request, from) })
	case e.Reply != nil:
		a.Leader.handleReply(*e.Reply)
	case e.Members:
		a.Leader.requestMembers(from)
	}
}

// guard handles a message of a peer and logs an unexpected fault in that.
func (a *Agent) guard(from netip.AddrPort, handle func()) {
	if err := tgguard.Handle(handle); err != nil {
		a.Log.Line("panic", map[string]any{"error": err.Error(), "peer": from})
	}
}

// handleBeacon follows the leader with the highest token and drops beacons of former leaders.
func (a *Agent) handleBeacon(b Beacon, from netip.AddrPort) {
	now := time.Now()
	a.mu.Lock()
	if b.Token < a.beacon.Token {
		a.mu.Unlock()
		return
	}
	reportNow := b.FastReports && !a.beacon.FastReports || b.VM != a.beacon.VM // a new leader has no reports yet
	changed := b.VM != a.beacon.VM
	a.beacon, a.lastBeaconAt, a.leader = b, now, from
	a.mu.Unlock()
	if changed {
		a.Log.Line("leader", map[string]any{"leader": b.VM, "token": b.Token})
	}
	if b.VM != a.VM {
		a.Leader.ObserveToken(b.Token)
	}
	if reportNow {
		a.reportSoon()
	}
}

// reportSoon makes reportLoop report without waiting for its interval.
func (a *Agent) reportSoon() {
	select {
	case a.wake <- struct{}{}:
	default: // it will
	}
}

// lastBeacon returns the newest beacon received.
func (a *Agent) lastBeacon() Beacon {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beacon
}

// Dump is the state of an agent.
type Dump struct {
	LastBeacon time.Time `json:"heard"` // when the last beacon was received
	Leader     string    `json:"leader"`
	IsLeader   bool      `json:"leads"`
	Token      int64     `json:"token"`
}

// Dump returns the current state.
func (a *Agent) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Dump{LastBeacon: a.lastBeaconAt, Leader: a.beacon.VM, IsLeader: a.Leader.Token() != 0, Token: a.beacon.Token}
}

// leaderSilence returns the time since the last beacon of a leader.
func (a *Agent) leaderSilence() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.lastBeaconAt)
}

// reportLoop reports to the leader until ctx ends, more often while the group changes.
func (a *Agent) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastCounted time.Time
	tick := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wake:
		}
		now := time.Now()
		a.mu.Lock()
		beacon, leader := a.beacon, a.leader
		known := beacon.Token != 0 && now.Sub(a.lastBeaconAt) < leaderTTL
		a.mu.Unlock()
		interval := reportInterval
		if beacon.FastReports {
			interval = fastReportInterval
		}
		if known {
			counts := countsNone
			if now.Sub(lastCounted) >= reportInterval-fastReportInterval/2 {
				lastCounted = now
				tick++
				counts = countsModeAt(tick, a.lastRank, beacon.CountsEvery)
			}
			a.report(leader, beacon, counts)
		}
		timer.Reset(interval)
	}
}

// report sends the state of the rank to the leader.
func (a *Agent) report(leader netip.AddrPort, b Beacon, counts countsMode) {
	read := time.Now()
	s, err := a.Engines.State(a.EngineAddress)
	if err != nil || s.Ranks == 0 {
		if !a.engineLost {
			a.Log.Dependency("engine", "lost", err)
		}
		a.engineLost = true
		return
	}
	if a.engineLost {
		a.Log.Dependency("engine", "answers", nil)
	}
	a.engineLost, a.lastRank = false, s.Rank
	r := Report{
		EngineAddress: a.EngineAddress, Group: s.Group, Memory: memoryLevel(s.Memory), Pool: a.Pool, Rank: s.Rank,
		Ranks: s.Ranks, Slowdown: s.Slowdown, State: s.State, Streams: &s.Streams, VM: a.VM,
	}
	if !s.Started.Equal(a.engineStarted) {
		a.engineStarted, a.lastCounts, a.experts = s.Started, nil, nil
	}
	switch counts {
	case countsSend:
		r.Counts = QuantizeCounts(a.countsDelta())
	case countsBaseline:
		a.countsDelta()
	case countsNone:
	}
	if b.WantExperts {
		r.Experts = a.heldExperts(s.State.Version)
	}
	r.StateAge = time.Since(read)
	if b.VM == a.VM {
		a.Leader.EnqueueReport(r)
		return
	}
	a.send(envelope{Report: &r}, leader)
}

// countsDelta returns how often each expert was chosen since the last call, or nil if that is not known.
func (a *Agent) countsDelta() []uint32 {
	counts, err := a.Engines.Counts(a.EngineAddress)
	if err != nil {
		a.Log.Dependency("engine", "countsFailed", err)
		return nil
	}
	var delta []uint32
	if len(a.lastCounts) == len(counts) {
		delta = make([]uint32, len(counts))
		for i := range counts {
			if counts[i] >= a.lastCounts[i] {
				delta[i] = uint32(min(counts[i]-a.lastCounts[i], 1<<31)) //nolint:gosec // bounded
			}
		}
	}
	a.lastCounts = counts
	return delta
}

// heldExperts returns the experts that the rank holds in the map of a version, or nil if its engine has another map.
func (a *Agent) heldExperts(version int64) [][]int {
	if a.experts != nil && a.expertsVersion == version {
		return a.experts
	}
	v, sets, err := a.Engines.Experts(a.EngineAddress)
	if err != nil || v != version {
		return nil // a later report has them
	}
	a.expertsVersion, a.experts = v, sets
	return sets
}

// relayOrder passes an order to the engine on this VM. The leader repeats orders until they are answered, so a lost
// reply does no harm.
func (a *Agent) relayOrder(q Request, from netip.AddrPort) {
	reply := Reply{Number: q.Number, Result: tgmapchange.ResultUnknown, Token: q.Token}
	replicas, ok := a.mapCache.resolve(q)
	if !ok {
		reply.BaseMissing = true
		a.send(envelope{Reply: &reply}, from)
		return
	}
	r, err := a.Engines.Order(a.EngineAddress, q.Order, q.Token, replicas)
	reply.Result = r
	if err != nil {
		reply.Error = err.Error()
	}
	a.send(envelope{Reply: &reply}, from)
	a.reportSoon() // only a report shows the leader what became of the order
}

func (a *Agent) send(e envelope, to netip.AddrPort) {
	data, err := cbor.Marshal(e)
	if err != nil {
		a.Log.Dependency("peers", "encodeFailed", err)
		return
	}
	// A datagram that cannot be sent is treated like a lost one; the next one follows soon.
	_, _ = a.Conn.WriteToUDPAddrPort(data, to)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
