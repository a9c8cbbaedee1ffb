package tgentry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgroute"
	"tanagergrade/io/tgstandin"
)

const tokens = 8

func engine() *tgstandin.PipeEngine {
	return &tgstandin.PipeEngine{Interval: 500 * time.Millisecond, Tokens: tokens}
}

func plainEngine() *tgstandin.PipeEngine {
	e := engine()
	e.NonStreaming = true
	return e
}

func diesMidAnswer(e *tgstandin.PipeEngine) *tgstandin.PipeEngine {
	e.DisconnectAfter = 3
	return e
}

func answers503(e *tgstandin.PipeEngine) *tgstandin.PipeEngine {
	e.Status = 503
	return e
}

// Guards against answers that are lost, truncated or repeated, and against requests that run twice, when frames,
// connections or upstreams fail.
func TestFaults(t *testing.T) {
	type fault = tgstandin.LinkFault
	whole := strings.Repeat("1", tokens)
	for name, row := range map[string]struct {
		faults     []fault
		engines    []*tgstandin.PipeEngine // in the order of executions
		claimed    bool                    // not idempotent
		plain      bool                    // not streamed
		body       string
		code       tgcall.Code
		outcome    tgcall.Outcome
		executions int
		upstreams  int // zero means one
	}{
		"all upstreams die, stream ends with an error": {
			engines: []*tgstandin.PipeEngine{diesMidAnswer(engine()), diesMidAnswer(engine())}, executions: 2, upstreams: 2,
			body: strings.TrimSuffix(events(6), "data: [DONE]\n\n") + `data: {"error":{"code":"upstreamLost","message":`,
		},
		"all upstreams die, whole answer fails": {
			engines: []*tgstandin.PipeEngine{diesMidAnswer(plainEngine())}, plain: true, executions: 3, upstreams: 3,
			code: tgcall.CodeUpstreamLost, outcome: tgcall.Unknown,
		},
		"all upstreams fail with 5xx": {
			engines: []*tgstandin.PipeEngine{answers503(plainEngine())}, plain: true, executions: 3, upstreams: 3,
			code: tgcall.CodeUpstreamFailed, outcome: tgcall.Unknown,
		},
		"claimed, 5xx is an answer": {
			engines: []*tgstandin.PipeEngine{answers503(plainEngine()), plainEngine()}, plain: true, claimed: true,
			body: whole, executions: 1, upstreams: 2,
		},
		"claimed, connection cut": {
			faults: []fault{{DisconnectAfter: 2}, {DisconnectAfter: 1}, {DisconnectAfter: 1}, {DisconnectAfter: 1}}, engines: []*tgstandin.PipeEngine{plainEngine()},
			plain: true, claimed: true, body: whole, executions: 1,
		},
		"claimed, connection silent": {
			faults: []fault{{SilentAfter: -1}, {SilentAfter: 2}}, engines: []*tgstandin.PipeEngine{plainEngine()},
			plain: true, claimed: true, body: whole, executions: 1,
		},
		"claimed, request late": {
			faults: []fault{{RequestDelay: 20 * time.Second}}, engines: []*tgstandin.PipeEngine{plainEngine()},
			plain: true, claimed: true, executions: 0, code: tgcall.CodeUpstreamUnreachable, outcome: tgcall.NotRun,
		},
		"claimed, request late, other upstream answers": {
			faults: []fault{{RequestDelay: 20 * time.Second}}, engines: []*tgstandin.PipeEngine{plainEngine()},
			plain: true, claimed: true, body: whole, executions: 1, upstreams: 2,
		},
		"claimed, upstream dies": {
			engines: []*tgstandin.PipeEngine{diesMidAnswer(plainEngine()), plainEngine()}, plain: true, claimed: true,
			executions: 1, upstreams: 2, code: tgcall.CodeUpstreamLost, outcome: tgcall.Unknown,
		},
		"companion cannot be reached": {
			faults:  []fault{{RefuseOpen: true}, {RefuseOpen: true}, {RefuseOpen: true}},
			engines: []*tgstandin.PipeEngine{engine()}, plain: true, executions: 0,
			code: tgcall.CodeUpstreamUnreachable, outcome: tgcall.NotRun,
		},
		"connection cut after each frame": {
			faults: []fault{{DisconnectAfter: 3}, {DisconnectAfter: 3}, {DisconnectAfter: 3}}, engines: []*tgstandin.PipeEngine{engine()},
			body: events(tokens), executions: 1,
		},
		"connection silent": {
			faults: []fault{{SilentAfter: 4}}, engines: []*tgstandin.PipeEngine{engine()}, body: events(tokens), executions: 1,
		},
		"connection silent from the start": {
			faults: []fault{{SilentAfter: -1}}, engines: []*tgstandin.PipeEngine{engine()}, body: events(tokens), executions: 1,
		},
		"connections stay silent, other upstream answers": {
			faults:  []fault{{SilentAfter: 4}, {SilentAfter: -1}, {SilentAfter: -1}},
			engines: []*tgstandin.PipeEngine{engine(), engine()}, body: events(tokens), executions: 2, upstreams: 2,
		},
		"frames duplicated": {
			faults: []fault{{DuplicateReplies: true}}, engines: []*tgstandin.PipeEngine{engine()}, body: events(tokens), executions: 1,
		},
		"frames reordered": {
			faults: []fault{{ReorderReplies: true}}, engines: []*tgstandin.PipeEngine{engine()}, body: events(tokens), executions: 1,
		},
		"healthy stream": {engines: []*tgstandin.PipeEngine{engine()}, body: events(tokens), executions: 1},
		"healthy whole":  {engines: []*tgstandin.PipeEngine{plainEngine()}, plain: true, body: whole, executions: 1},
		"one upstream fails with 5xx": {
			engines: []*tgstandin.PipeEngine{answers503(plainEngine()), plainEngine()}, plain: true, body: whole, executions: 2, upstreams: 2,
		},
		"refused after a loss stays unknown": {
			faults: []fault{{}, {RefuseOpen: true}, {RefuseOpen: true}}, engines: []*tgstandin.PipeEngine{diesMidAnswer(plainEngine()), plainEngine()},
			plain: true, executions: 1, upstreams: 2, code: tgcall.CodeUpstreamUnreachable, outcome: tgcall.Unknown,
		},
		"request late, other upstream answers": {
			faults:  []fault{{RequestDelay: 20 * time.Second}},
			engines: []*tgstandin.PipeEngine{engine()}, body: events(tokens), executions: 1, upstreams: 2,
		},
		"resumed stream is refused with 5xx": {
			engines: []*tgstandin.PipeEngine{diesMidAnswer(engine()), answers503(engine()), engine()}, body: events(tokens), executions: 3, upstreams: 3,
		},
		"upstream dies, stream is resumed": {
			engines: []*tgstandin.PipeEngine{diesMidAnswer(engine()), engine()}, body: events(tokens), executions: 2, upstreams: 2,
		},
		"upstream dies, whole answer starts again": {
			engines: []*tgstandin.PipeEngine{diesMidAnswer(plainEngine()), plainEngine()}, plain: true, body: whole, executions: 2, upstreams: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, max(row.upstreams, 1), tgstandin.NewLink(row.faults...), row.engines...)
				time.Sleep(time.Second) // the companions must be up before the request is sent
				body, failure := s.run(newRequest(!row.claimed, !row.plain))
				time.Sleep(time.Minute) // delayed frames arrive in this time
				assert.Equal(t, s.executions(), row.executions)
				if row.code != "" {
					assert.Assert(t, failure != nil)
					assert.Equal(t, failure.Code, row.code, "%v", failure)
					assert.Equal(t, failure.Outcome, row.outcome)
					return
				}
				assert.Assert(t, failure == nil, "%v", failure)
				if strings.HasSuffix(row.body, `"message":`) {
					assert.Assert(t, strings.HasPrefix(body, row.body), "%s", body)
					assert.Assert(t, !strings.Contains(body, "[DONE]"))
					return
				}
				assert.Equal(t, body, row.body)
			})
		})
	}
}

// Guards against a slow caller whose pauses between reads are taken for silence of the companion and cause a re-attach.
func TestSlowCallerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, tgstandin.NewLink(), engine())
		l := s.entry.newCall(newRequest(true, true), nil)
		_, failure := l.awaitAnswer()
		assert.Assert(t, failure == nil)
		stream := &streamBody{call: l}
		var body []byte
		buf := make([]byte, 64)
		for err := error(nil); err == nil; {
			time.Sleep(5 * time.Second)
			var n int
			n, err = stream.Read(buf)
			body = append(body, buf[:n]...)
		}
		assert.Equal(t, string(body), events(tokens))
		assert.Equal(t, s.entry.counters.reattaches.Value(), int64(0))
		assert.Equal(t, s.executions(), 1)
		time.Sleep(time.Minute)
	})
}

// Guards against a whole answer in one frame that is not reported to the router as evidence about its upstream.
func TestWholeAnswerInOneFrameIsEvidence(t *testing.T) {
	s := newSystem(t, 1, tgstandin.NewLink(), engine())
	l := s.entry.newCall(newRequest(true, false), nil)
	defer l.close(nil)
	f := tgframe.Frame{
		Chunk: &tgframe.Chunk{Data: []byte("x")}, End: &tgframe.End{Outcome: tgcall.Answered, Total: 1},
		Head: &tgframe.Head{Status: statusOK}, Kind: tgframe.KindEnd,
	}
	l.observe(tgroute.Candidate{Name: upstreamNames[0]}, &f, 0)
	assert.Assert(t, l.timing.firstPartSeen)
}

// Guards against the outcome "not run" after a restart of the companion: the new process has not seen the attempt, but
// its predecessor may have run it.
func TestRestartedCompanionDoesNotProveNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, tgstandin.NewLink(tgstandin.LinkFault{SilentAfter: -1}), plainEngine())
		time.Sleep(time.Second)
		time.AfterFunc(s.cfg.Settings.SilenceTimeout/2, func() { // before the entry attaches again
			s.startCompanion(t, 0)
		})
		_, failure := s.run(newRequest(false, false))
		assert.Equal(t, failure.Code, tgcall.CodeAttemptUnknown)
		assert.Equal(t, failure.Outcome, tgcall.Unknown)
		time.Sleep(time.Minute)
		assert.Equal(t, s.executions(), 1)
	})
}

// Guards against an idempotent attempt that runs on after its caller has left, against cancelling one that is claimed, and
// against a cancel frame for another attempt.
func TestCallerLeaves(t *testing.T) {
	for name, row := range map[string]struct {
		claimed bool
		stream  bool
		aborted int64
	}{
		"claimed request is finished": {claimed: true},
		"streamed":                    {aborted: 1, stream: true},
		"waiting":                     {aborted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := engine()
				e.NonStreaming = !row.stream
				s := newSystem(t, 1, tgstandin.NewLink(), e)
				l := s.entry.newCall(newRequest(!row.claimed, row.stream), nil)
				if row.stream {
					_, failure := l.awaitAnswer()
					assert.Assert(t, failure == nil)
					stream := &streamBody{call: l}
					_, err := stream.Read(make([]byte, 100))
					assert.NilError(t, err)
					assert.NilError(t, stream.Close())
				} else {
					time.AfterFunc(1200*time.Millisecond, func() { l.cancel(errCallerDisconnected) })
					_, failure := l.awaitAnswer()
					assert.Equal(t, failure.Code, tgcall.CodeCancelled)
					assert.Equal(t, failure.Outcome, tgcall.Unknown)
					l.close(failure)
				}
				time.Sleep(600 * time.Millisecond) // the engine notices the cancellation at its next token
				assert.Equal(t, e.Aborted.Load(), row.aborted)
				requests := s.link.Requests()
				for _, f := range requests[1:] {
					assert.Equal(t, f.Kind, tgframe.KindCancel)
					assert.Equal(t, f.Cancel.Attempt, requests[0].Execute.Attempt)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against an idempotent attempt that runs to its end although its entry has died, and against cancelling a claimed
// one.
func TestEntryDies(t *testing.T) {
	for name, row := range map[string]struct {
		claimed bool
		aborted int64
	}{
		"claimed":    {claimed: true},
		"idempotent": {aborted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := engine()
				e.Interval = 2 * time.Second
				s := newSystem(t, 1, tgstandin.NewLink(tgstandin.LinkFault{DisconnectAfter: 2}), e)
				a := s.entry.newCall(newRequest(!row.claimed, true), nil).newAttempt(tgroute.Candidate{Name: upstreamNames[0]})
				assert.Assert(t, a.openExchange())
				time.Sleep(time.Minute)
				assert.Equal(t, e.Aborted.Load(), row.aborted)
				a.disconnect()
			})
		})
	}
}
