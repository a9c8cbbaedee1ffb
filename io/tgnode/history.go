package tgnode

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
)

// maxHistory is the number of appends kept for peers that are behind: those of 49 minutes at 15,000 changes a day. A
// peer that is further behind gets a snapshot of the state.
const maxHistory = 512

// history holds the latest appends of the configuration stream: all of those from firstOffset on.
type history struct {
	entries     []historyEntry
	firstOffset uint64
}

type historyEntry struct {
	tgframe.LogEntry
	appliedAt time.Time // when the entry was applied here; the time since then is added to its Age
}

// add appends e and evicts the oldest entry if there are more than maxHistory.
func (h *history) add(e tgframe.LogEntry) {
	h.entries = append(h.entries, historyEntry{LogEntry: e, appliedAt: time.Now()})
	if extra := len(h.entries) - maxHistory; extra > 0 {
		h.firstOffset = h.entries[extra-1].Offset + 1
		h.entries = append([]historyEntry(nil), h.entries[extra:]...)
	}
}

// reset empties the history; the entries added later must be complete from offset from on.
func (h *history) reset(from uint64) { h.entries, h.firstOffset = nil, from }

// entriesFrom returns up to limit entries from offset from on, or false if the history does not go back to from.
func (h *history) entriesFrom(from uint64, limit int) ([]tgframe.LogEntry, bool) {
	if from < h.firstOffset {
		return nil, false
	}
	var entries []tgframe.LogEntry
	for _, e := range h.entries {
		if e.Offset >= from && len(entries) < limit {
			entry := e.LogEntry
			entry.Age += time.Since(e.appliedAt)
			entries = append(entries, entry)
		}
	}
	return entries, true
}

// withoutSnapshots returns e with the data of snapshot parts removed. A peer that is behind has to know that the log
// has a snapshot, but gets the content as changes. At the configuration size expected in two years, passing the
// data on would cost every daemon 8.6 MB for each snapshot.
func withoutSnapshots(e tgframe.LogEntry) tgframe.LogEntry {
	for i, r := range e.Records {
		if r.Kind != tgrecord.KindSnapshot {
			continue
		}
		part, err := tgrecord.Decode[tgconfig.SnapshotPart](r)
		if err != nil {
			continue
		}
		part.Data = nil
		body, err := cbor.Marshal(part)
		if err != nil {
			continue
		}
		e.Records = slices.Clone(e.Records)
		e.Records[i].Body = body
	}
	return e
}
