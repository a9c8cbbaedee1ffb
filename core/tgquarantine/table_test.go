package tgquarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// step is one event of an entry.
type step func(t *Table, now time.Time)

func crashed(upstream string, parts ...string) step {
	return func(t *Table, now time.Time) { t.RecordCrash(upstream, parts, ProgressNone, now) }
}

func answered(parts ...string) step {
	return func(t *Table, now time.Time) { t.Answered(parts, now) }
}

// Guards against sound requests that are refused because they share parts with requests at a crash, and against deadly
// parts that are sent to a third upstream.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		steps []step // one second after another, unless they are of one burst
		burst bool
		want  map[string]Verdict // by parts, separated by a space
	}{
		"alternating": {
			steps: []step{answered("a"), crashed("u1", "a", "dead"), answered("a"), crashed("u2", "a", "dead")},
			want:  map[string]Verdict{"a": VerdictTry, "a dead": VerdictRefuse, "b dead": VerdictRefuse, "b": VerdictSend},
		},
		"clearedBetween": {
			steps: []step{crashed("u1", "a"), answered("a"), crashed("u2", "a")},
			want:  map[string]Verdict{"a": VerdictTry},
		},
		"bothUnknown": {
			steps: []step{crashed("u1", "a", "dead"), crashed("u2", "a", "dead")},
			want:  map[string]Verdict{"a": VerdictTry, "a dead": VerdictRefuse, "dead": VerdictTry},
		},
		"bothUnknownOneCleared": {
			steps: []step{crashed("u1", "a", "dead"), crashed("u2", "a", "dead"), answered("a")},
			want:  map[string]Verdict{"a": VerdictSend, "a dead": VerdictRefuse, "dead": VerdictRefuse},
		},
		"herd": {
			burst: true,
			steps: []step{crashed("u1", "a"), crashed("u2", "a"), crashed("u3", "b"), crashed("u4")},
			want:  map[string]Verdict{"a": VerdictTry, "b": VerdictTry},
		},
		"once": {
			steps: []step{crashed("u1", "a")},
			want:  map[string]Verdict{"a": VerdictTry, "b": VerdictSend},
		},
		"sameCrashTwice": {
			burst: true,
			steps: []step{crashed("u1", "a"), crashed("u1", "a")},
			want:  map[string]Verdict{"a": VerdictTry},
		},
		"twoAtOnce": {
			burst: true,
			steps: []step{answered("a"), crashed("u1", "a", "dead"), crashed("u2", "b", "dead")},
			want:  map[string]Verdict{"a": VerdictTry, "b": VerdictTry, "dead": VerdictRefuse},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable("vm"), time.Now()
			for _, s := range c.steps {
				if s(table, now); !c.burst {
					now = now.Add(time.Second)
				} else {
					now = now.Add(10 * time.Millisecond)
				}
			}
			for parts, want := range c.want {
				assert.Check(t, table.Decide(splitParts(parts), now).Verdict == want, "%s: %+v", parts, table.Decide(splitParts(parts), now))
			}
		})
	}
}

// Guards against a part that stays refused for ever, and against one that had been sound and is refused for long after two
// crashes that it met by chance.
func TestQuarantineEnds(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		want  time.Duration
	}{
		"known":   {known: true, want: firstRetrial},
		"unknown": {want: quarantineTime},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable("vm"), time.Now()
			if c.known {
				table.Answered([]string{"a"}, now)
			}
			table.RecordCrash("u1", []string{"a"}, ProgressNone, now)
			now = now.Add(5 * time.Second)
			table.RecordCrash("u2", []string{"a"}, ProgressNone, now)
			d := table.Decide([]string{"a"}, now)
			assert.Equal(t, d.Verdict, VerdictRefuse)
			assert.Equal(t, d.RetryAfter, c.want)
			now = now.Add(c.want)
			assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictTry)
			table.Answered([]string{"a"}, now)
			assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictSend)
		})
	}
}

// Guards against two requests with the same suspect part at upstreams at one time, which may crash both.
func TestOneTrialAtATime(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"a", "b"}, ProgressNone, now)
	first := table.Claim([]string{"a", "x"}, now)
	assert.Assert(t, first != nil)
	assert.Assert(t, table.Claim([]string{"a"}, now) == nil)
	assert.Equal(t, table.Decide([]string{"a", "b"}, now).Verdict, VerdictWait)
	second := table.Claim([]string{"b"}, now)
	assert.Assert(t, second != nil)
	assert.Assert(t, first.Confirm(now))
	first.End()
	assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictTry)
	assert.Equal(t, table.Decide([]string{"b"}, now).Verdict, VerdictWait)
	now = now.Add(pendingClaimTime)
	assert.Equal(t, table.Decide([]string{"b"}, now).Verdict, VerdictTry)
}

// Guards against a trial that is sent although its part was quarantined after the claim.
func TestQuarantineEndsTrial(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"dead"}, ProgressNone, now)
	trial := table.Claim([]string{"dead"}, now)
	table.RecordCrash("u2", []string{"dead"}, ProgressNone, now)
	assert.Assert(t, !trial.Confirm(now))
}

// Guards against two trials at one upstream, whose crash would not tell which of them is to blame.
func TestTrialsAreAtDifferentUpstreams(t *testing.T) {
	e, now := newEntries(2), time.Now()
	e[0].RecordCrash("u1", []string{"a"}, ProgressNone, now)
	e.exchange(now)
	trial := e[0].Claim([]string{"a"}, now)
	assert.Assert(t, trial.Confirm(now))
	trial.SetUpstream("u2")
	e.exchange(now)
	for _, table := range e {
		assert.Assert(t, table.TrialUpstreams(now)["u2"])
	}
	trial.End()
	e.exchange(now)
	for _, table := range e {
		assert.Equal(t, len(table.TrialUpstreams(now)), 0)
	}
}

// entries are tables that exchange their notices.
type entries []*Table

func newEntries(n int) entries {
	e := make(entries, 0, n)
	for i := range n {
		e = append(e, NewTable(fmt.Sprintf("vm%d", i)))
	}
	return e
}

// exchange sends all outgoing notices until there are none.
func (e entries) exchange(now time.Time) {
	for sent := true; sent; {
		sent = false
		for i, from := range e {
			n := from.Outgoing(now)
			if n == nil {
				continue
			}
			sent = true
			for j, to := range e {
				if i != j {
					to.Merge(n, now)
				}
			}
		}
	}
}

// Guards against a part that crashes two upstreams for each entry, and against trials of it at two entries at once.
func TestEntriesShareEvidence(t *testing.T) {
	e, now := newEntries(3), time.Now()
	e[2].Answered([]string{"a"}, now)
	e[0].RecordCrash("u1", []string{"a", "dead"}, ProgressNone, now)
	e.exchange(now)
	for _, table := range e {
		assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, VerdictTry)
	}
	now = now.Add(time.Second)
	late := e[1].Claim([]string{"dead"}, now)
	early := e[0].Claim([]string{"dead"}, now)
	e.exchange(now)
	assert.Assert(t, early.Confirm(now))
	assert.Assert(t, !late.Confirm(now))
	e.exchange(now)
	assert.Equal(t, e[2].Decide([]string{"dead"}, now).Verdict, VerdictWait)
	e[0].RecordCrash("u2", []string{"a", "dead"}, ProgressNone, now)
	early.End()
	e.exchange(now)
	for _, table := range e {
		assert.Equal(t, table.Decide([]string{"b", "dead"}, now).Verdict, VerdictRefuse)
		assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictTry, "known at one entry")
	}
	e[1].Answered([]string{"a"}, now.Add(time.Millisecond))
	e.exchange(now.Add(time.Millisecond))
	assert.Equal(t, e[0].Decide([]string{"a"}, now).Verdict, VerdictSend)
}

// Guards against crashes that count twice because an entry whose VM was suspended reports them with ages that are too low.
func TestSuspendedEntryRepeatsItsCrashes(t *testing.T) {
	e, now := newEntries(2), time.Now()
	e[0].RecordCrash("u1", []string{"a"}, ProgressNone, now)
	e.exchange(now)
	const suspended = 5 * time.Second
	now = now.Add(suspended)
	n := e[0].Notice(now.Add(-suspended))
	e[1].Merge(n, now)
	assert.Equal(t, e[1].Decide([]string{"a"}, now).Verdict, VerdictTry)
}

// restart returns an entry that starts with the records that another one has to save.
func restart(t *testing.T, before *Table, now time.Time) *Table {
	t.Helper()
	records, err := before.Unsaved(now)
	assert.NilError(t, err)
	after := NewTable("vm")
	after.AwaitSaved(now)
	assert.Equal(t, after.Decide([]string{"a"}, now).Verdict, VerdictWait)
	assert.Equal(t, len(after.ApplySaved(records, now)), 0)
	return after
}

// Guards against a deadly part that crashes upstreams again after all entries were restarted: after its second crash, or
// after the first one.
func TestQuarantineOutlivesEntries(t *testing.T) {
	dead := []string{"dead"}
	entry, now := NewTable("vm"), time.Now()
	entry.RecordCrash("u1", dead, ProgressNone, now)
	now = now.Add(5 * time.Second)
	entry = restart(t, entry, now)
	assert.Equal(t, entry.Decide(dead, now).Verdict, VerdictTry)
	entry.RecordCrash("u2", dead, ProgressNone, now)
	assert.Equal(t, entry.Decide(dead, now).Verdict, VerdictRefuse)
	now = now.Add(SaveDelay)
	entry = restart(t, entry, now)
	assert.Equal(t, entry.Decide([]string{"a", "dead"}, now).Verdict, VerdictRefuse)
	peer := NewTable("peer")
	peer.Merge(entry.Notice(now), now)
	assert.Equal(t, peer.Decide(dead, now).Verdict, VerdictRefuse, "known from a peer that has read the store")
}

// Guards against records that are written again and again, and against a quarantine that an operator cannot end.
func TestSaveAndRelease(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"dead"}, ProgressNone, now)
	table.RecordCrash("u2", []string{"dead"}, ProgressNone, now.Add(time.Second))
	now = now.Add(time.Second + SaveDelay)
	records, err := table.Unsaved(now)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, len(table.ApplySaved(records, now)), 0)
	again, err := table.Unsaved(now)
	assert.NilError(t, err)
	assert.Equal(t, len(again), 0)
	records[0].Value = nil
	now = now.Add(time.Second)
	assert.Equal(t, len(table.ApplySaved(records, now)), 0)
	assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, VerdictSend)
}

// Guards against a part that was quarantined by chance for a moment, when many upstreams end at once, and is saved.
func TestKnownPartIsSavedLate(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.Answered([]string{"a"}, now)
	table.RecordCrash("u1", []string{"a"}, ProgressNone, now)
	table.RecordCrash("u2", []string{"a"}, ProgressNone, now)
	records, err := table.Unsaved(now)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
	table.RecordCrash("u3", nil, ProgressNone, now)
	records, err = table.Unsaved(now.Add(SaveDelay))
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
}

// Guards against two crashes of an upstream that restarts quickly, which count as one.
func TestUpstreamCrashesAgain(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"dead"}, ProgressNone, now)
	table.RecordCrash("u1", []string{"dead"}, ProgressNone, now.Add(700*time.Millisecond))
	assert.Equal(t, table.Decide([]string{"dead"}, now.Add(time.Second)).Verdict, VerdictRefuse)
}

// Guards against a record that stays in the store because an answer cleared its part while the record was being written.
func TestClearedWhileSaving(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"a"}, ProgressNone, now)
	records, err := table.Unsaved(now)
	assert.NilError(t, err)
	now = now.Add(time.Second)
	table.Answered([]string{"a"}, now)
	assert.Equal(t, len(table.ApplySaved(records, now)), 0)
	records, err = table.Unsaved(now)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, len(records[0].Value), 0)
}

// Guards against requests that wait for ever when the store cannot be read at the start.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("vm")
		table.AwaitSaved(time.Now())
		assert.Equal(t, table.Decide([]string{"a"}, time.Now()).Verdict, VerdictWait)
		<-table.Watch()
		assert.Equal(t, table.Decide([]string{"a"}, time.Now()).Verdict, VerdictSend)
	})
}

// Guards against a crash that does not tell which of two unknown parts is to blame: a third upstream would crash on the
// next request that has one of them, or a sound part would be refused.
func TestUnknownPartsAreTriedApart(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"a", "dead"}, ProgressNone, now)
	assert.Equal(t, table.Decide([]string{"a", "dead"}, now).Verdict, VerdictWait)
	assert.Equal(t, table.Decide([]string{"b", "dead"}, now).Verdict, VerdictTry)
	assert.Equal(t, table.Decide([]string{"a", "dead"}, now.Add(jointTrialDelay)).Verdict, VerdictTry)
	now = now.Add(time.Second)
	table.Answered([]string{"a"}, now)
	assert.Equal(t, table.Decide([]string{"a", "dead"}, now).Verdict, VerdictTry)
}

// Guards against a malformed record of the store that quarantines sound parts.
func TestMalformedRecords(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	for _, value := range []string{"x", "\xa0", "\xa4\x01\x80\x02\x01\x03\x02\x04\x01"} {
		assert.Equal(t, len(table.ApplySaved(record("a", value), now)), 1, "%q", value)
		assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictSend)
	}
}
