package tgcompanion

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgadmission"
	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgframe"
)

const statusServerError = 500

// errServerError ends an idempotent attempt whose upstream answers with a server error, so that the entry can try another
// upstream. The answer to an attempt that is not idempotent is passed on and recorded as it is: the upstream may have
// acted before it failed, and a repeated request must get the same answer.
var errServerError = errors.New("upstream answered with a server error")

// sink stores the answer of an upstream in the buffer of its attempt and measures its progress.
type sink struct {
	attempt         *attempt
	chunks          int             // received; events if the answer is an event stream
	ctx             context.Context //nolint:containedctx // of the call that the sink belongs to
	events          bool            // the answer is a server-sent event stream
	firstChunkAfter time.Duration   // from started to the first chunk; zero until then
	lastEventAt     time.Time
	observed        int                        // events reported to observeProgress
	observeProgress func(tgadmission.Progress) // reports events to the limiter
	splitter        tganswer.EventSplitter
	started         time.Time
	status          int // of the answer; zero before its head
}

// Chunk implements tgupstream.Sink.
func (s *sink) Chunk(data []byte) error {
	if s.firstChunkAfter == 0 {
		s.firstChunkAfter = time.Since(s.started)
	}
	if !s.events {
		s.chunks++
		return s.attempt.buffer.Append(s.ctx, bytes.Clone(data))
	}
	events, err := s.splitter.Split(data)
	if err != nil || len(events) == 0 {
		return err
	}
	s.chunks += len(events)
	s.reportProgress(len(events))
	return s.attempt.buffer.Append(s.ctx, events...)
}

// Head implements tgupstream.Sink.
func (s *sink) Head(h tgframe.Head) error {
	s.status = h.Status
	if h.Status >= statusServerError && s.attempt.execute.Idempotent {
		return errServerError
	}
	s.events = isEventStream(h)
	s.attempt.buffer.SetHead(h)
	return nil
}

func isEventStream(h tgframe.Head) bool {
	for _, f := range h.Headers {
		if f.Name == "Content-Type" && strings.HasPrefix(f.Value, "text/event-stream") {
			return true
		}
	}
	return false
}

// reportProgress reports n new events to the limiter.
func (s *sink) reportProgress(n int) {
	now := time.Now()
	p := tgadmission.Progress{Tokens: n}
	if s.observed == 0 {
		p.FirstToken = s.firstChunkAfter
	} else {
		p.Gap = now.Sub(s.lastEventAt)
	}
	s.lastEventAt = now
	s.observed += n
	s.observeProgress(p)
}
