package tganswer

import "bytes"

var (
	eventEnd   = []byte("\n\n")
	doneMarker = []byte("data: [DONE]")
)

// EventSplitter cuts a server-sent event stream into whole events, so that one chunk is one event.
type EventSplitter struct {
	done    bool
	pending []byte // start of an event whose end has not arrived
}

// Split takes the next bytes and returns the events that they complete.
func (s *EventSplitter) Split(data []byte) [][]byte {
	s.pending = append(s.pending, data...)
	var events [][]byte
	for {
		i := bytes.Index(s.pending, eventEnd)
		if i < 0 {
			return events
		}
		event := s.pending[:i+len(eventEnd)]
		s.pending = append([]byte(nil), s.pending[i+len(eventEnd):]...)
		s.done = s.done || bytes.HasPrefix(event, doneMarker)
		events = append(events, event)
	}
}

// Done reports whether the terminal event has passed.
func (s *EventSplitter) Done() bool { return s.done }
