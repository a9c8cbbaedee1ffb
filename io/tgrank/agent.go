package tgrank

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgswitch"
)

const maxDatagram = 60 << 10

// Agent reports the state of one rank to the leader, and leads if it is elected.
type Agent struct {
	Conn          *net.UDPConn
	EngineAddress netip.AddrPort // on this VM
	Engines       EngineClient
	Leader        *Leader
	Log           Log
	Pool          string
	VM            string

	mu      sync.Mutex
	beacon  Beacon // newest one
	heard   time.Time
	leader  netip.AddrPort
	maps    mapCache
	wake    chan struct{}
	last    []uint64  // counts at the last report
	started time.Time // of the engine that they belong to
	rank    int       // at the last report
	version int64     // of the map that experts belong to
	experts [][]int
	lost    bool
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.wake = make(chan struct{}, 1)
	a.heard = time.Now()                                          // a leader, if there is one, is heard of before this daemon is a candidate
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
			pause(ctx, fastInterval)
			continue
		}
		var e envelope
		if cbor.Unmarshal(buf[:n], &e) != nil {
			continue // not from a daemon of this version
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		switch {
		case e.Beacon != nil:
			a.takeBeacon(*e.Beacon, from)
		case e.Report != nil:
			e.Report.From = from
			a.Leader.EnqueueReport(*e.Report)
		case e.Request != nil:
			go a.relay(*e.Request, from)
		case e.Reply != nil:
			a.Leader.reply(*e.Reply)
		}
	}
}

// takeBeacon follows the leader with the highest token.
func (a *Agent) takeBeacon(b Beacon, from netip.AddrPort) {
	now := time.Now()
	a.mu.Lock()
	if b.Token < a.beacon.Token {
		a.mu.Unlock()
		return
	}
	sooner := b.FastReports && !a.beacon.FastReports || b.VM != a.beacon.VM // a new leader knows nothing yet
	changed := b.VM != a.beacon.VM
	a.beacon, a.heard, a.leader = b, now, from
	a.mu.Unlock()
	if changed {
		a.Log.Line("leader", map[string]any{"leader": b.VM, "token": b.Token})
	}
	if b.VM != a.VM {
		a.Leader.ObserveToken(b.Token)
	}
	if sooner {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// lastLeader returns the beacon of the leader that was heard of last.
func (a *Agent) lastLeader() Beacon {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beacon
}

// Dump is the state of an agent.
type Dump struct {
	LastBeacon time.Time `json:"heard"` // when the leader was last heard of
	Leader     string    `json:"leader"`
	IsLeader   bool      `json:"leads"`
	Token      int64     `json:"token"`
}

// Dump returns the present state.
func (a *Agent) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Dump{LastBeacon: a.heard, Leader: a.beacon.VM, IsLeader: a.Leader.Token() != 0, Token: a.beacon.Token}
}

// quiet returns how long no leader was heard of.
func (a *Agent) quiet() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.heard)
}

func (a *Agent) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var counted time.Time
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
		known := beacon.Token != 0 && now.Sub(a.heard) < leaderFor
		a.mu.Unlock()
		interval := reportInterval
		if beacon.FastReports {
			interval = fastInterval
		}
		if known {
			counts := countsNone
			if now.Sub(counted) >= reportInterval-fastInterval/2 {
				counted = now
				tick++
				counts = countsAt(tick, a.rank, beacon.CountsEvery)
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
		if !a.lost {
			a.Log.Dependency("engine", "lost", err)
		}
		a.lost = true
		return
	}
	if a.lost {
		a.Log.Dependency("engine", "answers", nil)
	}
	a.lost, a.rank = false, s.Rank
	r := Report{
		EngineAddress: a.EngineAddress, Group: s.Group, Pool: a.Pool, Rank: s.Rank, Ranks: s.Ranks,
		Slowdown: s.Slowdown, State: s.State, VM: a.VM,
	}
	if !s.Started.Equal(a.started) {
		a.started, a.last, a.experts = s.Started, nil, nil
	}
	switch counts {
	case countsSend:
		r.Counts = QuantizeCounts(a.counts())
	case countsBase:
		a.counts()
	case countsNone:
	}
	if b.WantExperts {
		r.Experts = a.held(s.State.Version)
	}
	r.StateAge = time.Since(read)
	if b.VM == a.VM {
		a.Leader.EnqueueReport(r)
		return
	}
	a.send(envelope{Report: &r}, leader)
}

// counts returns the choices since the last call.
func (a *Agent) counts() []uint32 {
	counts, err := a.Engines.Counts(a.EngineAddress)
	if err != nil {
		a.Log.Dependency("engine", "countsFailed", err)
		return nil
	}
	var delta []uint32
	if len(a.last) == len(counts) {
		delta = make([]uint32, len(counts))
		for i := range counts {
			if counts[i] >= a.last[i] {
				delta[i] = uint32(min(counts[i]-a.last[i], 1<<31)) //nolint:gosec // bounded
			}
		}
	}
	a.last = counts
	return delta
}

// held returns the experts of the rank in the map in use.
func (a *Agent) held(version int64) [][]int {
	if a.experts != nil && a.version == version {
		return a.experts
	}
	v, sets, err := a.Engines.Experts(a.EngineAddress)
	if err != nil || v != version {
		return nil // the next report has them
	}
	a.version, a.experts = v, sets
	return sets
}

// relay passes an order to the engine on this VM. Orders repeat until they are answered, so a lost reply is harmless.
func (a *Agent) relay(q Request, from netip.AddrPort) {
	reply := Reply{Number: q.Number, Result: tgswitch.ResultUnknown, Token: q.Token}
	replicas, ok := a.maps.resolve(q)
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
}

func (a *Agent) send(e envelope, to netip.AddrPort) {
	data, err := cbor.Marshal(e)
	if err != nil {
		a.Log.Dependency("peers", "encodeFailed", err)
		return
	}
	// A datagram that cannot be sent is as good as lost; the next one follows soon.
	_, _ = a.Conn.WriteToUDPAddrPort(data, to)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
