package tgquarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a deadly part that counts as cleared after a crash: each notice takes a while, so that a time that entries
// tell each other in turn becomes later with each, until it passes that of the crash.
func TestClearingKeepsItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewTable("a"), NewTable("b")
	a.RecordCrash("u1", []string{"p"}, ProgressNone, now)
	a.Answered([]string{"p"}, now.Add(time.Second))
	a.RecordCrash("u2", []string{"p"}, ProgressNone, now.Add(3*time.Second))
	const delay = time.Millisecond
	for i := range 2000 {
		at := now.Add(4*time.Second + time.Duration(i)*10*delay)
		b.Merge(a.Notice(at), at.Add(delay))
		a.Merge(b.Notice(at.Add(delay)), at.Add(2*delay))
	}
	for _, table := range []*Table{a, b} {
		assert.Equal(t, table.Decide([]string{"p"}, now.Add(time.Minute)).Verdict, VerdictTry)
	}
}

// Guards against notices that each cost a pass over all crashes, although they only repeat what is known or tell of a
// trial: with hundreds of entries, the table would be locked for most of the time.
func TestRepeatedNoticeIsCheap(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewTable("a"), NewTable("b")
	a.RecordCrash("u1", []string{"p", "q"}, ProgressNone, now)
	a.Answered([]string{"q"}, now.Add(time.Second))
	at := now.Add(2 * time.Second)
	b.Merge(a.Notice(at), at)
	suspects := b.suspects["p"]
	assert.Assert(t, a.Claim([]string{"p"}, at) != nil)
	b.Merge(a.Notice(at), at.Add(time.Millisecond))
	assert.Equal(t, b.suspects["p"], suspects) // not derived anew
	assert.Equal(t, b.Decide([]string{"p"}, at).Verdict, VerdictWait)
	a.RecordCrash("u2", []string{"p"}, ProgressNone, at)
	b.Merge(a.Notice(at), at)
	assert.Equal(t, b.Decide([]string{"p"}, at).Verdict, VerdictRefuse)
	b.Merge(&Notice{VM: "c"}, at.Add(crashRetention+time.Second))
	assert.Equal(t, len(b.suspects), 0) // expired
}
