package tgentry

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgcall"
)

// counters are the entry's metrics. They are not published with expvar.Publish, since one process can run several
// entries.
type counters struct {
	attempts   expvar.Int // execute frames sent
	inFlight   expvar.Int // calls that have not ended
	reattaches expvar.Int // attach frames sent
	requests   expvar.Map // finished requests: answered ones by outcome, failed ones by outcome and code
	resumes    expvar.Int // streams continued at another upstream
}

// Vars returns the entry's metrics for the admin server.
func (e *Entry) Vars() *expvar.Map {
	m := &expvar.Map{}
	m.Set("attempts", &e.counters.attempts)
	m.Set("inFlight", &e.counters.inFlight)
	m.Set("reattaches", &e.counters.reattaches)
	m.Set("requests", &e.counters.requests)
	m.Set("resumes", &e.counters.resumes)
	return m
}

// requestResult is the result of a finished request.
type requestResult struct {
	call      *call           // nil if the request was refused before it became a call
	failure   *tgcall.Failure // nil if the request was answered
	requestID string
}

// recordResult adds the result of a request to the metrics, to the decisions in the state dump and to the log.
func (e *Entry) recordResult(r requestResult) {
	d := tgcall.Decision{Outcome: tgcall.Answered, Request: r.requestID}
	key := string(tgcall.Answered)
	if r.failure != nil {
		key = string(r.failure.Outcome) + "." + string(r.failure.Code)
	}
	e.counters.requests.Add(key, 1)
	if r.call != nil {
		if u := r.call.upstream.Load(); u != nil {
			d.Upstream = *u
		}
	}
	e.decisions.Add(d, r.failure)
	if !e.node.Log.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{"outcome": d.Outcome, "request": r.requestID}
	if r.failure != nil {
		fields["code"], fields["outcome"], fields["reason"] = r.failure.Code, r.failure.Outcome, r.failure.Message
	}
	if l := r.call; l != nil {
		fields["account"], fields["pool"], fields["upstream"] = l.execute.Account, l.execute.Pool, d.Upstream
		fields["attempts"], fields["duration"], fields["first"] = l.attempts.Load(), time.Since(l.started), l.timeToHead
	}
	e.node.Log.WithFields(fields).Info("request finished")
}
