package tgcompanion

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	drainPollInterval = 20 * time.Millisecond // between checks for attempts and undelivered answers

	// reattachTimeout is how long a shutdown waits for the entry of a finished answer to re-attach and fetch it.
	reattachTimeout = 6 * time.Second
	// stopTimeout bounds the wait for the end of attempts that were cancelled at the drain timeout.
	stopTimeout = 2 * time.Second
)

// drain refuses new attempts and waits until the answers in flight have been delivered. At the drain timeout it cancels
// the attempts that are left.
func (c *Companion) drain() {
	c.draining.Store(true)
	timeout := c.node.Config().Settings.DrainTimeout
	if c.awaitDrained(timeout) {
		return
	}
	left := 0
	c.attempts.each(func(a *attempt) {
		if a.endedAt.IsZero() {
			left++
			a.cancel(errDrained)
		}
	})
	c.node.Log.WithFields(logrus.Fields{"attempts": left, "timeout": timeout}).Warn("drain timeout passed, attempts cancelled")
	c.awaitDrained(stopTimeout)
}

// awaitDrained waits until all attempts have ended and their answers were delivered or have waited for reattachTimeout.
// It returns false if that takes longer than timeout.
func (c *Companion) awaitDrained(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for !c.attempts.drained(time.Now().Add(-reattachTimeout)) {
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}
