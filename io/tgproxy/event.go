package tgproxy

import (
	"bytes"
	"strconv"
	"time"
)

const maxEventBytes = 1 << 20 // bytes; an engine that sends more without the end of an event is faulty

// eventSplitter cuts a stream into events. An event ends with an empty line.
type eventSplitter struct {
	buf []byte
}

// feed takes bytes of the stream and returns the whole events among all bytes so far; the result is valid until the
// next call.
func (s *eventSplitter) feed(data []byte) []byte {
	s.buf = append(s.buf, data...)
	end := completeEventsEnd(s.buf)
	return s.buf[:end]
}

// consume drops the events that feed returned.
func (s *eventSplitter) consume(n int) {
	s.buf = append(s.buf[:0], s.buf[n:]...)
}

// hasPartial reports whether a part of an event is left.
func (s *eventSplitter) hasPartial() bool { return len(s.buf) > 0 }

// tooLong reports whether an event has more bytes than may be kept.
func (s *eventSplitter) tooLong() bool { return len(s.buf) > maxEventBytes }

// eventTimes is when the events of a stream were passed on.
type eventTimes struct {
	first        time.Duration // from the arrival of the request to the first event
	last         time.Time
	longestPause time.Duration // between two events
}

// record notes that events of a request that began at a time are record on.
func (t *eventTimes) record(began, now time.Time) {
	if t.last.IsZero() {
		t.first = now.Sub(began)
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.last))
	}
	t.last = now
}

// completeEventsEnd returns the offset behind the last whole event.
func completeEventsEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

const noEventID = int64(-1) // in place of an event ID

// eventRange is what the IDs of whole events tell. An event without a number does not count.
type eventRange struct {
	count      int
	first      int64 // noEvent if there is none
	increasing bool  // each ID is higher than the one before it
	last       int64 // noEvent if there is none
}

// parseEventRange reads the IDs of whole events.
func parseEventRange(events []byte) eventRange {
	r := eventRange{first: noEventID, last: noEventID, increasing: true}
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		r.count++
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			continue
		}
		if r.first == noEventID {
			r.first = id
		}
		r.increasing = r.increasing && id > r.last
		r.last = id
	}
	return r
}

// follows reports whether the events may come after the one with an ID.
func (r eventRange) follows(id int64) bool {
	return r.increasing && (r.first == noEventID || r.first > id)
}
