package tgentry

import (
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgroute"
)

// choose returns the upstream of the next attempt.
func (l *call) choose() (tgroute.Candidate, bool) {
	cfg := l.entry.node.Config()
	var candidates []tgroute.Candidate
	for name, u := range cfg.Upstreams {
		if u.Pool == l.execute.Pool && !l.tried[name] && usable(cfg, u) {
			candidates = append(candidates, tgroute.Candidate{DataCentre: u.DataCentre, Name: name})
		}
	}
	if !l.execute.Idempotent {
		return tgroute.Home(candidates, l.execute.IdempotencyKey)
	}
	return l.entry.router.Choose(candidates)
}

func usable(cfg *tgconfig.Config, u tgconfig.Upstream) bool {
	return u.State != tgconfig.Drained && cfg.DataCentres[u.DataCentre].State != tgconfig.Withdrawn
}

// mayRetry reports whether another attempt is allowed after failure.
func (l *call) mayRetry(failure *tgcall.Failure) bool {
	return l.ctx.Err() == nil && (failure.Outcome == tgcall.NotRun || l.execute.Idempotent)
}
