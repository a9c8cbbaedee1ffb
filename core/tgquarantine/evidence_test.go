package tgquarantine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tglogtable"
)

func crashedAt(progress Progress, upstream string, parts ...string) step {
	return func(t *Table, now time.Time) { t.RecordCrash(upstream, parts, progress, now) }
}

// herdOf returns the crashes of n upstreams in the middle of answers with the part a.
func herdOf(n int) []step {
	steps := make([]step, 0, n)
	for i := range n {
		steps = append(steps, crashedAt(ProgressBegun, fmt.Sprintf("u%d", i), "a"))
	}
	return steps
}

func begunFor(age time.Duration, parts ...string) step {
	return func(t *Table, now time.Time) { t.Begun(parts, age, now) }
}

// Guards against a part that is never suspect because it crashes upstreams after the first event of an answer: that event
// seemed to clear it. Crashes in the middle of answers are no evidence against parts of which complete answers are known.
func TestCrashesInTheMiddle(t *testing.T) {
	begun, resumed := ProgressBegun, ProgressResumed
	for name, c := range map[string]struct {
		steps []step // one second after another, unless they are of one burst
		burst bool
		want  Verdict // for the part
	}{
		"once":              {steps: []step{crashedAt(begun, "u1", "a")}, want: VerdictSend},
		"twice":             {steps: []step{crashedAt(begun, "u1", "a"), crashedAt(begun, "u2", "a")}, want: VerdictTry},
		"threeTimes":        {steps: []step{crashedAt(begun, "u1", "a"), crashedAt(begun, "u2", "a"), crashedAt(begun, "u3", "a")}, want: VerdictRefuse},
		"resumed":           {steps: []step{crashedAt(begun, "u1", "a"), crashedAt(resumed, "u2", "a")}, want: VerdictTry},
		"resumedThenTried":  {steps: []step{crashedAt(begun, "u1", "a"), crashedAt(resumed, "u2", "a"), crashedAt(begun, "u3", "a")}, want: VerdictRefuse},
		"afterOneBefore":    {steps: []step{crashed("u1", "a"), crashedAt(begun, "u2", "a")}, want: VerdictTry},
		"afterTwoMixed":     {steps: []step{crashed("u1", "a"), crashedAt(begun, "u2", "a"), crashedAt(begun, "u3", "a")}, want: VerdictRefuse},
		"firstEvent":        {steps: []step{crashed("u1", "a"), begunFor(0, "a"), crashed("u2", "a")}, want: VerdictRefuse},
		"goesOn":            {steps: []step{crashed("u1", "a"), begunFor(ProofTime, "a")}, want: VerdictSend},
		"firstEventOfKnown": {steps: []step{answered("a"), crashed("u1", "a"), begunFor(0, "a")}, want: VerdictSend},
		"goesOnEachTime": {
			steps: []step{
				begunFor(ProofTime, "a"), crashedAt(begun, "u1", "a"), begunFor(ProofTime, "a"), crashedAt(begun, "u2", "a"),
				begunFor(ProofTime, "a"), crashedAt(begun, "u3", "a"),
			},
			want: VerdictRefuse,
		},
		"answeredBetween": {
			steps: []step{crashedAt(begun, "u1", "a"), crashedAt(begun, "u2", "a"), answered("a"), crashedAt(begun, "u3", "a")},
			want:  VerdictSend,
		},
		"answeredBefore": {
			steps: []step{answered("a"), crashedAt(begun, "u1", "a"), crashedAt(begun, "u2", "a"), crashedAt(begun, "u3", "a")},
			want:  VerdictSend,
		},
		"herd": {
			burst: true,
			steps: []step{crashedAt(begun, "u1", "a"), crashedAt(begun, "u2", "a"), crashedAt(begun, "u3", "a"), crashedAt(begun, "u4", "a")},
			want:  VerdictSend,
		},
		"herdForLong": {
			burst: true,
			steps: herdOf(90),
			want:  VerdictRefuse,
		},
		"sameCrash": {
			burst: true,
			steps: []step{crashedAt(begun, "u1", "a"), crashedAt(begun, "u1", "a"), crashed("u1", "a")},
			want:  VerdictTry,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, now, interval := NewTable("vm"), time.Now(), time.Second
			if c.burst {
				interval = 10 * time.Millisecond
			}
			for _, s := range c.steps {
				s(table, now)
				now = now.Add(interval)
			}
			assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, c.want)
		})
	}
}

// Guards against a sound stream that waits for the trials of two unknown parts where it is to be resumed.
func TestResumedPartsAreTriedTogether(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	table.RecordCrash("u1", []string{"a", "b"}, ProgressBegun, now)
	table.RecordCrash("u2", []string{"a", "b"}, ProgressResumed, now.Add(time.Second))
	assert.Equal(t, table.Decide([]string{"a", "b"}, now.Add(time.Second)).Verdict, VerdictTry)
}

// Guards against sound requests that wait for others with fewer unknown parts, which do not come: each has the same many
// parts, which a crash of a deadly one made suspect.
func TestSomeUnknownPartsAreTried(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	sound := numbered("a", 40)
	deadly := append(numbered("a", 40), "dead")
	table.RecordCrash("u1", deadly, ProgressNone, now)
	assert.Equal(t, table.Decide(deadly, now).Verdict, VerdictWait)
	assert.Equal(t, table.Decide(sound, now).Verdict, VerdictTry)
	table.RecordCrash("u2", []string{"b"}, ProgressNone, now.Add(time.Second))
	assert.Equal(t, table.Decide([]string{sound[0], "b"}, now.Add(time.Second)).Verdict, VerdictWait, "all unknown ones of u2")
	table = restart(t, table, now)
	assert.Equal(t, table.Decide(deadly, now).Verdict, VerdictWait)
	assert.Equal(t, table.Decide(sound, now).Verdict, VerdictTry)
}

// Guards against a peer that takes crashes in the middle of answers for less or more than they are, and blames a part of
// which another entry knows answers.
func TestEntriesShareCrashesInTheMiddle(t *testing.T) {
	e, now := newEntries(3), time.Now()
	e[2].Answered([]string{"a"}, now)
	for i := range 3 {
		e[i%2].RecordCrash(fmt.Sprintf("u%d", i), []string{"a", "dead"}, ProgressBegun, now)
		now = now.Add(time.Second)
		e.exchange(now)
	}
	for _, table := range e {
		assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictSend)
		assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, VerdictRefuse)
	}
	e[1].Answered([]string{"dead"}, now)
	e.exchange(now)
	assert.Equal(t, e[0].Decide([]string{"dead"}, now).Verdict, VerdictSend)
}

func numbered(prefix string, n int) []string {
	parts := make([]string, 0, n)
	for i := range n {
		parts = append(parts, fmt.Sprintf("%s%011x", prefix, i))
	}
	return parts
}

const maxDatagram = 65507 // bytes of the payload of UDP

// Guards against entries that hear nothing of a crash because its requests have many parts, and then blame sound ones.
func TestManyPartsReachPeers(t *testing.T) {
	known := numbered("a", 900)
	e, now := newEntries(2), time.Now()
	e[0].Answered(known, now)
	for i := range 2 {
		e[0].RecordCrash(fmt.Sprintf("u%d", i), append(numbered("a", 900), "dead"), ProgressNone, now)
		now = now.Add(time.Second)
	}
	data, err := cbor.Marshal(e[0].Notice(now))
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxDatagram, "%d bytes", len(data))
	e.exchange(now)
	for _, table := range e {
		assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, VerdictRefuse)
		assert.Assert(t, table.Decide(known, now).Verdict != VerdictRefuse)
	}
}

// Guards against peers that forget what they know of earlier crashes, because later notices have no room for their parts.
func TestEarlierCrashesStayKnown(t *testing.T) {
	e, now := newEntries(2), time.Now()
	for i := range 8 {
		parts := numbered(fmt.Sprintf("%052d", i), 200)
		if i < 2 {
			parts = append(parts, "dead")
		}
		e[0].RecordCrash(fmt.Sprintf("u%d", i), parts, ProgressNone, now)
		now = now.Add(time.Second)
		e.exchange(now)
	}
	assert.Equal(t, e[1].Decide([]string{"dead"}, now).Verdict, VerdictRefuse)
}

// Guards against a notice that fits into no datagram.
func TestLargestNotice(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	for i := range 16 {
		parts := numbered(fmt.Sprintf("%052d", i), 300)
		table.Answered(parts[:100], now)
		table.RecordCrash(fmt.Sprintf("u%d", i), parts, ProgressNone, now)
		now = now.Add(time.Second)
		if trial := table.Claim(parts[:1], now); trial != nil {
			trial.SetUpstream("an-engine-with-a-long-name")
		}
		table.Answered(parts[200:210], now)
	}
	data, err := cbor.Marshal(table.Notice(now))
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxDatagram, "%d bytes", len(data))
}

// Guards against a sound part that is blamed in place of one that was left out because there are too many: known parts are
// left out first; if that does not suffice, no part is quarantined.
func TestTooManyParts(t *testing.T) {
	for name, c := range map[string]struct {
		known   int
		unknown int
		want    Verdict // for the part that is at both crashes
	}{
		"known":   {known: maxCrashParts, want: VerdictRefuse},
		"unknown": {unknown: maxCrashParts, want: VerdictTry},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable("vm"), time.Now()
			known := numbered("a", c.known)
			table.Answered(known, now)
			for i := range 2 {
				table.RecordCrash(fmt.Sprintf("u%d", i), []string{"dead"}, ProgressNone, now)
				table.RecordCrash(fmt.Sprintf("u%d", i), known, ProgressNone, now)
				table.RecordCrash(fmt.Sprintf("u%d", i), numbered(fmt.Sprintf("b%d", i), c.unknown), ProgressNone, now)
				now = now.Add(time.Minute)
			}
			for _, cr := range table.crashes {
				assert.Assert(t, len(cr.parts) <= maxCrashParts)
			}
			assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, c.want)
			assert.Equal(t, table.Decide(known, now).Verdict, VerdictSend)
			records, err := table.Unsaved(now)
			assert.NilError(t, err)
			assert.Assert(t, len(records) <= maxSavedOfCrash, "%d records", len(records))
		})
	}
}

// Guards against memory that grows with each crash.
func TestPartsOfAllCrashesAreBounded(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	for i := range 8 {
		table.RecordCrash(fmt.Sprintf("u%d", i), numbered(strconv.Itoa(i), maxCrashParts), ProgressNone, now)
		now = now.Add(time.Second)
	}
	n := 0
	for _, c := range table.crashes {
		n += len(c.parts)
	}
	assert.Assert(t, n <= maxTableParts && n >= maxTableParts-maxCrashParts, "%d parts", n)
}

// Guards against a write that the store carries out late and that brings back a part which an answer has cleared, at an
// entry that knows of the crash from the store only.
func TestLateRecordOfClearedPart(t *testing.T) {
	before, now := NewTable("vm"), time.Unix(1_800_000_000, int64(100*time.Millisecond))
	before.RecordCrash("u1", []string{"a"}, ProgressNone, now)
	records, err := before.Unsaved(now)
	assert.NilError(t, err)
	table := restart(t, before, now)
	now = now.Add(10 * time.Millisecond)
	table.Answered([]string{"a"}, now)
	assert.Equal(t, len(table.ApplySaved([]tglogtable.Record{{Key: "a"}}, now)), 0)
	now = now.Add(10 * time.Millisecond)
	assert.Equal(t, len(table.ApplySaved(records, now)), 0)
	assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictSend)
	again, err := table.Unsaved(now)
	assert.NilError(t, err)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, len(again[0].Value), 0, "it is removed again")
}

// Guards against an entry that loses what peers and records of the previous version say: it knew no crashes in the middle
// of answers and wrote times in seconds.
func TestPreviousVersion(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	merge := func(notice any) {
		data, err := cbor.Marshal(notice)
		assert.NilError(t, err)
		var n Notice
		assert.NilError(t, cbor.Unmarshal(data, &n))
		table.Merge(&n, now)
	}
	crash := func(id string, age time.Duration) map[int]any {
		return map[int]any{1: age, 2: []string{"a", "dead"}, 3: "u" + id, 4: []string{"peer/" + id}}
	}
	merge(map[int]any{3: []any{crash("2", 0), crash("1", time.Second)}, 4: []string{"a"}, 5: "peer"})
	assert.Equal(t, table.Decide([]string{"dead"}, now).Verdict, VerdictRefuse)
	assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictTry)
	merge(map[int]any{1: []any{map[int]any{1: true, 2: "a", 3: "u3"}}, 5: "peer"})
	assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictWait)
	merge(map[int]any{2: []any{map[int]any{1: time.Duration(0), 2: "a"}}, 5: "peer"})
	assert.Equal(t, table.Decide([]string{"a"}, now).Verdict, VerdictSend)
	value, err := cbor.Marshal(map[int]any{
		1: []string{"b"}, 2: now.Unix(), 3: 2, 4: now.Add(time.Hour).Unix(), 5: []string{"vm/1", "vm/2"},
	})
	assert.NilError(t, err)
	assert.Equal(t, len(table.ApplySaved([]tglogtable.Record{{Key: "b", Value: value}}, now)), 0)
	assert.Equal(t, table.Decide([]string{"b"}, now).Verdict, VerdictRefuse)
}
