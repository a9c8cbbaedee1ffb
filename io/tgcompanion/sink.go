package tgcompanion

import (
	"strings"
	"time"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgframe"
)

// sink stores an upstream's answer in the buffer of its attempt.
type sink struct {
	buffer   *tganswer.Buffer
	chunks   int
	events   bool // the answer is a server-sent event stream
	first    time.Duration
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
	for _, event := range s.splitter.Split(data) {
		s.buffer.Append(event)
		s.chunks++
	}
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
