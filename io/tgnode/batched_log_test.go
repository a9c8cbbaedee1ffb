package tgnode

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgstandin"
)

// TestBatchedAppends guards against one append for each daemon's record, which would use up the capacity of the log,
// and against records that are lost because the log writer cannot be reached or cannot reach the log.
func TestBatchedAppends(t *testing.T) {
	const stream = "claims-p"
	for _, row := range []struct {
		name       string
		cut        func(writer string) func(from, to string) bool
		maxAppends int // appends for 200 records within a second
	}{
		{"healthy", func(string) func(from, to string) bool { return noneCut }, 15},
		{"writer cannot reach the log", func(w string) func(from, to string) bool {
			return func(from, to string) bool { return from == w && to == "log" }
		}, 200},
		{"writer cannot be reached", func(w string) func(from, to string) bool {
			return func(from, to string) bool { return from == w || to == w }
		}, 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 9, 10, "a1")
				defer c.stop(c.names...)
				time.Sleep(settleTime)
				writer, _ := c.nodes[c.names[0]].peers.Writer()
				c.impair(0, 0, row.cut(writer.Name))
				before := c.log.Appends()
				want := map[uuid.UUID]bool{}
				var wg sync.WaitGroup
				for i := range 200 {
					r, err := tgrecord.New(tgrecord.KindClaimRelease, "test", 0, i)
					assert.NilError(t, err)
					name := c.names[i%len(c.names)]
					if name == writer.Name && row.name != "healthy" {
						continue
					}
					want[r.ID] = true
					wg.Go(func() {
						time.Sleep(time.Duration(i) * 5 * time.Millisecond)
						_, err := c.nodes[name].BatchedLog().Append(context.Background(), stream, []tgrecord.Record{r})
						assert.Check(t, err)
					})
				}
				wg.Wait()
				appends := c.log.Appends() - before
				assert.Assert(t, appends <= row.maxAppends, "%d appends", appends)
				page, err := tgstandin.DirectLog{Log: c.log}.Read(t.Context(), stream, 0, 0)
				assert.NilError(t, err)
				for _, e := range page.Entries {
					for _, r := range e.Records {
						delete(want, r.ID)
					}
				}
				assert.Equal(t, len(want), 0)
			})
		})
	}
}
