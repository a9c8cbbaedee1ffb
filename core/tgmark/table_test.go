package tgmark

import (
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
)

// newState returns a configuration with the active data centre "a", written at offset 0.
func newState(t *testing.T) *tgconfig.State {
	t.Helper()
	to := *tgconfig.NewState().Config()
	to.DataCentres = map[string]tgconfig.DataCentre{"a": {Region: "r", State: tgconfig.Active}}
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), &to)
	assert.NilError(t, err)
	r, err := tgrecord.New(tgrecord.KindConfigChange, "test", 0, change)
	assert.NilError(t, err)
	s := tgconfig.NewState()
	assert.Equal(t, s.Apply(0, []tgrecord.Record{r})[0].Verdict, tgconfig.Accepted)
	return s
}

// Guards against a mark that overrides an accepted change, and against one that returns from a peer or is applied a second
// time after the log has decided it.
func TestMarkLifecycle(t *testing.T) {
	s := newState(t)
	table := NewTable()
	mark := tgframe.Mark{Base: s.Applied(), ID: uuid.New(), Kind: tgframe.MarkWithdraw, Name: "a"}
	old := tgframe.Mark{Base: 0, ID: uuid.New(), Kind: tgframe.MarkWithdraw, Name: "a"}
	assert.Assert(t, !table.Merge([]tgframe.Mark{old}, s), "a mark older than the accepted change is added")
	assert.Assert(t, table.Merge([]tgframe.Mark{mark}, s))
	assert.Assert(t, !table.Merge([]tgframe.Mark{mark}, s), "a repeated mark counts as new")
	assert.Assert(t, table.Has(tgframe.MarkWithdraw, "a") && table.Digest() != 0)

	r, err := NewRecord(mark, s.Config(), "test")
	assert.NilError(t, err)
	assert.Equal(t, s.Apply(1, []tgrecord.Record{r})[0].Verdict, tgconfig.Accepted)
	assert.Equal(t, s.Config().DataCentres["a"], tgconfig.DataCentre{Region: "r", State: tgconfig.Withdrawn})
	assert.Equal(t, s.Apply(2, []tgrecord.Record{r})[0].Verdict, tgconfig.Ignored, "a mark written twice is applied twice")
	assert.Equal(t, len(table.Prune(s)), 1)
	assert.Assert(t, !table.Merge([]tgframe.Mark{mark}, s), "a decided mark returns from a peer that is behind")
	assert.Equal(t, table.Digest(), uint64(0))
}
