package tgfleet_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgfleet"
	tgplatform "tanagergrade/platform"
	"tanagergrade/platform/tgemulator"
)

func config(version string) []byte {
	return []byte(`{"version":` + version + `,"routes":[],"services":[],"limits":{}}`)
}

func startStore(t *testing.T) (*tgemulator.Store, *tgplatform.Store) {
	t.Helper()
	store := tgemulator.NewStore()
	addr, err := store.ServeLoopback(t.Context())
	assert.NilError(t, err)
	return store, tgplatform.NewStore(addr, fasthttp.Dial)
}

// silentLog discards all events.
type silentLog struct{}

// ViewChange implements tgfleet.Log.
func (silentLog) ViewChange(string, string, tgview.Change) {}

// Dependency implements tgfleet.Log.
func (silentLog) Dependency(string, string, error) {}

// Quarantine implements tgfleet.Log.
func (silentLog) Quarantine(tgquarantine.Change) {}

// follow runs a follower of the operator's topic and returns its view.
func follow(t *testing.T, store tgfleet.Store) (*tgview.View, *tglogtable.Table) {
	t.Helper()
	view, table := tgview.NewView(tgplatform.Codec()), tglogtable.NewTable()
	f := &tgfleet.Follower{
		Apply: func(changed []tglogtable.Record) {
			view.ApplyOperator(changed)
			view.SetFollowing(true)
		},
		OnRecovered: func() {}, OnLost: func(error) { view.SetFollowing(false) }, Store: store, Table: table,
		Topic: tgplatform.TopicOperator, Wait: 500 * time.Millisecond,
	}
	run(t, f)
	return view, table
}

// run runs a follower until the end of the test.
func run(t *testing.T, f *tgfleet.Follower) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

func version(v *tgview.View) int64 {
	cfg, _ := v.Config()
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// Guards against a follower that misses a configuration because the store failed before, while or after the
// configuration was written.
func TestFollowerUnderFaults(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]tgemulator.StoreFault{
		"busy": tgemulator.StoreUnavailable, "many": tgemulator.StoreRateLimited, "reset": tgemulator.StoreReset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, client := startStore(t)
			store.Put(tgplatform.TopicOperator, "config", config("3"))
			view, _ := follow(t, client)
			waitFor(t, "version 3", func() bool { return version(view) == 3 })
			store.SetFault(fault, 0)
			waitFor(t, "the loss of the store", func() bool { return !view.Following() })
			store.Put(tgplatform.TopicOperator, "config", config("4"))
			store.SetFault(tgemulator.StoreHealthy, 0)
			waitFor(t, "version 4", func() bool { return version(view) == 4 && view.Following() })
		})
	}
	t.Run("historyTrimmed", func(t *testing.T) {
		t.Parallel()
		store, client := startStore(t)
		store.Put(tgplatform.TopicOperator, "config", config("3"))
		store.Put(tgplatform.TopicOperator, "evacuate/a", []byte("{}"))
		view, _ := follow(t, client)
		waitFor(t, "the withdrawal", func() bool { return len(view.State().Withdrawn) == 1 })
		store.SetFault(tgemulator.StoreUnavailable, 0)
		waitFor(t, "the loss of the store", func() bool { return !view.Following() })
		store.Put(tgplatform.TopicOperator, "config", config("5"))
		store.Put(tgplatform.TopicOperator, "evacuate/a", nil)
		store.Trim(tgplatform.TopicOperator)
		store.SetFault(tgemulator.StoreHealthy, 0)
		waitFor(t, "version 5", func() bool { return version(view) == 5 })
		waitFor(t, "the end of the withdrawal", func() bool { return len(view.State().Withdrawn) == 0 })
	})
}

// Guards against one record that ends the process, or the follower, because of an unexpected fault in its handling.
func TestFollowerOutlivesPanic(t *testing.T) {
	store, client := startStore(t)
	var mu sync.Mutex
	var panics, applied int
	f := &tgfleet.Follower{
		Apply: func(changed []tglogtable.Record) {
			for _, r := range changed {
				if r.Key == "odd" {
					panic("odd record")
				}
			}
			mu.Lock()
			defer mu.Unlock()
			applied += len(changed)
		},
		OnPanic: func(err error) {
			mu.Lock()
			defer mu.Unlock()
			panics++
			assert.Check(t, strings.Contains(err.Error(), "odd record"))
		},
		OnRecovered: func() {}, OnLost: func(error) {}, Store: client, Table: tglogtable.NewTable(),
		Topic: tgplatform.TopicUpstreams, Wait: 500 * time.Millisecond,
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer stop()
	count := func(n *int) int {
		mu.Lock()
		defer mu.Unlock()
		return *n
	}
	store.Put(tgplatform.TopicUpstreams, "odd", []byte("{}"))
	waitFor(t, "the panic", func() bool { return count(&panics) == 1 })
	store.Put(tgplatform.TopicUpstreams, "e1", []byte("{}"))
	waitFor(t, "the next record", func() bool { return count(&applied) == 1 })
}

// Guards against registrations of daemons that are lost or duplicated when the store's answer to a write is lost.
func TestPutIsRepeatable(t *testing.T) {
	store, client := startStore(t)
	m := tgfleet.Member{Address: netip.MustParseAddrPort("127.0.0.1:1"), Role: tgfleet.RoleEntry}
	value, err := m.Encode()
	assert.NilError(t, err)
	store.SetFault(tgemulator.StoreLostResponse, 0)
	assert.Assert(t, client.Put(tgplatform.TopicMembers, "vm", value) != nil)
	store.SetFault(tgemulator.StoreHealthy, 0)
	assert.NilError(t, client.Put(tgplatform.TopicMembers, "vm", value))
	records, _, err := client.Newest(t.Context(), tgplatform.TopicMembers)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	back, err := tgfleet.DecodeMember(records[0])
	assert.NilError(t, err)
	assert.Equal(t, back.Address, m.Address)
	assert.Equal(t, back.VM, "vm")
}

// Guards against two leaders with the same token: the generation must grow with each change of the owner, and a member
// that left must get a new one.
func TestElection(t *testing.T) {
	_, client := startStore(t)
	e := &tgplatform.Election{Store: client, TTL: 300 * time.Millisecond}
	a, err := e.Join("a", 0)
	assert.NilError(t, err)
	assert.Assert(t, a.IsLeader)
	assert.NilError(t, e.Leave("a"))
	rejoined, err := e.Join("a", 0)
	assert.NilError(t, err)
	assert.Assert(t, rejoined.IsLeader && rejoined.Token > a.Token)
	time.Sleep(400 * time.Millisecond)
	b, err := e.Join("b", 0)
	assert.NilError(t, err)
	assert.Assert(t, b.IsLeader && b.Token > rejoined.Token)
	assert.NilError(t, e.Leave("never joined"))
}

// entry is the part of an entry that exchanges tables with others.
type entry struct {
	exchange *tgfleet.Exchange
	peers    *tgfleet.Peers
}

// listenBoth opens one port for UDP and TCP. It tries several, because a port that is free for one protocol may be in use
// for the other.
func listenBoth(t *testing.T) (*net.UDPConn, net.Listener) {
	t.Helper()
	for range 20 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		var lc net.ListenConfig
		l, err := lc.Listen(t.Context(), "tcp", conn.LocalAddr().String())
		if err == nil {
			return conn, l
		}
		assert.NilError(t, conn.Close())
	}
	t.Fatal("found no port that is free for both UDP and TCP")
	return nil, nil
}

func startEntry(t *testing.T, vm string, view *tgview.View, operator *tglogtable.Table) *entry {
	t.Helper()
	conn, l := listenBoth(t)
	e := &entry{peers: tgfleet.NewPeers(vm)}
	e.exchange = &tgfleet.Exchange{
		Log: silentLog{}, OperatorTable: operator, Peers: e.peers,
		Quarantine: tgquarantine.NewTable(vm), Streams: func() map[string]int { return nil },
		UpstreamsTable: tglogtable.NewTable(), VM: vm, View: view,
	}
	addr := conn.LocalAddr().String()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { e.exchange.HandleTables(ctx) }}
	go func() { _ = server.Serve(l) }() // ends with the listener
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { e.exchange.Run(ctx, conn) })
	t.Cleanup(func() {
		stop()
		_ = l.Close()
		wg.Wait()
	})
	e.peers.RecordGossip("self", netip.MustParseAddrPort(addr), nil, time.Now())
	return e
}

// addPeer makes the other entry known to e.
func (e *entry) addPeer(other *entry) {
	for _, m := range other.peers.List(tgfleet.RoleEntry, time.Now()) {
		if m.VM == "self" {
			e.peers.RecordGossip(other.exchange.VM, m.Address, nil, time.Now())
		}
	}
}

// Guards against an entry without access to the store that goes on using keys, routes and data centres which the
// operator has withdrawn, and against two entries without access that confirm each other.
func TestEntryLearnsFromPeers(t *testing.T) {
	store, client := startStore(t)
	store.Put(tgplatform.TopicOperator, "config", config("3"))
	view, table := follow(t, client)
	waitFor(t, "version 3", func() bool { return version(view) == 3 })
	served := startEntry(t, "served", view, table)
	cutView, cutTable := tgview.NewView(tgplatform.Codec()), tglogtable.NewTable()
	cut := startEntry(t, "cut", cutView, cutTable)
	cut.addPeer(served)
	served.addPeer(cut)
	waitFor(t, "version 3 at the peer", func() bool { return version(cutView) == 3 })
	store.Put(tgplatform.TopicOperator, "config", config("4"))
	store.Put(tgplatform.TopicOperator, "evacuate/a", []byte("{}"))
	waitFor(t, "version 4 at the peer", func() bool { return version(cutView) == 4 && len(cutView.State().Withdrawn) == 1 })
	waitFor(t, "the confirmation", func() bool { _, current := cutView.Config(); return current })
	store.SetFault(tgemulator.StoreUnavailable, 0)
	waitFor(t, "the end of the confirmation at both entries", func() bool {
		_, a := view.Config()
		_, b := cutView.Config()
		return !a && !b
	})
}

// Guards against an entry that sends a request with a part which its peers know to be deadly: because no notice reached
// it, or because it has just started.
func TestQuarantineReachesPeers(t *testing.T) {
	start := func(vm string) *entry {
		return startEntry(t, vm, tgview.NewView(tgplatform.Codec()), tglogtable.NewTable())
	}
	verdict := func(e *entry) tgquarantine.Verdict {
		return e.exchange.Quarantine.Decide([]string{"dead"}, time.Now()).Verdict
	}
	a, b := start("a"), start("b")
	a.addPeer(b)
	for _, upstream := range []string{"u1", "u2"} {
		a.exchange.Quarantine.RecordCrash(upstream, []string{"dead"}, tgquarantine.ProgressNone, time.Now())
	}
	waitFor(t, "the notice", func() bool { return verdict(b) == tgquarantine.VerdictRefuse })
	late := start("late")
	late.exchange.Quarantine.AwaitSaved(time.Now())
	a.addPeer(late) // it hears a and asks
	waitFor(t, "the answer", func() bool { return verdict(late) == tgquarantine.VerdictRefuse })
}

// Guards against quarantines that never reach the store, because it was away or its answer was lost.
func TestQuarantineIsSaved(t *testing.T) {
	store, client := startStore(t)
	table := tgquarantine.NewTable("vm")
	saver := &tgfleet.QuarantineSaver{
		OnFailed: func(error) {}, OnSaved: func(tglogtable.Record, time.Duration) {}, Store: client, Table: table,
		Topic: tgplatform.TopicQuarantine, Writer: "vm",
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { saver.Run(ctx) })
	defer wg.Wait()
	defer stop()
	saved := func() int {
		records, _, err := client.Newest(t.Context(), tgplatform.TopicQuarantine)
		n := 0
		for _, r := range records {
			if len(r.Value) > 0 {
				n++
			}
		}
		if err != nil {
			return -1
		}
		return n
	}
	store.SetFault(tgemulator.StoreUnavailable, 0)
	table.RecordCrash("u1", []string{"dead"}, tgquarantine.ProgressNone, time.Now())
	time.Sleep(time.Second)
	store.SetFault(tgemulator.StoreHealthy, 0)
	waitFor(t, "the record", func() bool { return saved() == 1 })
	table.Answered([]string{"dead"}, time.Now())
	waitFor(t, "its removal", func() bool { return saved() == 0 })
}
