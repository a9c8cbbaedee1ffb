package tgproxy

import (
	"bytes"
	"strconv"
	"time"
)

const maxEventBytes = 1 << 20 // an upstream that sends more bytes without completing an event is faulty

// eventSplitter splits a stream of server-sent events; an empty line ends an event.
type eventSplitter struct {
	buf []byte
}

// feed adds bytes of the stream to the buffer and returns the complete events in it; the result is valid until the
// next call.
func (s *eventSplitter) feed(data []byte) []byte {
	s.buf = append(s.buf, data...)
	end := completeEventsEnd(s.buf)
	return s.buf[:end]
}

// growth returns the memory that n more bytes of the stream may take.
func (s *eventSplitter) growth(n int) int {
	if len(s.buf)+n <= cap(s.buf) {
		return 0
	}
	return cap(s.buf) + n // append at most doubles the buffer
}

// consume drops the first n bytes of the buffer, those of the events that feed returned.
func (s *eventSplitter) consume(n int) {
	s.buf = append(s.buf[:0], s.buf[n:]...)
}

// hasPartial reports whether a part of an event is left in the buffer.
func (s *eventSplitter) hasPartial() bool { return len(s.buf) > 0 }

// tooLong reports whether the buffered event exceeds maxEventBytes.
func (s *eventSplitter) tooLong() bool { return len(s.buf) > maxEventBytes }

// eventTimes records when the events of a stream were forwarded.
type eventTimes struct {
	count        int           // of events
	first        time.Duration // from the arrival of the request to the first event
	last         time.Time     // of the last event; zero before the first
	longestPause time.Duration // between two events
}

// record notes that n events of a request that arrived at receivedAt are forwarded now.
func (t *eventTimes) record(n int, receivedAt, now time.Time) {
	t.count += n
	if t.last.IsZero() {
		t.first = now.Sub(receivedAt)
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.last))
	}
	t.last = now
}

// completeEventsEnd returns the offset behind the last complete event.
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

const noEventID = int64(-1) // stands for the absence of an event ID; accepted IDs are higher

// eventRange summarises the IDs of complete events. IDs that are not numbers count only towards count.
type eventRange struct {
	count      int   // lines with an ID
	first      int64 // noEventID if there is none
	increasing bool  // each ID is higher than the one before it
	last       int64 // noEventID if there is none
}

// parseEventRange parses the IDs of complete events.
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

// follows reports whether the events may be forwarded after the one with the given ID: their IDs increase from there.
func (r eventRange) follows(id int64) bool {
	return r.increasing && (r.first == noEventID || r.first > id)
}
