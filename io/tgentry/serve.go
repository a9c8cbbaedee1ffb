package tgentry

import (
	"encoding/json"
	"io"

	"github.com/gofiber/fiber/v3"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

// An answer that is not streamed is buffered whole.
const (
	maxBufferedAnswerBytes = 64 << 20
	maxAnswersBytes        = 256 << 20 // of all such answers together
)

// serve runs the request and answers the caller. An answer is streamed event by event if the caller asked for a stream
// and the upstream sends one. Any other answer is sent as a whole, so that a failure becomes an error object with its
// status.
func (e *Entry) serve(c fiber.Ctx, x *tgframe.Execute) error {
	l := e.newCall(x, newCaller(c.RequestCtx().Conn()))
	body, failure := l.awaitAnswer()
	if failure != nil {
		l.close(failure)
		writeFailure(c.Response(), failure)
		return nil
	}
	c.Status(l.head.Status)
	for _, h := range l.head.Headers {
		c.Set(h.Name, h.Value)
	}
	if l.streaming {
		return c.SendStream(&streamBody{call: l})
	}
	l.close(nil)
	if l.head.Status >= fiber.StatusBadRequest {
		// An error that the upstream itself returned is a complete answer; the header tells it from errors of the entry.
		c.Set(headerOutcome, string(tgcall.Answered))
	}
	return c.Send(body)
}

// awaitAnswer runs the call until its answer is complete, and returns the body, or until it turns out to be a stream.
func (l *call) awaitAnswer() ([]byte, *tgcall.Failure) {
	body := []byte{}
	for {
		p, failure := l.next()
		switch {
		case failure != nil:
			return nil, failure
		case p.Kind == tganswer.PartHead:
			body = body[:0]
			l.answerMemory.ReleaseTo(0)
			if l.streaming {
				return nil, nil
			}
		case p.Kind == tganswer.PartChunk:
			if err := l.answerMemory.Reserve(len(p.Chunk)); err != nil {
				return nil, tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "%v by other answers", err)
			}
			if body = append(body, p.Chunk...); len(body) > maxBufferedAnswerBytes {
				return nil, tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "answer exceeds %d bytes", maxBufferedAnswerBytes)
			}
		case p.Kind == tganswer.PartEnd:
			return body, nil
		}
	}
}

// streamBody is the body of a streamed answer. The server reads it part by part and sends each at once.
type streamBody struct {
	call    *call
	done    bool
	pending []byte // received and not read yet
}

// Read implements io.Reader.
func (s *streamBody) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.done {
			return 0, io.EOF
		}
		s.fetch()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if n == 0 && s.done {
		return 0, io.EOF
	}
	return n, nil
}

// fetch waits for the next part. A failure ends the stream with an error event in place of the terminal event.
func (s *streamBody) fetch() {
	part, failure := s.call.next()
	switch {
	case failure != nil:
		s.finish(failure)
		if data, err := json.Marshal(newErrorBody(failure)); err == nil {
			s.pending = append(append([]byte("data: "), data...), "\n\n"...)
		}
	case part.Kind == tganswer.PartEnd:
		s.finish(nil)
	default:
		s.pending = part.Chunk
	}
}

// finish closes the call unless that was done before.
func (s *streamBody) finish(failure *tgcall.Failure) {
	if s.done {
		return
	}
	s.done = true
	s.call.close(failure)
}

// Close implements io.Closer; the server calls it after the last read or a failed write.
func (s *streamBody) Close() error {
	if !s.done {
		s.call.cancel(errCallerDisconnected)
		s.finish(s.call.contextFailure())
	}
	return nil
}
