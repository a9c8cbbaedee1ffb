package tgnode

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/core/tgwait"
)

const (
	meanSnapshotDelay     = 10 * time.Second // mean time for which a reader gives way to others that are due too
	snapshotCheckInterval = 5 * time.Second
	snapshotWriteTimeout  = 30 * time.Second // bound for appending all parts
)

// writeSnapshots writes the folded configuration to the log again, well before the records that it comes from
// leave the log. Only readers write; two that write at once do no harm. Each reader reads 8.6 MB for each snapshot at
// the two-year size, which is 0.4 KB/s at the default interval.
func (n *Node) writeSnapshots(ctx context.Context) {
	schedule := tgconfig.NewSnapshotSchedule(time.Now())
	for {
		tgwait.Sleep(ctx, jitter(snapshotCheckInterval))
		if ctx.Err() != nil {
			return
		}
		if !n.snapshotDue(schedule) {
			continue
		}
		tgwait.Sleep(ctx, jitter(meanSnapshotDelay))
		if ctx.Err() != nil || !n.snapshotDue(schedule) {
			continue
		}
		if err := n.writeSnapshot(ctx); err != nil {
			n.Log.WithError(err).Warn("snapshot was not written")
		}
	}
}

func (n *Node) snapshotDue(schedule tgconfig.SnapshotSchedule) bool {
	if !n.peers.IsReader() || n.Ready() != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return schedule.Due(n.state, time.Now())
}

func (n *Node) writeSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotWriteTimeout)
	defer cancel()
	n.mu.Lock()
	snapshot, err := n.state.Snapshot()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	parts, err := snapshot.Parts(uuid.New())
	if err != nil {
		return err
	}
	for _, part := range parts {
		r, err := tgrecord.New(tgrecord.KindSnapshot, n.Settings.Name, snapshot.Covered, part)
		if err != nil {
			return err
		}
		if _, err := n.configLog.Append(ctx, ConfigStream, []tgrecord.Record{r}); err != nil {
			return err
		}
	}
	n.Log.WithField("covered", snapshot.Covered).WithField("parts", len(parts)).Info("snapshot written")
	return nil
}
