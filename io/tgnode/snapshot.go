package tgnode

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
)

// snapshotInterval is the mean time from one snapshot in the log to the next. Claims need a retention of 24 h, so that
// several snapshots lie within half of it. Each reader reads 8.6 MB for each snapshot at the two-year size, 0.4 KB/s.
const snapshotInterval = 6 * time.Hour

const (
	snapshotCheck = time.Minute
	snapshotWait  = 10 * time.Second // between checks that another daemon has not written one meanwhile
)

// writeSnapshots rewrites the folded state in the log, so that the log's retention loses nothing. Only readers write;
// two that write at once do no harm.
func (n *Node) writeSnapshots(ctx context.Context) {
	due := jitter(snapshotInterval)
	for ctx.Err() == nil {
		sleep(ctx, jitter(snapshotCheck))
		if !n.snapshotDue(due) || !n.peers.Reader() {
			continue
		}
		// Readers whose jitter is alike give way to the first.
		sleep(ctx, jitter(snapshotWait))
		if !n.snapshotDue(due) || ctx.Err() != nil {
			continue
		}
		if err := n.writeSnapshot(ctx); err != nil {
			n.Log.WithError(err).Warn("snapshot was not written")
		}
		due = jitter(snapshotInterval)
	}
}

func (n *Node) snapshotDue(age time.Duration) bool {
	c := n.tracker.Confirmation(n.Applied())
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.snapshotSeen) >= age && n.state.Applied() > 0 && c != nil && c.Age < fallbackAge
}

func (n *Node) writeSnapshot(ctx context.Context) error {
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
	return nil
}

// noteSnapshots notes that e has part of a snapshot and returns e without it: peers that are behind get the folded
// state itself. The caller holds mu.
func (n *Node) noteSnapshots(e tgframe.LogEntry) tgframe.LogEntry {
	for i, r := range e.Records {
		if r.Kind != tgrecord.KindSnapshot {
			continue
		}
		n.snapshotSeen = time.Now()
		r.Body = nil
		records := append([]tgrecord.Record(nil), e.Records...)
		records[i] = r
		e.Records = records
	}
	return e
}
