package tgnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
)

// TestRestartAfterRetention guards against an accepted configuration that is lost when its records leave the log and
// every process restarts, and against a log that fills up with snapshots because all daemons write them.
func TestRestartAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, "a1", "a2", "b1")
		defer func() { c.stop(c.names...) }()
		c.publish(1, snapshotIntervalChange(t, time.Minute))
		c.publish(1, withdrawalChange(t, "a2"))
		time.Sleep(10 * time.Minute)

		before := c.nodes[c.names[0]].Node
		before.mu.Lock()
		stored, applied := before.state.LatestSnapshot(), before.state.Applied()
		before.mu.Unlock()
		assert.Assert(t, stored.Covered > 2, "no snapshot covers the changes")
		assert.Assert(t, applied < 60, "%d appends in 10 minutes", applied) // 10 snapshots, some of them by several daemons
		c.stop(c.names...)
		c.log.Truncate(ConfigStream, stored.Covered)
		for _, name := range c.names {
			c.start(name, 0)
		}
		_, ok := c.waitFor(propagationBound, c.names, func(n *Node) bool { return n.Ready() == nil })
		assert.Assert(t, ok, "not all daemons are ready after the restart")
		for _, name := range c.names {
			cfg := c.nodes[name].Config()
			assert.Equal(t, cfg.DataCentres["a2"].State, tgconfig.Withdrawn)
			assert.Equal(t, cfg.Settings.SnapshotInterval, time.Minute)
			assert.Equal(t, len(cfg.Upstreams), len(c.names))
		}
	})
}

// snapshotIntervalChange returns a change that sets the snapshot interval.
func snapshotIntervalChange(t *testing.T, interval time.Duration) tgconfig.Change {
	t.Helper()
	settings := tgconfig.DefaultSettings()
	settings.SnapshotInterval = interval
	raw, err := cbor.Marshal(settings)
	assert.NilError(t, err)
	return tgconfig.Change{Entities: []tgconfig.EntityChange{{
		Entity: tgconfig.Entity{Kind: tgconfig.EntitySettings}, Value: raw,
	}}}
}
