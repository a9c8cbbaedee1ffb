package tganswer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

func readAll(r *tganswer.Reader) (body string, ended bool) {
	var f tgframe.Frame
	for r.Read(&f) {
		if f.Chunk != nil {
			body += string(f.Chunk.Data)
		}
		if f.End != nil {
			return body, true
		}
	}
	return body, false
}

// Guards against a buffer that grows without bound, and against dropped chunks that a reader has not read.
func TestBufferIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := tganswer.NewBuffer(0, 4)
		slow, _ := b.NewReader(0)
		fast, _ := b.NewReader(0)
		assert.NilError(t, b.Append(t.Context(), []byte("ab"), []byte("cd")))
		done := make(chan error, 1)
		go func() { done <- b.Append(t.Context(), []byte("ef")) }()
		body, _ := readAll(fast)
		assert.Equal(t, body, "abcd")
		synctest.Wait()
		assert.Equal(t, len(done), 0, "appended beyond the limit while a reader was behind")
		body, _ = readAll(slow)
		assert.Equal(t, body, "abcd")
		assert.NilError(t, <-done)
		_, ok := b.NewReader(0)
		assert.Assert(t, !ok, "reader of dropped chunks")
		late, ok := b.NewReader(1)
		assert.Assert(t, ok)
		b.Finish(tgframe.End{Outcome: tgcall.Answered})
		body, ended := readAll(late)
		assert.Equal(t, body, "cdef")
		assert.Assert(t, ended)
		assert.Equal(t, b.End().Total, uint64(3))
	})
}

// Guards against a producer that waits for a reader after its context has ended, and against a recorded answer that is
// truncated at the limit without an error.
func TestBufferWithoutReader(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	b := tganswer.NewBuffer(0, 1)
	assert.NilError(t, b.Append(ctx, []byte("a")))
	assert.ErrorIs(t, b.Append(ctx, []byte("b")), context.Canceled)
	w := tganswer.NewRetainingBuffer(1)
	assert.NilError(t, w.Append(ctx, []byte("a")))
	assert.ErrorIs(t, w.Append(ctx, []byte("b")), tganswer.ErrTooLarge)
}

// Guards against events that are split or merged at the boundaries of reads, against bytes after the terminal event, and
// against an event without an end that grows without bound.
func TestEventSplitter(t *testing.T) {
	stream := "data: a\n\ndata: b\r\n\r\n: note\n\ndata: [DONE]\n\ndata: late\n\n"
	want := []string{"data: a\n\n", "data: b\r\n\r\n", ": note\n\n", "data: [DONE]\n\n"}
	for size := 1; size <= len(stream); size++ {
		var s tganswer.EventSplitter
		var got []string
		buf := make([]byte, size)
		for r := strings.NewReader(stream); r.Len() > 0; {
			n, _ := r.Read(buf)
			events, err := s.Split(buf[:n])
			assert.NilError(t, err)
			for _, e := range events {
				got = append(got, string(e))
			}
		}
		assert.DeepEqual(t, got, want)
		assert.Assert(t, s.Done())
	}
	var s tganswer.EventSplitter
	_, err := s.Split([]byte("data: cut"))
	assert.NilError(t, err)
	assert.Assert(t, !s.Done())
	_, err = s.Split(make([]byte, 5<<20))
	assert.ErrorIs(t, err, tganswer.ErrEventTooLarge)
}
