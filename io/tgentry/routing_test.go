package tgentry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgroute"
)

// Guards against calls that wait for a stalled upstream until their deadline, against running a request twice that is not
// idempotent, and against taking a wait in the queue or for a slow caller for a stall.
func TestStalledCallMoves(t *testing.T) {
	rows := []struct {
		name       string
		idempotent bool
		running    bool
		waited     time.Duration
		want       bool
	}{
		{"idempotent", true, true, time.Second, true},
		{"not idempotent", false, true, time.Second, false},
		{"queued", true, false, time.Second, false},
		{"slow caller", true, true, 0, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				router := tgroute.NewRouter("a")
				candidates := []tgroute.Candidate{{DataCentre: "a", Name: "u"}}
				target, _ := router.Choose(candidates)
				l := &call{entry: &Entry{router: router}, execute: &tgframe.Execute{Idempotent: row.idempotent, Stream: true}}
				l.timing = attemptTiming{start: time.Now(), target: target}
				router.RecordAttempt("u", tgroute.Observation{FirstToken: time.Second})
				for range 8 {
					time.Sleep(time.Second)
					p := &tgframe.Progress{Load: tgframe.Load{Limit: 1}, Running: row.running}
					l.observe(target, &tgframe.Frame{Kind: tgframe.KindProgress, Progress: p}, row.waited)
					_, _ = router.Choose(candidates)
				}
				assert.Equal(t, router.Excluded("u"), tgroute.Stalled)
				assert.Equal(t, l.shouldLeaveStalled(), row.want)
			})
		})
	}
}
