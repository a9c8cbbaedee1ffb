package tgcompanion

import (
	"strings"
	"time"

	"tanagergrade/core/tgadmit"
	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgframe"
)

// sink stores an upstream's answer in the buffer of its attempt.
type sink struct {
	buffer   *tganswer.Buffer
	chunks   int
	events   bool // the answer is a server-sent event stream
	first    time.Duration
	last     time.Time              // of the last event
	observe  func(tgadmit.Progress) // takes the evidence of each event
	observed int                    // events given to observe
	splitter tganswer.EventSplitter
	started  time.Time
}

// Chunk implements tgupstream.Sink.
func (s *sink) Chunk(data []byte) error {
	if s.first == 0 {
		s.first = time.Since(s.started)
	}
	if !s.events {
		s.buffer.Append(data)
		s.chunks++
		return nil
	}
	before := s.chunks
	for _, event := range s.splitter.Split(data) {
		s.buffer.Append(event)
		s.chunks++
	}
	s.report(s.chunks - before)
	return nil
}

// Head implements tgupstream.Sink.
func (s *sink) Head(h tgframe.Head) error {
	for _, f := range h.Headers {
		if f.Name == "Content-Type" && strings.HasPrefix(f.Value, "text/event-stream") {
			s.events = true
		}
	}
	s.buffer.SetHead(h)
	return nil
}

// report gives the evidence of n events to the limiter.
func (s *sink) report(n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	p := tgadmit.Progress{Tokens: n}
	if s.observed == 0 {
		p.FirstToken = s.first
	} else {
		p.Gap = now.Sub(s.last)
	}
	s.last = now
	s.observed += n
	s.observe(p)
}
