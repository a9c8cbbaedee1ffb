package tgentry

import (
	"encoding/json"
	"io"

	"github.com/gofiber/fiber/v3"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

const maxBufferedAnswerBytes = 64 << 20 // of an answer that is not streamed and therefore held whole

// serve runs the request and answers the caller: event by event if the answer is a stream that was asked for,
// else as a whole, so that a failure is a proper error object.
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
		// The upstream's own error is a whole answer.
		c.Set(headerOutcome, string(tgcall.Answered))
	}
	return c.Send(body)
}

// awaitAnswer runs the call until its answer is whole or known to be a stream.
func (l *call) awaitAnswer() ([]byte, *tgcall.Failure) {
	body := []byte{}
	for {
		p, failure := l.next()
		switch {
		case failure != nil:
			return nil, failure
		case p.Kind == tganswer.PartHead:
			body = body[:0]
			if l.streaming {
				return nil, nil
			}
		case p.Kind == tganswer.PartChunk:
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
	pending []byte // not read yet
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

// fetch takes the next part. A failure ends the stream with an error event and without the terminal event.
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
