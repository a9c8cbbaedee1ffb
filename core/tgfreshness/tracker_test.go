package tgfreshness

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
)

// Guards against a process that works on with a configuration that may have changed, and against one that stops although
// only the log is down.
func TestTrackerStatus(t *testing.T) {
	region := []string{"a", "b", "c"}
	answer := func(dataCentre string, reach map[string]time.Duration) *tgframe.Gossip {
		return &tgframe.Gossip{DataCentre: dataCentre, ContactAges: reach}
	}
	for _, row := range []struct {
		name  string
		after time.Duration
		do    func(*Tracker)
		want  Status
	}{
		{"no contact", 0, func(*Tracker) {}, CutOff},
		{"log confirms", 4 * time.Second, func(x *Tracker) { x.Confirm(time.Now(), 7) }, Fresh},
		{"log does not answer, no peers", MaxContactAge, func(x *Tracker) { x.Confirm(time.Now(), 7) }, CutOff},
		{"peers of two of three data centres", 4 * time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("b", nil))
		}, LogDown},
		{"peers of the own data centre only", time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", nil))
		}, CutOff},
		{"another data centre through a peer", time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", map[string]time.Duration{"b": 2 * time.Second}))
		}, LogDown},
		{"the age that a peer reports adds to the time since", 2 * time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", map[string]time.Duration{"b": 4 * time.Second}))
		}, CutOff},
		{"the duration of an exchange counts as age", 0, func(x *Tracker) {
			sent := time.Now()
			time.Sleep(MaxContactAge)
			x.RecordAnswer(sent, 7, answer("b", nil))
		}, CutOff},
		{"a negative age is no contact", 0, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", map[string]time.Duration{"b": -time.Hour}))
		}, CutOff},
		{"new process, a peer has a higher offset", 0, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("b", nil))
			x.RecordPeerOffset(8, 7)
		}, Behind},
		{"behind for a moment", time.Second, func(x *Tracker) {
			x.Confirm(time.Now(), 7)
			x.RecordPeerOffset(8, 7)
		}, Fresh},
		{"behind for too long", MaxContactAge, func(x *Tracker) {
			x.Confirm(time.Now(), 7)
			x.RecordPeerOffset(8, 7)
		}, Behind},
		{"a confirmation of an offset not yet applied is ignored", time.Second, func(x *Tracker) {
			g := answer("a", nil)
			g.Confirmation = &tgframe.Confirmation{Offset: 8}
			x.RecordAnswer(time.Now(), 7, g)
		}, CutOff},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := NewTracker("a")
				row.do(x)
				time.Sleep(row.after)
				assert.Equal(t, x.Status(region, 7), row.want)
			})
		})
	}
}
