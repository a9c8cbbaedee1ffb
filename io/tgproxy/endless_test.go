package tgproxy_test

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/platform/tgemulator"
)

const (
	smallestVMBytes = 184 << 20 // memory of the smallest VM that an entry runs on
	bufferBytes     = smallestVMBytes / 16
	endlessAnswers  = 200 // at the same time
)

// Guards against answers without end, of which many come at the same time, that fill the memory of the process or keep
// other callers from being served.
func TestEndlessAnswers(t *testing.T) {
	for _, tc := range []struct {
		fault tgemulator.Fault
		path  string
	}{
		{tgemulator.FaultEndlessBody, "/once/x"},
		{tgemulator.FaultEndlessEvent, "/stream/x"},
		{tgemulator.FaultEndlessGarbage, "/once/x"},
		{tgemulator.FaultEndlessHead, "/once/x"},
		{tgemulator.FaultEndlessOther, "/once/x"},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			b := newTestProxy(t, 1, withBufferBytes(bufferBytes), withMaxConnections(2*endlessAnswers), withTimeout(endTimeout))
			b.catalog.upstreams[0].Slots = 4 * endlessAnswers // admits all streams at once
			b.engines[0].SetDefaultFault(tc.fault)
			b.engines[0].Gate = make(chan struct{})
			defer debug.SetGCPercent(debug.SetGCPercent(200))                          // as the daemon does
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallestVMBytes * 9 / 20)) // the same
			waitFor(t, func() bool {                                                   // what earlier tests have left does not count
				runtime.GC()
				return memoryInUse() < 16<<20
			})
			before := memoryInUse()
			peak := watchHeap(t)
			var wg sync.WaitGroup
			for i := range endlessAnswers {
				client := b.dial(t)
				client.send(request("POST", tc.path, fmt.Sprintf("endless%d", i), "{}", streamHeader))
				wg.Go(func() { assert.Check(t, client.waitForEnd() == nil) })
				waitFor(t, func() bool { return len(b.engines[0].RequestHeaders()) == i+1 })
			}
			close(b.engines[0].Gate) // all answers begin now
			wg.Wait()
			t.Logf("heap and stacks: %d MiB before, at most %d MiB", before>>20, peak()>>20)
			assert.Assert(t, peak() < smallestVMBytes/2, "heap of %d MiB", peak()>>20)
			assert.Equal(t, len(b.engines[0].RequestHeaders()), endlessAnswers)
			waitFor(t, func() bool { return b.engines[0].OpenConnections() == 0 })
			b.engines[0].SetDefaultFault(tgemulator.FaultNone)
			waitFor(t, func() bool { // the upstream is ejected for a while
				client := b.dial(t)
				client.send(request("GET", "/twice/x", "after", ""))
				r, _, complete := client.receive()
				return complete && r.Status == 200
			})
		})
	}
}

// watchHeap starts to sample the memory in use and returns a function that returns the highest sample.
func watchHeap(t *testing.T) (peak func() uint64) {
	t.Helper()
	var mu sync.Mutex
	highest := uint64(0)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			n := memoryInUse()
			mu.Lock()
			highest = max(highest, n)
			mu.Unlock()
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return highest
	}
}

// memoryInUse returns the bytes of the heap and the stacks.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
