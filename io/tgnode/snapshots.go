package tgnode

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
)

const (
	snapshotCheck = 5 * time.Second
	storeTimeout  = 30 * time.Second // bound for appending all parts
)

// writeSnapshots writes the folded configuration to the log again, well before the records that it comes from
// leave the log. Only daemons that read the log do it.
func (n *Node) writeSnapshots(ctx context.Context) {
	schedule := tgconfig.NewSnapshotSchedule(time.Now())
	for {
		sleep(ctx, jitter(snapshotCheck))
		if ctx.Err() != nil {
			return
		}
		if !n.peers.Reader() || n.Ready() != nil {
			continue
		}
		n.mu.Lock()
		due := schedule.Due(n.state, time.Now())
		n.mu.Unlock()
		if !due {
			continue
		}
		if err := n.writeSnapshot(ctx); err != nil {
			n.Log.WithError(err).Warn("snapshot was not written")
		}
	}
}

func (n *Node) writeSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
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
		if _, err := n.source.Append(ctx, ConfigStream, []tgrecord.Record{r}); err != nil {
			return err
		}
	}
	n.Log.WithField("covered", snapshot.Covered).WithField("parts", len(parts)).Info("snapshot written")
	return nil
}
