package tgnode

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tggossip"
	"tanagergrade/core/tgmember"
	"tanagergrade/core/tgrecord"
)

// newStateOfSize returns a state with the given numbers of accounts and upstreams.
func newStateOfSize(tb testing.TB, accounts, upstreams int) *tgconfig.State {
	tb.Helper()
	cfg := *tgconfig.NewState().Config()
	cfg.Accounts, cfg.DataCentres = map[string]tgconfig.Account{}, map[string]tgconfig.DataCentre{}
	cfg.Pools, cfg.Upstreams = map[string]tgconfig.Pool{}, map[string]tgconfig.Upstream{}
	for i := range accounts {
		cfg.Accounts[fmt.Sprintf("account-%06d", i)] = tgconfig.Account{
			KeyHash: fmt.Sprintf("%064x", i+1), Priority: "standard", Share: 1,
		}
	}
	for i := range 7 {
		cfg.DataCentres[fmt.Sprintf("dc-%d", i)] = tgconfig.DataCentre{
			Region: fmt.Sprintf("region-%d", i%3), State: tgconfig.Active,
		}
	}
	for i := range 18 {
		name := fmt.Sprintf("pool-%d", i)
		cfg.Pools[name] = tgconfig.Pool{Kind: tgconfig.ModelPool, Models: []string{fmt.Sprintf("model-%d", i)}}
	}
	for i := range upstreams {
		ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		cfg.Upstreams[fmt.Sprintf("upstream-%05d", i)] = tgconfig.Upstream{
			Address: netip.AddrPortFrom(ip, 8000), Companion: netip.AddrPortFrom(ip, 8001),
			DataCentre: fmt.Sprintf("dc-%d", i%7), Pool: fmt.Sprintf("pool-%d", i%18), State: tgconfig.Active,
		}
	}
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), &cfg)
	assert.NilError(tb, err)
	s := tgconfig.NewState()
	d := s.Apply(0, []tgrecord.Record{configChange(tb, 0, change)})
	assert.Equal(tb, d[0].Verdict, tgconfig.Accepted, d[0].Reason)
	return s
}

func configChange(tb testing.TB, base uint64, change tgconfig.Change) tgrecord.Record {
	tb.Helper()
	r, err := tgrecord.New(tgrecord.KindConfigChange, "test", base, change)
	assert.NilError(tb, err)
	return r
}

// singleEntityChange returns a change of one account or one upstream of s.
func singleEntityChange(tb testing.TB, s *tgconfig.State, kind tgconfig.EntityKind) tgconfig.Change {
	tb.Helper()
	name, value := "account-000000", any(s.Config().Accounts["account-000000"])
	if kind == tgconfig.EntityUpstream {
		name, value = "upstream-00000", s.Config().Upstreams["upstream-00000"]
	}
	raw, err := cbor.Marshal(value)
	assert.NilError(tb, err)
	return tgconfig.Change{Entities: []tgconfig.EntityChange{{Entity: tgconfig.Entity{Kind: kind, Name: name}, Value: raw}}}
}

var stateSizes = []struct{ accounts, upstreams int }{
	{1000, 100}, {3000, 100}, {10000, 100}, {36000, 100}, {1000, 300}, {1000, 1000}, {1000, 6700}, {36000, 6700},
}

// BenchmarkApply measures the processor time to apply one change of one entity.
func BenchmarkApply(b *testing.B) {
	for _, kind := range []tgconfig.EntityKind{tgconfig.EntityAccount, tgconfig.EntityUpstream} {
		for _, size := range stateSizes {
			b.Run(fmt.Sprintf("%s/accounts=%d/upstreams=%d", kind, size.accounts, size.upstreams), func(b *testing.B) {
				s := newStateOfSize(b, size.accounts, size.upstreams)
				change := singleEntityChange(b, s, kind)
				b.ReportAllocs()
				for b.Loop() {
					d := s.Apply(s.Applied(), []tgrecord.Record{configChange(b, s.Applied(), change)})
					if d[0].Verdict != tgconfig.Accepted {
						b.Fatal(d[0].Reason)
					}
				}
			})
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkState measures the memory of the configuration state, the size of its snapshot and the time to encode and
// restore it.
func BenchmarkState(b *testing.B) {
	for _, size := range stateSizes {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", size.accounts, size.upstreams), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := newStateOfSize(b, size.accounts, size.upstreams)
				b.ReportMetric(heapBytes()-before, "heap-B")
				started := time.Now()
				snapshot, err := s.Snapshot()
				assert.NilError(b, err)
				data, err := cbor.Marshal(snapshot)
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data)), "encoded-B")
				b.ReportMetric(time.Since(started).Seconds()*1000, "encode-ms")
				started = time.Now()
				var decoded tgconfig.Snapshot
				assert.NilError(b, cbor.Unmarshal(data, &decoded))
				restored, err := tgconfig.NewStateFromSnapshot(decoded)
				assert.NilError(b, err)
				b.ReportMetric(time.Since(started).Seconds()*1000, "restore-ms")
				assert.Equal(b, restored.Applied(), s.Applied())
				runtime.KeepAlive(s)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkWindow measures the memory of the change IDs and offsets that a state remembers.
func BenchmarkWindow(b *testing.B) {
	for _, records := range []int{1000, 5000, 10000, tgconfig.HistoryWindow} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			for b.Loop() {
				s := newStateOfSize(b, 100, 100)
				change := singleEntityChange(b, s, tgconfig.EntityAccount)
				before := heapBytes()
				for range records {
					r := configChange(b, s.Applied(), change)
					r.ID = uuid.New()
					s.Apply(s.Applied(), []tgrecord.Record{r})
				}
				b.ReportMetric(heapBytes()-before, "heap-B")
				runtime.KeepAlive(s)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkMembers measures the memory of the member table and the peers of one daemon.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{100, 300, 1057, 3000, 10000} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				members := tgmember.NewTable(tgframe.Member{DataCentre: "dc-0", Name: "self"})
				peers := tggossip.NewPeers(members.Self())
				for i := range size {
					ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
					name := fmt.Sprintf("companion-upstream-%05d", i)
					members.Observe(tgframe.Member{Address: netip.AddrPortFrom(ip, 8001), DataCentre: "dc-0", Name: name})
				}
				peers.Update(members.Peers())
				b.ReportMetric(heapBytes()-before, "heap-B")
				runtime.KeepAlive(members)
				runtime.KeepAlive(peers)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
