package tgrank

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgmapchange"
)

var testEngine = tgcatalog.Engine{
	ExpertShare: 0.85, Experts: 8, ExpertSlotsPerRank: 4, NewExpertsPerSet: 2, Sets: 2, Slots: 8, StepsPerPass: 1,
}

func newTestLeader() *Leader {
	l := NewLeader()
	l.EngineProfile = func(string) (tgcatalog.Engine, bool) { return testEngine, true }
	l.VM = "vm-0"
	return l
}

// beaconTime returns when the agent last received a beacon.
func (a *Agent) beaconTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastBeaconAt
}

func openReport(rank, ranks int, epoch int64) Report {
	return Report{
		Group: "g", Pool: "p", Rank: rank, Ranks: ranks, VM: "vm-1",
		State: tgmapchange.RankState{Epoch: epoch, Open: true, Step: 3},
	}
}

// Guards against a group that gets no new maps after it has re-formed with fewer or more ranks.
func TestGroupChangesSize(t *testing.T) {
	l := newTestLeader()
	for rank := range 3 {
		l.handleReport(openReport(rank, 3, 1))
	}
	_, ready := l.groups["g"].snapshot(time.Now())
	assert.Assert(t, ready)
	l.handleReport(openReport(0, 5, 1)) // ignored: the number of ranks does not change within an epoch
	assert.Equal(t, len(l.groups["g"].members), 3)
	for rank := range 2 {
		l.handleReport(openReport(rank, 2, 2))
	}
	l.handleReport(openReport(2, 3, 1)) // late, of the epoch before
	ranks, ready := l.groups["g"].snapshot(time.Now())
	assert.Assert(t, ready)
	assert.Equal(t, len(ranks), 2)
}

// Guards against agents that learn of a new leader, and a leader that learns of the ranks, only with the next periodic
// beacon, because the list of agents arrives after the election. After all daemons had been killed, the first report came
// 0.5 s after the election.
func TestNewPeersGetBeaconAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLeader()
		profileReads := 0
		l.Election, l.OnTermChange, l.Log = &fakeElection{leader: "another"}, func(bool) {}, silentLog{}
		l.Peers = func() []Peer { return nil }
		l.EngineProfile = func(string) (tgcatalog.Engine, bool) {
			profileReads++
			return testEngine, true
		}
		a := &Agent{Leader: l, Log: silentLog{}, VM: l.VM, wake: make(chan struct{}, 1)}
		ctx, stop := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { l.Run(ctx, a) })
		l.mu.Lock()
		l.token, l.highestToken = 5, 5
		l.mu.Unlock()
		time.Sleep(idleTick + time.Millisecond)
		synctest.Wait()
		first := a.beaconTime()
		assert.Equal(t, profileReads, 1) // at the start of the term
		assert.Equal(t, len(a.wake), 1)
		l.NotifyPeersChanged()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		assert.Assert(t, a.beaconTime().After(first))
		stop()
		wg.Wait()
	})
}

// Guards against an order that counts as answered by the reply to an order of the former process, or of an earlier term:
// numbers of requests begin anew with a process.
func TestReplyOfFormerTerm(t *testing.T) {
	l := newTestLeader()
	key, replies := l.relays.open(7)
	l.handleReply(Reply{Number: key.number, Result: tgmapchange.ResultDone, Token: 6})
	assert.Equal(t, len(replies), 0)
	l.handleReply(Reply{Number: key.number, Result: tgmapchange.ResultDone, Token: 7})
	assert.Equal(t, len(replies), 1)
}

// Guards against a hold that lasts until the next periodic report, because the leader believes only reports: an agent
// reports once it has passed on an order.
func TestAgentReportsAfterOrder(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	engines := &fakeGroup{ranks: make([]tgmapchange.RankState, 1)}
	a := &Agent{
		Conn: conn, EngineAddress: engineAddr(0), Engines: engines, Leader: newTestLeader(), Log: silentLog{}, VM: "vm-1",
		wake: make(chan struct{}, 1),
	}
	q := Request{Order: tgmapchange.Order{Operation: tgmapchange.Hold, Step: 5}, Token: 7}
	a.relayOrder(q, netip.MustParseAddrPort("127.0.0.1:9"))
	assert.Equal(t, engines.ranks[0].Held, int64(5))
	assert.Equal(t, len(a.wake), 1)
	<-a.wake
	m := Report{EngineAddress: a.EngineAddress, VM: a.Leader.VM}
	a.Leader.Engines = engines
	_, err = a.Leader.sendOrder(a, m, q.Order, q.Token, preparePlan{}, "g")
	assert.NilError(t, err)
	assert.Equal(t, len(a.wake), 1)
}

// Guards against dissolved groups that keep their share of the leader's link.
func TestSilentGroup(t *testing.T) {
	l := newTestLeader()
	for rank := range 3 {
		l.handleReport(openReport(rank, 3, 1))
	}
	now := time.Now()
	assert.Assert(t, l.groups["g"].silence(now) < groupExpiry)
	assert.Assert(t, l.groups["g"].silence(now.Add(2*groupExpiry)) > groupExpiry)
}

// Guards against a leader whose load grows with the square of the number of groups: while one group changed, the agents
// of all others reported three times as often, and the counts of each group used the whole budget of the leader's link.
func TestBeaconsOfManyGroups(t *testing.T) {
	const groups, ranks = 20, 12
	l := NewLeader()
	l.EngineProfile = func(string) (tgcatalog.Engine, bool) {
		e := testEngine
		e.Sets, e.Experts = 4, 72
		return e, true
	}
	l.VM, l.term = "vm-0-0", 7
	for g := range groups {
		for rank := range ranks {
			r := openReport(rank, ranks, 1)
			r.Group, r.VM = fmt.Sprint("g", g), fmt.Sprintf("vm-%d-%d", g, rank)
			l.handleReport(r)
		}
		l.groups[fmt.Sprint("g", g)].snapshot(time.Now())
	}
	l.groups["g3"].change = &tgmapchange.Switch{}
	l.groups["g5"].current = nil
	byVM, other := l.beacons()
	assert.Equal(t, len(byVM), groups*ranks)
	assert.Assert(t, other.FastReports && other.WantExperts)
	for vm, b := range byVM {
		assert.Equal(t, b.FastReports, strings.HasPrefix(vm, "vm-3-"), vm)
		assert.Equal(t, b.WantExperts, strings.HasPrefix(vm, "vm-5-"), vm)
		assert.Assert(t, groups*ranks*4*72 <= b.CountsEvery*maxCountsPerInterval, "counts of all ranks exceed the budget")
		assert.Assert(t, groups*ranks*4*72 > (b.CountsEvery-1)*maxCountsPerInterval, "reports are rarer than needed")
		assert.Equal(t, b.Token, int64(7))
	}
	assert.Assert(t, l.groups["g3"].hasVM("vm-3-11") && !l.groups["g3"].hasVM("vm-4-0"))
}

// Guards against datagrams that crash the process or exhaust its memory: a rank outside the group, experts that do not
// exist, a group of a billion ranks.
func FuzzReport(f *testing.F) {
	r := openReport(1, 3, 1)
	r.Counts = QuantizeCounts(make([]uint32, testEngine.Sets*testEngine.Experts))
	r.Experts = [][]int{{1, 2}, {0, 99, -1}}
	r.State.Version = 7
	for name, ranks := range map[string]int{"g": 3, "huge": 1 << 30, "negative": -1} {
		r.Group, r.Ranks = name, ranks
		data, err := cbor.Marshal(envelope{Report: &r})
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e envelope
		if cbor.Unmarshal(data, &e) != nil || e.Report == nil {
			return
		}
		l := newTestLeader()
		l.handleReport(openReport(0, 3, 1))
		l.handleReport(*e.Report)
		for name, g := range l.groups {
			for rank := range min(len(g.members), 8) {
				known := openReport(rank, len(g.members), g.epoch)
				known.Group, known.State.Version = name, e.Report.State.Version
				if rank != e.Report.Rank {
					l.handleReport(known)
				}
			}
			g.snapshot(time.Now())
			g.slowdowns()
		}
		l.notices.reset()
		l.membersNotice(time.Now())
		l.notice(l.nextWithLoads(), true, time.Now())
	})
}

// Guards against a recovery that begins at once in a new epoch, before the ranks have reported it: the time of the first
// report was that of an earlier epoch.
func TestFirstReportOfEpoch(t *testing.T) {
	g := newGroup("g", "vm-0", 3, testEngine)
	start := time.Unix(1000, 0)
	g.applyReport(openReport(0, 3, 1), start)
	g.applyReport(openReport(1, 3, 1), start.Add(time.Second))
	assert.Equal(t, g.firstSeen, start)
	g.applyReport(openReport(0, 3, 2), start.Add(time.Hour))
	g.applyReport(openReport(1, 3, 2), start.Add(time.Hour+time.Second))
	assert.Equal(t, g.firstSeen, start.Add(time.Hour))
}
