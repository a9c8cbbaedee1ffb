package tgrank

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgmapchange"
)

// fakeElection elects the first member that joins.
type fakeElection struct {
	calls  []string
	leader string
	mu     sync.Mutex
	token  int64
}

// Join implements Election.
func (e *fakeElection) Join(member string, _ int64) (ElectionStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, "join "+member)
	if e.leader == "" {
		e.token++
		e.leader = member
	}
	return ElectionStatus{IsLeader: e.leader == member, Token: e.token}, nil
}

// Leave implements Election.
func (e *fakeElection) Leave(member string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, "leave "+member)
	if e.leader == member {
		e.leader = ""
	}
	return nil
}

// fakeGroup is a group of engines that make their passes in lock-step; experts with lower numbers are in higher demand.
type fakeGroup struct {
	counts [][]uint64
	mu     sync.Mutex
	mixed  string // last pass in which ranks used different maps; empty if there was none
	ranks  []tgmapchange.RankState
	step   int64
}

const (
	fakeExperts        = 12
	fakeExpertsPerRank = 4
	fakeRanks          = 4
	fakeSets           = 2
)

func newFakeGroup(t *testing.T) *fakeGroup {
	t.Helper()
	g := &fakeGroup{}
	for range fakeRanks {
		g.ranks = append(g.ranks, tgmapchange.RankState{Epoch: 1, Open: true})
		g.counts = append(g.counts, make([]uint64, fakeSets*fakeExperts))
	}
	go func() {
		for t.Context().Err() == nil {
			time.Sleep(15 * time.Millisecond)
			g.pass()
		}
	}()
	return g
}

func (g *fakeGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.Held == g.step+1 {
			return
		}
	}
	g.step++
	for i := range g.ranks {
		r := &g.ranks[i]
		r.Step = g.step
		if r.ArmedVersion != 0 && r.ArmedStep == g.step {
			r.Version, r.ArmedVersion, r.ArmedStep, r.Prepared = r.ArmedVersion, 0, 0, 0
		}
		if r.Version != g.ranks[0].Version {
			g.mixed = fmt.Sprintf("pass %d: %d and %d", g.step, g.ranks[0].Version, r.Version)
		}
		for e := range g.counts[i] {
			g.counts[i][e] += uint64(1000 / math.Pow(float64(e%fakeExperts+1), 1.3))
		}
	}
}

func engineAddr(rank int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(rank)}), 1)
}

func rankOf(addr netip.AddrPort) int { return int(addr.Addr().As4()[3]) }

// Counts implements EngineClient.
func (g *fakeGroup) Counts(addr netip.AddrPort) ([]uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.counts[rankOf(addr)]), nil
}

// Experts implements EngineClient.
func (g *fakeGroup) Experts(netip.AddrPort) (int64, [][]int, error) {
	return 0, nil, errors.New("not needed")
}

// State implements EngineClient.
func (g *fakeGroup) State(addr netip.AddrPort) (EngineState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return EngineState{Group: "g", Rank: rankOf(addr), Ranks: fakeRanks, State: g.ranks[rankOf(addr)]}, nil
}

// Order implements EngineClient.
func (g *fakeGroup) Order(addr netip.AddrPort, o tgmapchange.Order, _ int64, _ [][][]int) (tgmapchange.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[rankOf(addr)]
	switch o.Operation {
	case tgmapchange.Prepare:
		r.Prepared = o.Version
	case tgmapchange.Arm:
		if r.Prepared != o.Version || o.Step <= g.step {
			return tgmapchange.ResultRefused, errors.New("refused")
		}
		r.ArmedVersion, r.ArmedStep = o.Version, o.Step
	case tgmapchange.Disarm:
		r.ArmedVersion, r.ArmedStep = 0, 0
	case tgmapchange.Hold:
		if o.Step <= g.step {
			return tgmapchange.ResultRefused, errors.New("refused")
		}
		r.Held = o.Step
	case tgmapchange.Release:
		if r.Held != o.Step {
			return tgmapchange.ResultRefused, errors.New("refused")
		}
		r.Held = 0
	}
	return tgmapchange.ResultDone, nil
}

// silentLog discards log events.
type silentLog struct{}

// Dependency implements Log.
func (silentLog) Dependency(string, string, error) {}

// Line implements Log.
func (silentLog) Line(string, map[string]any) {}

// fleet runs one agent for each rank.
type fleet struct {
	agents   []*Agent
	election *fakeElection
	group    *fakeGroup
	stops    []context.CancelFunc
	wg       sync.WaitGroup
}

func newFleet(t *testing.T, adapt ...func(l *Leader)) *fleet {
	t.Helper()
	f := &fleet{election: &fakeElection{}, group: newFakeGroup(t)}
	peers := make([]Peer, 0, fakeRanks)
	for i := range fakeRanks {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		a := &Agent{
			Conn: conn, EngineAddress: engineAddr(i), Engines: f.group, Leader: NewLeader(), Log: silentLog{}, Pool: "p",
			VM: fmt.Sprintf("vm%d", i),
		}
		addr, ok := conn.LocalAddr().(*net.UDPAddr)
		assert.Assert(t, ok)
		peers = append(peers, Peer{Address: addr.AddrPort(), EngineAddress: a.EngineAddress, VM: a.VM})
		f.agents = append(f.agents, a)
	}
	for i, a := range f.agents {
		l := a.Leader
		l.Election, l.Engines, l.OnTermChange, l.Log, l.Pool, l.VM = f.election, f.group, func(bool) {}, silentLog{}, "p", a.VM
		others := slices.Delete(slices.Clone(peers), i, i+1)
		l.Peers = func() []Peer { return others }
		l.EngineProfile = func(string) (tgcatalog.Engine, bool) {
			return tgcatalog.Engine{
				Experts: fakeExperts, ExpertSlotsPerRank: fakeExpertsPerRank, NewExpertsPerSet: 2, Sets: fakeSets,
			}, true
		}
		for _, f := range adapt {
			f(l)
		}
		ctx, stop := context.WithCancel(t.Context())
		f.stops = append(f.stops, stop)
		f.wg.Go(func() { a.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		f.wg.Wait()
	})
	return f
}

func (f *fleet) version() int64 {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return f.group.ranks[0].Version
}

func (f *fleet) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 800 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

// Guards against a group whose experts are never placed by demand, a leader that is not replaced when it stops, and passes
// in which ranks use different maps.
func TestLeaderBalancesAndIsReplaced(t *testing.T) {
	f := newFleet(t)
	f.waitFor(t, "the first change", func() bool { return f.version() != 0 })
	first := f.version()
	f.election.mu.Lock()
	leader := f.election.leader
	f.election.mu.Unlock()
	for i, a := range f.agents {
		if a.VM == leader {
			f.stops[i]()
		}
	}
	f.group.mu.Lock()
	for i := range f.group.counts { // the demand moves to other experts
		slices.Reverse(f.group.counts[i])
	}
	f.group.mu.Unlock()
	f.waitFor(t, "a change by the next leader", func() bool {
		f.election.mu.Lock()
		defer f.election.mu.Unlock()
		return f.election.leader != "" && f.election.leader != leader
	})
	assert.Equal(t, f.group.mixed, "")
	assert.Assert(t, f.version() >= first)
}

// Guards against a restarted leader that gets the token of its former process and so gives two maps the same version
// (seen as MAP on trouble-3 of both grown sites).
func TestLeaderLeavesBeforeItJoins(t *testing.T) {
	f := newFleet(t)
	f.waitFor(t, "a join", func() bool {
		f.election.mu.Lock()
		defer f.election.mu.Unlock()
		return f.election.leader != ""
	})
	f.election.mu.Lock()
	defer f.election.mu.Unlock()
	left := map[string]bool{}
	for _, call := range f.election.calls {
		var what, vm string
		_, err := fmt.Sscan(call, &what, &vm)
		assert.NilError(t, err)
		if what == "leave" {
			left[vm] = true
		}
		assert.Assert(t, left[vm], call)
	}
}

// Guards against a leader that ends its term although no other daemon leads.
func TestTermEndsOnlyByHigherToken(t *testing.T) {
	l := NewLeader()
	l.applyElectionStatus(ElectionStatus{IsLeader: true, Token: 5})
	assert.Equal(t, l.Token(), int64(5))
	l.applyElectionStatus(ElectionStatus{IsLeader: false, Token: 6})
	assert.Equal(t, l.Token(), int64(5))
	l.ObserveToken(5)
	assert.Equal(t, l.Token(), int64(5))
	l.ObserveToken(7)
	assert.Equal(t, l.Token(), int64(0))
	l.applyElectionStatus(ElectionStatus{IsLeader: true, Token: 7})
	assert.Equal(t, l.Token(), int64(0))
	l.applyElectionStatus(ElectionStatus{IsLeader: true, Token: 8})
	assert.Equal(t, l.Token(), int64(8))
}
