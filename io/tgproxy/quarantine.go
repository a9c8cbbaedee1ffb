package tgproxy

import (
	"net/http"
	"time"

	"tanagergrade/core/tgquarantine"
)

const (
	// A trial is sent this long after its claim, in which the claims of other entries arrive.
	claimSettleTime    = 50 * time.Millisecond
	defaultTrialWait   = 500 * time.Millisecond // of a route without a target for the first byte
	trialRetryBase     = 300 * time.Millisecond // after which a caller returns whose request waited for a trial in vain
	trialRetryJitter   = 300 * time.Millisecond
	outcomeQuarantined = "quarantined"
)

// passQuarantine waits until the request may be sent, in spite of parts of its prompt that are suspected of crashing
// upstreams, and reports whether it may. If not, the call has ended.
func (k *callerConn) passQuarantine(a *responseState, c *call) bool {
	if k.server.quarantine.Decide(c.promptParts, time.Now()).Verdict == tgquarantine.VerdictSend {
		return true
	}
	return k.awaitTrial(a, c)
}

// awaitTrial waits until a request with suspect parts may be sent as a trial, or until its parts are cleared, and reports
// whether it may be sent. If not, the call has ended.
func (k *callerConn) awaitTrial(a *responseState, c *call) bool {
	s := k.server
	giveUp := time.NewTimer(c.trialWait())
	defer giveUp.Stop()
	for {
		changed := s.quarantine.Watch()
		d := s.quarantine.Decide(c.promptParts, time.Now())
		switch d.Verdict {
		case tgquarantine.VerdictSend:
			return true
		case tgquarantine.VerdictRefuse:
			k.endQuarantined(a, c, d)
			return false
		case tgquarantine.VerdictTry:
			if c.trial = s.quarantine.Claim(c.promptParts, time.Now()); c.trial == nil {
				continue
			}
			time.Sleep(claimSettleTime)
			s.crashes.wait() // it may be the second crash of the part
			if c.trial.Confirm(time.Now()) {
				s.counters.Add("quarantineTrials", 1)
				return true
			}
			c.trial = nil
			continue
		case tgquarantine.VerdictWait:
		}
		select {
		case <-changed:
		case <-a.ctx.Done():
			k.abandon(a, c)
			return false
		case <-giveUp.C:
			retryAfter := trialRetryBase + time.Duration(s.rand()*float64(trialRetryJitter))
			k.endUnanswered(a, c, "prompt part "+d.Part+" is on trial in another request", retryAfter)
			return false
		}
	}
}

// trialWait returns how long a request waits for the trial of another one.
func (c *call) trialWait() time.Duration {
	if c.route.FirstByteTarget > 0 {
		return c.route.FirstByteTarget
	}
	return defaultTrialWait
}

// endTrial ends the trial of an attempt, if it is one.
func (c *call) endTrial() {
	if c.trial != nil {
		c.trial.End()
		c.trial = nil
	}
}

// endQuarantined ends a call whose prompt has a quarantined part.
func (k *callerConn) endQuarantined(a *responseState, c *call, d tgquarantine.Decision) {
	c.detail = "prompt part " + d.Part + " is quarantined: it crashes upstreams"
	if a.headWritten || c.mayHaveRun || a.upstreamError != nil {
		k.endUnanswered(a, c, c.detail, 0)
		return
	}
	// Unlike other refusals, this one is not shortened to what callers wait: no earlier retry can succeed.
	e := c.newEvent(outcomeQuarantined, http.StatusServiceUnavailable, time.Now())
	e.RetryAfter = d.RetryAfter
	k.server.observer.Request(e)
	keepAlive := a.decideKeepAlive()
	a.keepAlive = k.write(refusalBytes(e.Status, c.id, e.RetryAfter, keepAlive, c.headers)) == nil && keepAlive
}
