package tgclaim_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
)

// BenchmarkTable measures memory and elapsed time for each claimed request with a recorded answer of 200 bytes.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 30_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			for b.Loop() {
				appends := make([][]tgrecord.Record, n)
				for i := range appends {
					appends[i] = claimAndResult(b, i)
				}
				table := tgclaim.NewTable(tgclaim.MaxKeyAge)
				before, started := heapBytes(), time.Now()
				for i, records := range appends {
					if err := table.Apply(uint64(i), started, records); err != nil {
						b.Fatal(err)
					}
				}
				took := time.Since(started)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "heapB/key")
				b.ReportMetric(float64(took.Nanoseconds())/float64(n), "ns/key")
				runtime.KeepAlive(table)
				runtime.KeepAlive(appends)
			}
		})
	}
}

func claimAndResult(b *testing.B, i int) []tgrecord.Record {
	b.Helper()
	key := tgclaim.NewKey("account", "pool", strconv.Itoa(i))
	claim, err := tgrecord.New(tgrecord.KindClaim, "companion-1", 0, tgclaim.Claim{
		Digest: tgclaim.NewDigest("POST", "/", nil), Holder: "companion-1", Incarnation: uuid.New(), Key: key, KeyTime: time.Now(),
	})
	if err != nil {
		b.Fatal(err)
	}
	result, err := tgrecord.New(tgrecord.KindClaimResult, "companion-1", 0, tgclaim.Result{
		Body: make([]byte, 200), Claim: claim.ID, Head: tgframe.Head{Status: 201}, Key: key,
	})
	if err != nil {
		b.Fatal(err)
	}
	return []tgrecord.Record{claim, result}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
