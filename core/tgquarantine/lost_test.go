package tgquarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tglogtable"
)

// Guards against records of deadly parts, and releases of operators, that the store loses in a return from an older copy and
// nobody writes again, and against all entries that write them for ever.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	record := func(part string) tglogtable.Record {
		value, err := recordEncoding.Marshal(Record{
			Companions: []string{part}, CrashIDs: []string{"vm/1", "vm/2"}, LastCrash: now, Strikes: 2, Until: now.Add(time.Hour),
		})
		assert.NilError(t, err)
		return tglogtable.Record{Key: part, Value: value}
	}
	table := NewTable("vm")
	stored := []tglogtable.Record{record("dead"), record("released"), {Key: "released"}}
	for _, r := range stored {
		assert.Equal(t, len(table.ApplySaved([]tglogtable.Record{r}, now)), 0)
	}
	unsaved := func(at time.Time) []tglogtable.Record {
		records, err := table.Unsaved(at)
		assert.NilError(t, err)
		return records
	}
	assert.DeepEqual(t, unsaved(now.Add(time.Minute)), []tglogtable.Record(nil))
	changed := table.Watch()
	table.NoteLost([]tglogtable.Record{stored[0], stored[2]}, now)
	<-changed
	records := unsaved(now.Add(peerSaveSpread))
	assert.Equal(t, len(records), 2)
	for _, r := range records {
		assert.Equal(t, len(r.Value) > 0, r.Key == "dead", r.Key)
		assert.Equal(t, len(table.ApplySaved([]tglogtable.Record{r}, now)), 0) // this or another entry has written it
	}
	assert.Equal(t, len(unsaved(now.Add(time.Minute))), 0)
	assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, VerdictRefuse)
	assert.Equal(t, table.Decide([]string{"released"}, now).Verdict, VerdictSend)
}
