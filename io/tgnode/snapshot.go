package tgnode

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/core/tgsleep"
)

const (
	meanSnapshotDelay     = 10 * time.Second // from due to written, so that another reader can write the snapshot first
	snapshotCheckInterval = 5 * time.Second
	snapshotWriteTimeout  = 30 * time.Second // bound for appending all parts
)

// writeSnapshots writes snapshots of the configuration state to the log, well before the records that the state comes
// from leave the log's retention. Only readers write; two that write at once do no harm. At the configuration size
// expected in two years, each reader reads 8.6 MB for each snapshot, which is 0.4 KB/s at the default interval.
func (n *Node) writeSnapshots(ctx context.Context) {
	schedule := tgconfig.NewSnapshotSchedule(time.Now())
	for {
		tgsleep.Sleep(ctx, jitter(snapshotCheckInterval))
		if ctx.Err() != nil {
			return
		}
		if !n.snapshotDue(schedule) {
			continue
		}
		tgsleep.Sleep(ctx, jitter(meanSnapshotDelay))
		if ctx.Err() != nil || !n.snapshotDue(schedule) {
			continue
		}
		if err := n.writeSnapshot(ctx); err != nil {
			n.Log.WithError(err).Warn("could not write the configuration snapshot to the log")
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
	n.Log.WithField("covered", snapshot.Covered).WithField("parts", len(parts)).Info("configuration snapshot written")
	return nil
}
