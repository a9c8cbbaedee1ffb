package tggroup

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgsleep"
	"tanagergrade/core/tgtwophase"
	"tanagergrade/io/tgstandin"
)

// fakeLeases is a log with one lease. Tests can give the lease to another holder and take the log down.
type fakeLeases struct {
	mu    sync.Mutex
	down  bool
	owner *fakeHolder
	token uint64
}

// fakeHolder is the access of one companion to the lease.
type fakeHolder struct{ log *fakeLeases }

func (h *fakeHolder) Acquire(ctx context.Context, _ string) (uint64, error) {
	for ctx.Err() == nil {
		h.log.mu.Lock()
		if !h.log.down && h.log.owner == nil {
			h.log.owner = h
			h.log.token++
		}
		owner, token := h.log.owner, h.log.token
		h.log.mu.Unlock()
		if owner == h {
			return token, nil
		}
		tgsleep.Sleep(ctx, time.Millisecond)
	}
	return 0, ctx.Err()
}

func (h *fakeHolder) Held(_ string, token uint64) bool {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	return !h.log.down && h.log.owner == h && h.log.token == token
}

func (h *fakeHolder) Token(string) (uint64, bool) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	return h.log.token, !h.log.down
}

// testGroup is a stand-in group with one spare rank, and two companions that compete to run its controller.
type testGroup struct {
	agents      LocalRanks
	controllers [2]*Group
	group       *tgstandin.RankGroup
	leases      *fakeLeases
	loads       [2]tgexpert.Loads
	store       *tgstandin.WeightStore
}

func newTestGroup(tb testing.TB) *testGroup {
	tb.Helper()
	return newTestGroupOfSize(tb, 4)
}

func newTestGroupOfSize(tb testing.TB, size int) *testGroup {
	tb.Helper()
	const layers = 2
	experts, ranks := 2*size, size+1
	r := &testGroup{leases: &fakeLeases{}, store: tgstandin.NewWeightStore(1e9)}
	for i := range r.loads {
		r.loads[i] = tgexpert.NewLoads(layers, experts)
		for j := range r.loads[i].Tokens {
			r.loads[i].Tokens[j] = float64(100 + 900*((j+i*3)%experts/(experts-3)))
		}
	}
	r.group = tgstandin.NewRankGroup(ranks, 2*time.Millisecond, r.loads[0], r.store)
	r.group.BytesPerExpert = 1e6
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	tb.Cleanup(func() { cancel(); wg.Wait() })
	wg.Go(func() { r.group.Run(ctx) })
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i := range r.controllers {
		h := &fakeHolder{log: r.leases}
		agents := make(LocalRanks, 0, ranks)
		for rank := range ranks {
			server, err := tgstandin.Serve(r.group.Rank(rank).Handle)
			if err != nil {
				tb.Fatal(err)
			}
			tb.Cleanup(func() { _ = server.Close() })
			agents = append(agents, NewAgent(rank, server.Address(), LeaseName("g"), h))
		}
		r.agents = agents
		r.controllers[i] = New(Settings{
			DecisionInterval: 50 * time.Millisecond, Experts: experts, Layers: layers, LeadSteps: 20, Name: "g",
			PollInterval: 10 * time.Millisecond, Ranks: ranks, Size: size, Slots: 3, StallTimeout: 700 * time.Millisecond,
		}, agents, h, logrus.NewEntry(logger))
		r.controllers[i].policy = tgexpert.Greedy{}
		wg.Go(func() { r.controllers[i].Run(ctx) })
	}
	return r
}

// waitFor waits for a condition while the loads alternate, so that new maps are needed again and again.
func (r *testGroup) waitFor(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; !ok(); i++ {
		if time.Now().After(deadline) {
			tb.Fatalf("no %s; controllers: %+v, %+v; group: %+v",
				what, r.controllers[0].Status(), r.controllers[1].Status(), r.group.Stats())
		}
		r.group.SetLoads(r.loads[i/20%2])
		time.Sleep(10 * time.Millisecond)
	}
}

// changeCount returns the number of changes that both controllers have committed.
func (r *testGroup) changeCount() int {
	return r.controllers[0].Status().Changes + r.controllers[1].Status().Changes
}

// waitForChanges waits until n further changes are committed.
func (r *testGroup) waitForChanges(tb testing.TB, n int) {
	tb.Helper()
	from := r.changeCount()
	r.waitFor(tb, "map change", func() bool { return r.changeCount() >= from+n })
}

// faults are single faults; inject starts one, and clear ends it if it does not end by itself.
var faults = []struct {
	name   string
	inject func(tb testing.TB, r *testGroup)
	clear  func(r *testGroup)
}{
	{"none", func(testing.TB, *testGroup) {}, func(*testGroup) {}},
	{"connection cut", func(_ testing.TB, r *testGroup) {
		r.group.Rank(1).SetDisconnected(true)
	}, func(r *testGroup) { r.group.Rank(1).SetDisconnected(false) }},
	{"controller replaced", func(_ testing.TB, r *testGroup) {
		r.leases.mu.Lock()
		defer r.leases.mu.Unlock()
		for _, g := range r.controllers {
			if h, ok := g.leases.(*fakeHolder); ok && h != r.leases.owner {
				r.leases.owner = h
				r.leases.token++
				return
			}
		}
	}, func(*testGroup) {}},
	{"engine restart", func(_ testing.TB, r *testGroup) { r.group.Rank(2).Restart() }, func(*testGroup) {}},
	{"replies delayed", func(_ testing.TB, r *testGroup) {
		r.group.Rank(1).SetDelay(60 * time.Millisecond)
	}, func(r *testGroup) { r.group.Rank(1).SetDelay(0) }},
	{"stalled rank", func(tb testing.TB, r *testGroup) {
		tb.Helper()
		r.group.Rank(3).SetStalled(true)
		r.waitFor(tb, "spare in use", func() bool {
			return (r.controllers[0].Status().Members|r.controllers[1].Status().Members)>>(len(r.agents)-1) != 0
		})
	}, func(*testGroup) {}},
}

// TestChangesUnderFaults guards against a step in which ranks use different maps, and against a group that makes no
// more changes after a fault.
func TestChangesUnderFaults(t *testing.T) {
	t.Parallel()
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newTestGroup(t)
			r.waitForChanges(t, 2)
			tt.inject(t, r)
			time.Sleep(200 * time.Millisecond)
			tt.clear(r)
			r.waitForChanges(t, 2)
			s := r.group.Stats()
			if len(s.MixedSteps) > 0 {
				t.Errorf("mixed steps: %v", s.MixedSteps)
			}
			if s.Completed == 0 {
				t.Error("no step was completed")
			}
		})
	}
}

// TestLogOutage guards against a controller that starts a change of the map without a confirmed lease.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	r := newTestGroup(t)
	r.waitForChanges(t, 1)
	r.leases.mu.Lock()
	r.leases.down = true
	r.leases.mu.Unlock()
	idle := func() bool {
		return r.controllers[0].Status().Phase == tgtwophase.PhaseIdle || r.controllers[1].Status().Phase == tgtwophase.PhaseIdle
	}
	time.Sleep(100 * time.Millisecond) // time for a change in progress to finish
	r.waitFor(t, "idle controller", idle)
	before, completed := r.changeCount(), r.group.Stats().Completed
	r.waitFor(t, "steps during the outage", func() bool { return r.group.Stats().Completed > completed+100 })
	if r.changeCount() != before {
		t.Errorf("%d changes during the outage", r.changeCount()-before)
	}
	r.leases.mu.Lock()
	r.leases.down = false
	r.leases.mu.Unlock()
	r.waitForChanges(t, 1)
}

// BenchmarkChange measures changes of the map with each single fault: the time from arming to the last commit, and
// the longest time between two steps, which includes detection and re-formation.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{8, 16, 32} {
		for _, tt := range faults {
			b.Run(fmt.Sprintf("ranks=%d/%s", size, strings.ReplaceAll(tt.name, " ", "_")), func(b *testing.B) {
				r := newTestGroupOfSize(b, size)
				r.waitForChanges(b, 2)
				var commit, gap, blocked time.Duration
				n := 0
				for b.Loop() {
					r.group.Stats()
					tt.inject(b, r)
					time.Sleep(200 * time.Millisecond)
					tt.clear(r)
					r.waitForChanges(b, 1)
					s := r.group.Stats()
					if len(s.MixedSteps) > 0 {
						b.Fatalf("mixed steps: %v", s.MixedSteps)
					}
					commit += max(r.controllers[0].Status().LastChangeDuration, r.controllers[1].Status().LastChangeDuration)
					blocked += s.BlockedTime
					gap = max(gap, s.LongestGap)
					n++
				}
				b.ReportMetric(float64(commit.Milliseconds())/float64(n), "ms/change")
				b.ReportMetric(float64(gap.Milliseconds()), "ms-longest-gap")
				b.ReportMetric(float64(blocked.Milliseconds())/float64(n), "ms-blocked")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
