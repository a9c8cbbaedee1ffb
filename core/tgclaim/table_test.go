package tgclaim_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgrecord"
)

func newRecord(t *testing.T, kind tgrecord.Kind, id uuid.UUID, body any) tgrecord.Record {
	t.Helper()
	r, err := tgrecord.New(kind, "test", 0, body)
	assert.NilError(t, err)
	if id != uuid.Nil {
		r.ID = id
	}
	return r
}

// Guards against a claim that wins although it was released, a key that two claims hold, and an answer recorded by the
// holder of another claim.
func TestTableOrder(t *testing.T) {
	now := time.Now()
	key := tgclaim.NewKey("account", "pool", "key")
	first, second := uuid.Must(uuid.NewV7()), uuid.Must(uuid.NewV7())
	claim := func(id uuid.UUID) tgrecord.Record {
		return newRecord(t, tgrecord.KindClaim, id, tgclaim.Claim{Key: key, KeyTime: now})
	}
	release := func(id uuid.UUID) tgrecord.Record {
		return newRecord(t, tgrecord.KindClaimRelease, uuid.Nil, tgclaim.Release{Claim: id, Key: key})
	}
	result := func(id uuid.UUID) tgrecord.Record {
		return newRecord(t, tgrecord.KindClaimResult, uuid.Nil, tgclaim.Result{Claim: id, Key: key})
	}
	for _, tc := range []struct {
		name     string
		records  []tgrecord.Record // one append each
		recorded bool
		want     uuid.UUID // claim that holds the key
	}{
		{name: "firstWins", records: []tgrecord.Record{claim(first), claim(second)}, want: first},
		{name: "releaseBeforeClaim", records: []tgrecord.Record{release(first), claim(first), claim(second)}, want: second},
		{name: "releaseFreesKey", records: []tgrecord.Record{claim(first), release(first), claim(second)}, want: second},
		{name: "releaseOfAnother", records: []tgrecord.Record{claim(first), release(second)}, want: first},
		{name: "releaseThenRepeatedClaim", records: []tgrecord.Record{claim(first), release(first), claim(first)}, want: uuid.Nil},
		{name: "resultOfAnother", records: []tgrecord.Record{claim(first), result(second)}, want: first},
		{name: "resultThenRelease", records: []tgrecord.Record{claim(first), result(first), release(first)}, recorded: true, want: first},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := tgclaim.NewTable(tgclaim.MaxKeyAge)
			for i, r := range tc.records {
				assert.NilError(t, table.Apply(uint64(i), now, []tgrecord.Record{r}))
			}
			e, _, _ := table.Lookup(key, uuid.Nil)
			assert.Equal(t, e.ID, tc.want)
			assert.Equal(t, e.Recorded, tc.recorded)
		})
	}
}

// Guards against a key being accepted whose earlier claim may have been dropped from the log or evicted from the table.
func TestTableHasCompleteHistory(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name  string
		first time.Duration // age of the first record after a gap; 0 for no gap
		key   time.Duration // age of the key
		want  bool
	}{
		{name: "afterGap", first: time.Hour, key: 50 * time.Minute, want: true},
		{name: "beforeGap", first: time.Hour, key: 2 * time.Hour},
		{name: "fresh", key: time.Second, want: true},
		{name: "tooOld", key: 25 * time.Hour},
		{name: "withinSkewOfGap", first: time.Hour, key: 58 * time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := tgclaim.NewTable(tgclaim.MaxKeyAge)
			if tc.first > 0 {
				table.RecordGap()
				assert.NilError(t, table.Apply(5, now.Add(-tc.first), nil))
			}
			assert.Equal(t, table.HasCompleteHistory(now.Add(-tc.key), now), tc.want)
		})
	}
}
