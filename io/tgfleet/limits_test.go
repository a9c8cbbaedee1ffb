package tgfleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquota"
	"tanagergrade/core/tgretry"
	"tanagergrade/io/tgfleet"
)

const (
	limitsEntries     = 5
	limitsTick        = 500 * time.Millisecond // between two datagrams of an entry
	limitsRuns        = 6 * time.Minute
	limitsBurst       = 90.0
	limitsRatio       = 0.2
	limitsWindow      = 10 * time.Second
	limitsPerTick     = 10 // requests of each entry, each of which asks for a retry
	limitsColdRate    = 36.0
	limitsColdOverrun = 1.5
	limitsConnections = 110
	limitsSlots       = 144
)

// limitsEntry is an entry that uses its full share of each limit.
type limitsEntry struct {
	alive  bool
	frozen bool
	peers  *tgfleet.Peers
	side   int // of a partition: entries receive datagrams only from their own side
	window *tgretry.WindowBudget
}

func newLimitsEntry(i int) *limitsEntry {
	return &limitsEntry{
		alive: true, peers: tgfleet.NewPeers(limitsVM(i)), window: tgretry.NewWindowBudget(limitsRatio, 0, limitsWindow),
	}
}

func limitsVM(i int) string { return fmt.Sprintf("entry-%d", i) }

func limitsAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7340)
}

// limitsFleet is all entries that serve one pool.
type limitsFleet struct {
	entries []*limitsEntry
	now     time.Time
	retries []int // by tick
	sent    []int // first attempts, by tick
}

// exchange delivers the datagrams of a tick.
func (f *limitsFleet) exchange() {
	for i, from := range f.entries {
		for j, to := range f.entries {
			if i != j && from.alive && !from.frozen && to.alive && !to.frozen && from.side == to.side {
				to.peers.RecordGossip(limitsVM(i), limitsAddr(i), nil, f.now)
			}
		}
	}
}

// check lets the entries use their full shares for a tick and compares the totals with the limits.
func (f *limitsFleet) check(t *testing.T, at time.Duration) {
	t.Helper()
	connections, cold, floor, retries, sent := 0, 0.0, 0.0, 0, 0
	for _, e := range f.entries {
		if !e.alive {
			continue
		}
		n := e.peers.ServingEntries(f.now)
		connections += tgquota.MaxConnections(limitsConnections, n) // a frozen entry keeps its connections
		if e.frozen {
			continue
		}
		cold += tgquota.ColdRate(limitsColdRate, n)
		floor += tgquota.MinStreams(limitsSlots, n)
		e.window.SetLimits(limitsRatio, tgquota.RetryBurst(limitsBurst, n))
		for range limitsPerTick {
			e.window.RecordRequest(f.now)
			sent++
			if e.window.AllowRetry(f.now) {
				retries++
			}
		}
	}
	f.retries, f.sent = append(f.retries, retries), append(f.sent, sent)
	assert.Assert(t, connections <= limitsConnections, "%v: %d connections", at, connections)
	assert.Assert(t, cold <= limitsColdRate*limitsColdOverrun, "%v: %.1f requests a second to a cold upstream", at, cold)
	assert.Assert(t, floor <= limitsSlots/2, "%v: %.1f streams admitted unconditionally", at, floor)
	recentRetries := f.retries[max(0, len(f.retries)-int(limitsWindow/limitsTick)):]
	recentSent := f.sent[max(0, len(f.sent)-int(limitsWindow/limitsTick)):]
	allowed := limitsRatio*float64(total(recentSent)) + limitsBurst
	n := total(recentRetries)
	assert.Assert(t, float64(n) <= allowed, "%v: %d retries, %.0f allowed", at, n, allowed)
}

func total(list []int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}

// Guards against shared limits that are kept while all entries know each other, but exceeded when one is added, freezes,
// is cut off or returns: the retry budget, the rate to cold upstreams, the connections, and the streams that are admitted
// unconditionally.
func TestLimitsOverEntries(t *testing.T) {
	t.Parallel()
	const (
		begin = 30 * time.Second
		end   = 3*time.Minute + 30*time.Second
	)
	type event struct {
		at time.Duration
		do func(f *limitsFleet)
	}
	one := func(at time.Duration, do func(e *limitsEntry)) event {
		return event{at: at, do: func(f *limitsFleet) { do(f.entries[0]) }}
	}
	restart := func(f *limitsFleet, i int) {
		f.entries[i] = newLimitsEntry(i)
		f.exchange() // an entry learns of the others before it serves callers
	}
	for name, events := range map[string][]event{
		"allRestart": {{at: begin, do: func(f *limitsFleet) {
			for i := range f.entries {
				f.entries[i] = newLimitsEntry(i)
			}
			f.exchange()
		}}},
		"oneCutOff": {
			one(begin, func(e *limitsEntry) { e.side = 1 }), one(end, func(e *limitsEntry) { e.side = 0 }),
		},
		"oneFrozen": {
			one(begin, func(e *limitsEntry) { e.frozen = true }), one(end, func(e *limitsEntry) { e.frozen = false }),
		},
		"oneGoneAndBack": {
			one(begin, func(e *limitsEntry) { e.alive = false }),
			{at: end, do: func(f *limitsFleet) { restart(f, 0) }},
		},
		"oneMore": {{at: begin, do: func(f *limitsFleet) {
			f.entries = append(f.entries, newLimitsEntry(len(f.entries)))
			f.exchange()
		}}},
		"partition": {
			{at: begin, do: func(f *limitsFleet) { f.entries[0].side, f.entries[1].side = 1, 1 }},
			{at: begin + time.Minute, do: func(f *limitsFleet) { f.entries[0].side, f.entries[1].side = 0, 0 }},
		},
		"steady": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &limitsFleet{now: time.Unix(1000, 0)}
			for i := range limitsEntries {
				f.entries = append(f.entries, newLimitsEntry(i))
			}
			f.exchange()
			for at := time.Duration(0); at < limitsRuns; at += limitsTick {
				for len(events) > 0 && at >= events[0].at {
					events[0].do(f)
					events = events[1:]
				}
				f.exchange()
				f.check(t, at)
				f.now = f.now.Add(limitsTick)
			}
			assert.Equal(t, len(events), 0)
		})
	}
}

// Guards against VMs that are long gone but get a share of each limit after every start of an entry, because their
// registrations stay in the store.
func TestOldRegistrationsCountBriefly(t *testing.T) {
	t.Parallel()
	peers := tgfleet.NewPeers(limitsVM(0))
	now := time.Unix(1000, 0)
	var records []tglogtable.Record
	for i := 1; i < 4; i++ {
		value, err := tgfleet.Member{Address: limitsAddr(i), Role: tgfleet.RoleEntry}.Encode()
		assert.NilError(t, err)
		records = append(records, tglogtable.Record{Key: limitsVM(i), Offset: int64(i), Value: value})
	}
	assert.Equal(t, len(peers.Apply(records, now)), 0)
	assert.Equal(t, peers.ServingEntries(now), 4)
	peers.RecordGossip(limitsVM(1), limitsAddr(1), nil, now)
	assert.Equal(t, peers.ServingEntries(now.Add(30*time.Second)), 2)
	assert.Equal(t, len(peers.Apply(records[:1], now.Add(40*time.Second))), 0) // registered again
	assert.Equal(t, peers.ServingEntries(now.Add(70*time.Second)), 2)
}

// Guards against a leader that loses its companions 500 s after they have registered: they send no gossip.
func TestReportingCompanionsStay(t *testing.T) {
	t.Parallel()
	peers := tgfleet.NewPeers("self")
	now := time.Unix(1000, 0)
	value, err := tgfleet.Member{Address: limitsAddr(1), Role: tgfleet.RoleCompanion}.Encode()
	assert.NilError(t, err)
	assert.Equal(t, len(peers.Apply([]tglogtable.Record{{Key: "vm-1", Value: value}, {Key: "vm-2", Value: value}}, now)), 0)
	for range 20 {
		now = now.Add(time.Minute)
		peers.Heard("vm-1", now)
		peers.Heard("unknown", now)
	}
	companions := peers.List(tgfleet.RoleCompanion, now)
	assert.Equal(t, len(companions), 1, "%v", companions)
	assert.Equal(t, companions[0].VM, "vm-1")
}
