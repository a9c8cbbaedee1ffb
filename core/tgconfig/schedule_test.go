package tgconfig_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
)

// Guards against a snapshot that the log deletes before the next one is written, and against an incomplete snapshot that
// counts as complete because one of its appends was repeated.
func TestSnapshotSchedule(t *testing.T) {
	state := tgconfig.NewState()
	state.Apply(0, []tgrecord.Record{record(t, 0, dataCentreChange("a", tgconfig.Active))})
	interval := state.Config().Settings.SnapshotInterval
	now := time.Now()
	schedule := tgconfig.NewSnapshotSchedule(now)
	part := func(index, total int, id uuid.UUID) tgrecord.Record {
		r, err := tgrecord.New(tgrecord.KindSnapshot, "test", 1, tgconfig.SnapshotPart{
			Covered: 1, Index: index, Snapshot: id, Total: total,
		})
		assert.NilError(t, err)
		return r
	}
	broken, whole := uuid.New(), uuid.New()
	for _, tc := range []struct {
		name    string
		records []tgrecord.Record
		after   time.Duration
		want    bool
	}{
		{name: "fresh", after: interval / 2},
		{name: "neverWritten", after: 2*interval + time.Minute, want: true},
		{name: "repeatedPart", records: []tgrecord.Record{part(0, 2, broken), part(0, 2, broken)}, after: 2*interval + time.Minute, want: true},
		{name: "written", records: []tgrecord.Record{part(1, 2, whole), part(0, 2, whole)}, after: interval / 2},
		{name: "writtenLongAgo", after: 2*interval + time.Minute, want: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.records != nil {
				state.Apply(state.Applied(), tc.records)
			}
			assert.Equal(t, schedule.Due(state, now.Add(tc.after)), tc.want)
		})
	}
	assert.Equal(t, state.LatestSnapshot().Covered, uint64(1))
}
