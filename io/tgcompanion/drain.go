package tgcompanion

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	drainPoll = 20 * time.Millisecond

	// lingerTimeout is how long a finished answer waits for its entry to attach again during a shutdown.
	lingerTimeout = 6 * time.Second
	// stopTimeout bounds the end of attempts that were cancelled at the drain timeout.
	stopTimeout = 2 * time.Second
)

// drain refuses new attempts and waits until the answers in flight have been delivered or the drain timeout has
// passed. Then it cancels what is left.
func (c *Companion) drain() {
	c.draining.Store(true)
	timeout := c.node.Config().Settings.DrainTimeout
	if c.awaitQuiet(timeout) {
		return
	}
	left := 0
	c.attempts.each(func(a *attempt) {
		if a.ended.IsZero() {
			left++
			a.cancel(errDrained)
		}
	})
	c.node.Log.WithFields(logrus.Fields{"attempts": left, "timeout": timeout}).Warn("drain timeout passed, attempts cancelled")
	c.awaitQuiet(stopTimeout)
}

func (c *Companion) awaitQuiet(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for !c.attempts.quiet(time.Now().Add(-lingerTimeout)) {
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(drainPoll)
	}
	return true
}
