package tganswer

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const maxEventBytes = 4 << 20 // bounds an event whose end has not arrived

// ErrEventTooLarge means that an event of the stream exceeds maxEventBytes.
var ErrEventTooLarge = errors.New("event of the stream is too large")

var (
	doneMarker = []byte("data: [DONE]")
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
)

// EventSplitter splits a stream of server-sent events into events, so that each chunk of an answer is one event.
type EventSplitter struct {
	done    bool     // the terminal event was returned
	events  [][]byte // reused by each call of Split
	pending []byte   // start of an event whose end has not arrived
}

// Split takes the next bytes and returns the events that they complete; it drops what follows the terminal event. The
// slice is valid until the next call, the events remain valid.
func (s *EventSplitter) Split(data []byte) ([][]byte, error) {
	s.events = s.events[:0]
	if s.done {
		return nil, nil
	}
	rest := data
	if len(s.pending) > 0 {
		s.pending = append(s.pending, data...)
		rest = s.pending
	}
	// The events share one copy, since the caller reuses data.
	owned := []byte(nil)
	for !s.done {
		n := eventLength(rest)
		if n == 0 {
			break
		}
		if owned == nil {
			owned = append(make([]byte, 0, len(rest)), rest...)
		}
		event := owned[:n:n]
		owned, rest = owned[n:], rest[n:]
		s.done = bytes.HasPrefix(event, doneMarker)
		s.events = append(s.events, event)
	}
	if len(rest) > maxEventBytes {
		return nil, ErrEventTooLarge
	}
	// rest may lie within pending; append moves overlapping bytes correctly.
	s.pending = append(s.pending[:0], rest...)
	return s.events, nil
}

// eventLength returns the length of the first event of data including its terminator, or 0 if data has no terminator.
func eventLength(data []byte) int {
	n := 0
	if i := bytes.Index(data, eventEnd); i >= 0 {
		n = i + len(eventEnd)
		data = data[:n]
	}
	if i := bytes.Index(data, eventEndCR); i >= 0 {
		n = i + len(eventEndCR)
	}
	return n
}

// Done reports whether Split has returned the terminal event.
func (s *EventSplitter) Done() bool { return s.done }
