package tgcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgera"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/io/tgfleet"
	"tanagergrade/io/tgreport"
	tgplatform "tanagergrade/platform"
	"tanagergrade/platform/tgemulator"
)

// lockedBuffer is a log that tests read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startStoreWithEra starts a store that says its era and returns it with its address.
func startStoreWithEra(t *testing.T) (*tgemulator.Store, netip.AddrPort) {
	t.Helper()
	store := tgemulator.NewStore()
	store.SetEra(1)
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context())) // entries end their reads by a last write
	t.Cleanup(stop)
	addr, err := store.ServeLoopback(ctx)
	assert.NilError(t, err)
	return store, addr
}

// startEntryOf starts what an entry does with the store.
func startEntryOf(t *testing.T, vm string, addr netip.AddrPort) (*platformEntry, *lockedBuffer) {
	t.Helper()
	settings, err := tgplatform.LoadSettings("../../platform/testdata/settings.json")
	assert.NilError(t, err)
	settings.VM = vm
	var log lockedBuffer
	d := &platformDaemon{
		peers: tgfleet.NewPeers(vm), registerSpread: 200 * time.Millisecond, report: tgreport.NewReporter(vm, &log),
		settings: settings, started: time.Now(),
	}
	d.eras = tgera.NewWatch(d.reportRise)
	d.store = tgplatform.NewStore(addr, dialStore, tgplatform.WithEras(d.eras))
	e := newPlatformEntry(d, newEntryFlags())
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, run := range []func(ctx context.Context){
		e.memberFollower().Run, e.operatorFollower().Run, e.quarantineFollower().Run, e.quarantineSaver().Run,
		e.upstreamsFollower().Run, func(ctx context.Context) { e.register(ctx, tgfleet.RoleEntry) },
	} {
		wg.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		store := tgplatform.NewStore(addr, dialStore) // ends the reads that wait
		for _, topic := range []string{tgplatform.TopicMembers, tgplatform.TopicQuarantine} {
			_ = store.Put(topic, "end", nil)
		}
		wg.Wait()
		_ = d.report.Close()
	})
	return e, &log
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

// storedKeys returns the keys of a topic in the store.
func storedKeys(t *testing.T, addr netip.AddrPort, topic string) string {
	t.Helper()
	records, _, err := tgplatform.NewStore(addr, dialStore).Newest(t.Context(), topic)
	assert.NilError(t, err)
	keys := make([]string, 0, len(records))
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	return strings.Join(keys, " ")
}

// Guards against what the daemons keep in the store and is not written again after a return from an older copy: registrations
// and deadly parts; and against an engine that the copy lacks, or shows ready as it was before it began to leave, although it
// lives or leaves. One line for the return and one for each topic tell operators what became of it.
func TestEntryAfterReturn(t *testing.T) {
	t.Parallel()
	store, addr := startStoreWithEra(t)
	engine := func(state string, seq string) []byte {
		return []byte(`{"address":"127.0.0.1:9","service":"p","zone":"a","version":"v1","coldRemainingMs":0,"slots":8,"state":"` + state + `","born":1000,"seq":` + seq + `}`)
	}
	store.Put(tgplatform.TopicUpstreams, "leaving", engine("ready", "1"))
	ofCopy := store.Copy()
	e, log := startEntryOf(t, "vm-1", addr)
	waitUntil(t, "the registration", func() bool { return storedKeys(t, addr, tgplatform.TopicMembers) == "vm-1" })
	for _, upstream := range []string{"u1", "u2", "u3"} {
		e.quarantine.RecordCrash(upstream, []string{"dead"}, tgquarantine.ProgressNone, time.Now())
	}
	waitUntil(t, "the record of the part", func() bool { return storedKeys(t, addr, tgplatform.TopicQuarantine) == "dead" })
	store.Put(tgplatform.TopicUpstreams, "new", engine("ready", "1"))
	store.Put(tgplatform.TopicUpstreams, "leaving", engine("draining", "2"))
	usable := func() string {
		upstreams := e.view.Upstreams("p")
		ids := make([]string, 0, len(upstreams))
		for i := range upstreams {
			ids = append(ids, upstreams[i].ID)
		}
		return strings.Join(ids, " ")
	}
	waitUntil(t, "the new engine", func() bool { return usable() == "new" })

	store.SetFault(tgemulator.StoreUnavailable, 0)
	time.Sleep(100 * time.Millisecond)
	store.Return(ofCopy)
	store.SetFault(tgemulator.StoreHealthy, 0)
	for !strings.Contains(log.String(), "topic=keyed.servers") {
		assert.Equal(t, usable(), "new", "before the copy was listed")
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, usable(), "new", "the copy lacks it, and has the other one ready")
	store.Put(tgplatform.TopicUpstreams, "new", engine("ready", "2"))
	store.Put(tgplatform.TopicUpstreams, "leaving", engine("draining", "3"))
	waitUntil(t, "the registration once more", func() bool { return storedKeys(t, addr, tgplatform.TopicMembers) == "vm-1" })
	waitUntil(t, "the record of the part once more", func() bool {
		return storedKeys(t, addr, tgplatform.TopicQuarantine) == "dead"
	})
	time.Sleep(2500 * time.Millisecond) // the grace period of registrations that the copy lacks is over
	assert.Equal(t, usable(), "new")
	for _, line := range []string{
		"msg=storeReturned era=2 formerEra=1", "topic=keyed.members", "topic=keyed.op", "topic=keyed.quarantine", "topic=keyed.servers",
	} {
		assert.Equal(t, strings.Count(log.String(), line), 1, "%s\n%s", line, log.String())
	}
	assert.Equal(t, e.report.Counters.Get("storeReturns").String(), "1")
}

// Guards against an engine that is gone from the store for good but stays in use, since the copy lacks it, too.
func TestEngineGoneInReturn(t *testing.T) {
	t.Parallel()
	store, addr := startStoreWithEra(t)
	ofCopy := store.Copy()
	store.Put(tgplatform.TopicUpstreams, "dead",
		[]byte(`{"address":"127.0.0.1:9","service":"p","zone":"a","version":"v1","coldRemainingMs":0,"slots":8,"state":"ready","born":1000,"seq":1}`))
	e, _ := startEntryOf(t, "vm-2", addr)
	waitUntil(t, "the engine", func() bool { return len(e.view.Upstreams("p")) == 1 })
	store.Return(ofCopy)
	waitUntil(t, "its end", func() bool {
		e.view.Expire(time.Now())
		return len(e.view.Upstreams("p")) == 0
	})
}

// Guards against a return that shows in no dump.
func TestEraInDump(t *testing.T) {
	t.Parallel()
	store, addr := startStoreWithEra(t)
	e, _ := startEntryOf(t, "vm-3", addr)
	waitUntil(t, "the first era", func() bool { return e.eras.State().Era == 1 })
	store.Return(store.Copy())
	waitUntil(t, "the rise", func() bool { return e.eras.State().Rises == 1 })
	assert.Equal(t, e.eras.State().Era, tgera.Era(2))
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(dumpPath)
	e.handleAdmin(&ctx)
	var dump struct {
		Store tgera.State `json:"store"`
	}
	assert.NilError(t, json.Unmarshal(ctx.Response.Body(), &dump))
	assert.Equal(t, dump.Store.Era, tgera.Era(2))
	assert.Equal(t, dump.Store.Rises, 1)
}
