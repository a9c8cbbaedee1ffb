package tgfreshness

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
)

// Guards against work on a configuration that may have changed, and against refusals in a plain log outage.
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
		{"nothing heard", 0, func(*Tracker) {}, CutOff},
		{"log confirms", 4 * time.Second, func(x *Tracker) { x.Confirm(time.Now(), 7) }, Fresh},
		{"log silent, no peers", MaxContactAge, func(x *Tracker) { x.Confirm(time.Now(), 7) }, CutOff},
		{"peers of two of three data centres", 4 * time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("b", nil))
		}, LogDown},
		{"peers of the own data centre only", time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", nil))
		}, CutOff},
		{"another data centre through a peer", time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", map[string]time.Duration{"b": 2 * time.Second}))
		}, LogDown},
		{"ages add up through a peer", 2 * time.Second, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", map[string]time.Duration{"b": 4 * time.Second}))
		}, CutOff},
		{"the time of an exchange counts as age", 0, func(x *Tracker) {
			sent := time.Now()
			time.Sleep(MaxContactAge)
			x.RecordAnswer(sent, 7, answer("b", nil))
		}, CutOff},
		{"a negative age is no contact", 0, func(x *Tracker) {
			x.RecordAnswer(time.Now(), 7, answer("a", map[string]time.Duration{"b": -time.Hour}))
		}, CutOff},
		{"fresh process, a peer has shown more", 0, func(x *Tracker) {
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
		{"a confirmation of a newer offset does not confirm the own one", time.Second, func(x *Tracker) {
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
