package tgproxy

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against events that are accepted out of order.
func TestEventRange(t *testing.T) {
	for name, c := range map[string]struct {
		after  int64
		events string
		want   bool
	}{
		"first":          {after: noEventID, events: "id: 0\n\n", want: true},
		"next":           {after: 1, events: "id: 2\ndata: x\n\nid: 3\n\n", want: true},
		"noNumber":       {after: 5, events: "id: x\n\n", want: true},
		"noID":           {after: 5, events: "data: x\n\n", want: true},
		"repeated":       {after: 2, events: "id: 2\n\n"},
		"repeatedWithin": {after: noEventID, events: "id: 2\n\nid: 2\n\n"},
		"withGap":        {after: 2, events: "id: 9\n\n", want: true},
		"decreasing":     {after: noEventID, events: "id: 2\n\nid: 1\n\n"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, parseEventRange([]byte(c.events)).follows(c.after), c.want) })
	}
}

// Guards against an upstream that exhausts the memory with an event that never ends.
func TestEventTooLong(t *testing.T) {
	var s eventSplitter
	s.consume(len(s.feed([]byte("id: 1\n\n"))))
	assert.Assert(t, !s.tooLong())
	for range maxEventBytes / 1024 {
		s.feed([]byte(strings.Repeat("x", 1024)))
	}
	assert.Assert(t, !s.tooLong())
	s.feed([]byte("x"))
	assert.Assert(t, s.tooLong())
}

// Guards against bytes that are lost, duplicated or forwarded before their event is complete, wherever a stream is split.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var s eventSplitter
		var forwarded []byte
		for rest := stream; len(rest) > 0; {
			n := min(int(step)+1, len(rest))
			complete := s.feed(rest[:n])
			parseEventRange(complete)
			endsEvent := bytes.HasSuffix(complete, []byte("\n\n")) || bytes.HasSuffix(complete, []byte("\r\n\r\n"))
			assert.Assert(t, len(complete) == 0 || endsEvent)
			forwarded = append(forwarded, complete...)
			s.consume(len(complete))
			rest = rest[n:]
		}
		assert.Assert(t, bytes.Equal(append(forwarded, s.buf...), stream))
	})
}
