package tgconfig_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
)

func dataCentreChange(name string, state tgconfig.CapacityState) tgconfig.Change {
	raw, err := cbor.Marshal(tgconfig.DataCentre{Region: "bkk", State: state})
	if err != nil {
		panic(err)
	}
	return tgconfig.Change{Entities: []tgconfig.EntityChange{{
		Entity: tgconfig.Entity{Kind: tgconfig.EntityDataCentre, Name: name}, Value: raw,
	}}}
}

func record(t interface{ Fatal(...any) }, base uint64, change tgconfig.Change) tgrecord.Record {
	r, err := tgrecord.New(tgrecord.KindConfigChange, "test", base, change)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against the acceptance of two conflicting changes, and against a repeated append that takes effect twice.
func TestStateVerdicts(t *testing.T) {
	first := record(t, 0, dataCentreChange("a", tgconfig.Active))
	for _, tc := range []struct {
		name    string
		records []tgrecord.Record // one append each
		want    []tgconfig.Verdict
	}{
		{
			name:    "baseAfterChange",
			records: []tgrecord.Record{record(t, 7, dataCentreChange("a", tgconfig.Active))},
			want:    []tgconfig.Verdict{tgconfig.Invalid},
		},
		{
			name: "conflict",
			records: []tgrecord.Record{
				first, record(t, 1, dataCentreChange("a", tgconfig.Withdrawn)), record(t, 1, dataCentreChange("a", tgconfig.Active)),
			},
			want: []tgconfig.Verdict{tgconfig.Accepted, tgconfig.Accepted, tgconfig.Conflict},
		},
		{
			name:    "otherEntity",
			records: []tgrecord.Record{first, record(t, 0, dataCentreChange("b", tgconfig.Active))},
			want:    []tgconfig.Verdict{tgconfig.Accepted, tgconfig.Accepted},
		},
		{
			name:    "repeatedID",
			records: []tgrecord.Record{first, first},
			want:    []tgconfig.Verdict{tgconfig.Accepted, tgconfig.Ignored},
		},
		{
			name: "undecodable",
			records: []tgrecord.Record{{
				Body: cbor.RawMessage{0x01}, ID: uuid.New(), Kind: tgrecord.KindConfigChange,
			}},
			want: []tgconfig.Verdict{tgconfig.Invalid},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := tgconfig.NewState()
			var got []tgconfig.Verdict
			for i, r := range tc.records {
				for _, d := range s.Apply(uint64(i), []tgrecord.Record{r}) {
					got = append(got, d.Verdict)
				}
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against a daemon that starts from a snapshot and reaches another configuration than one that read every record,
// also when appends are repeated, bases are old and records leave the history window.
func TestSnapshotReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := tgconfig.NewState()
		var late *tgconfig.State
		cut := rapid.IntRange(0, 30).Draw(t, "cut")
		past := make([]tgrecord.Record, 0, 40)
		offset := uint64(0)
		for i := range 40 {
			if i == cut {
				late = reloadFromParts(t, full)
			}
			offset += uint64(rapid.SampledFrom([]int{1, 1, 1, tgconfig.HistoryWindow / 3}).Draw(t, "gap"))
			r := record(t, uint64(rapid.IntRange(0, int(offset)).Draw(t, "base")), dataCentreChange(
				fmt.Sprintf("dc-%d", rapid.IntRange(0, 3).Draw(t, "entity")),
				rapid.SampledFrom([]tgconfig.CapacityState{tgconfig.Active, tgconfig.Withdrawn}).Draw(t, "state"),
			))
			if len(past) > 0 && rapid.Bool().Draw(t, "repeat") {
				r = rapid.SampledFrom(past).Draw(t, "which")
			}
			past = append(past, r)
			want := full.Apply(offset, []tgrecord.Record{r})
			if late != nil {
				assert.DeepEqual(t, late.Apply(offset, []tgrecord.Record{r}), want)
			}
		}
		assert.DeepEqual(t, late.Config(), full.Config())
		assert.Equal(t, late.Applied(), full.Applied())
	})
}

// reloadFromParts encodes s as snapshot records and loads it from them in reverse order.
func reloadFromParts(t *rapid.T, s *tgconfig.State) *tgconfig.State {
	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	parts, err := snapshot.Parts(uuid.New())
	assert.NilError(t, err)
	var a tgconfig.SnapshotAssembler
	for i := len(parts) - 1; i >= 0; i-- {
		r, err := tgrecord.New(tgrecord.KindSnapshot, "test", s.Applied(), parts[i])
		assert.NilError(t, err)
		loaded, complete, err := a.Add(r)
		assert.NilError(t, err)
		assert.Equal(t, complete, i == 0)
		if complete {
			state, err := tgconfig.NewStateFromSnapshot(loaded)
			assert.NilError(t, err)
			return state
		}
	}
	t.Fatal("snapshot is not complete")
	return nil
}
