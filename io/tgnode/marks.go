package tgnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgmark"
	"tanagergrade/core/tgrecord"
	"tanagergrade/core/tgsleep"
)

const (
	markWriteInterval  = 2 * time.Second  // mean time between attempts to write the marks to the log
	nonReaderMarkDelay = 10 * time.Second // time after which non-readers write marks that no reader has written to the log
)

// AddMark adds a volatile mark from an operator and pushes it to peers. If its ID is nil, it gets a new one. If its
// base is 0, it is based on the configuration that this process has applied.
func (n *Node) AddMark(m tgframe.Mark) error {
	if m.ID == uuid.Nil {
		m.ID = uuid.New()
	}
	if m.Base == 0 {
		m.Base = n.Applied()
	}
	if _, err := tgmark.NewRecord(m, n.Config(), n.Settings.Name); err != nil {
		return err
	}
	n.mu.Lock()
	added := n.marks.Merge([]tgframe.Mark{m}, n.state)
	n.mu.Unlock()
	if !added {
		return errors.Newf("mark %s on %q is known, or the configuration has changed since offset %d",
			m.ID, m.Name, m.Base)
	}
	n.updateRemoved()
	n.signalPush()
	return nil
}

// writeMarks writes the marks to the log as soon as the log is available again, which a recent confirmation shows.
// Several daemons may write the same mark, since readers of the log ignore a repeated ID.
func (n *Node) writeMarks(ctx context.Context) {
	var writableSince time.Time
	for ctx.Err() == nil {
		tgsleep.Sleep(ctx, jitter(markWriteInterval))
		marks := n.marks.Marks()
		c := n.tracker.Confirmation(n.Applied())
		if len(marks) == 0 || c == nil || c.Age > markWriteInterval*2 {
			writableSince = time.Time{}
			continue
		}
		if writableSince.IsZero() {
			writableSince = time.Now()
		}
		if n.peers.IsReader() || time.Since(writableSince) > nonReaderMarkDelay {
			n.appendMarks(ctx, marks)
		}
	}
}

func (n *Node) appendMarks(ctx context.Context, marks []tgframe.Mark) {
	records := make([]tgrecord.Record, 0, len(marks))
	for _, m := range marks {
		r, err := tgmark.NewRecord(m, n.Config(), n.Settings.Name)
		if err != nil {
			n.Log.WithError(err).WithField("mark", m.ID).Warn("could not build the log record of a mark")
			continue
		}
		records = append(records, r)
	}
	if len(records) == 0 {
		return
	}
	if _, err := n.configLog.Append(ctx, ConfigStream, records); err != nil {
		n.Log.WithError(err).Debug("could not append marks to the log")
	}
}
