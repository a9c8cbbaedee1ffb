package tghttp_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgstandin"
)

const informational = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

// Guards against an answer with a status that HTTP does not have, also after an informational response, that counts as one:
// 600 and above passed, and fasthttp takes 000 for 200.
func TestInvalidStatus(t *testing.T) {
	for _, before := range []string{"", informational} {
		for _, code := range tgstandin.InvalidStatuses {
			answer := before + tgstandin.ReplyWithStatus(code, "x")
			_, err := tghttp.ReadResponse(bufio.NewReader(strings.NewReader(answer)), http.MethodGet)
			assert.Assert(t, isSyntaxError(err), "read %q: %v", answer, err)
			for cut := range answer {
				var s tghttp.AnswerScanner
				err := s.Scan([]byte(answer[:cut]))
				if err == nil {
					err = s.Scan([]byte(answer[cut:]))
				}
				assert.Assert(t, isSyntaxError(err), "scan %q, cut at %d: %v", answer, cut, err)
			}
		}
	}
	_, err := tghttp.ReadResponse(bufio.NewReader(strings.NewReader(tgstandin.ReplyWithStatus("101", ""))), http.MethodGet)
	assert.Assert(t, isSyntaxError(err), "nobody asks to switch protocols: %v", err)
}

func isSyntaxError(err error) bool {
	var syntax *tghttp.SyntaxError
	return errors.As(err, &syntax)
}

// Guards against a check of status lines that refuses proper answers, wherever their bytes are cut, or that takes a body for
// a status line.
func TestValidStatus(t *testing.T) {
	for _, code := range []string{"200", "204", "299", "301", "404", "599"} {
		for _, before := range []string{"", "\r\n", informational, informational + informational} {
			answer := before + tgstandin.ReplyWithStatus(code, "HTTP/1.1 000 x\r\n\r\nHTTP/1.1 000 x\r\n")
			for cut := range answer {
				var s tghttp.AnswerScanner
				assert.NilError(t, s.Scan([]byte(answer[:cut])), "%q, cut at %d", answer, cut)
				assert.NilError(t, s.Scan([]byte(answer[cut:])), "%q, cut at %d", answer, cut)
				s.Reset()
				assert.NilError(t, s.Scan([]byte("HTTP/1.0 200\n\n")))
			}
		}
	}
}

// Guards against a client of fasthttp that takes 000 for 200, on a new connection and on one in use again.
func TestClientRefusesInvalidStatus(t *testing.T) {
	reply := tgstandin.ReplyWithStatus("200", "x")
	for _, first := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		for _, code := range tgstandin.InvalidStatuses {
			s, err := tgstandin.NewFixedReplyServer(first+tgstandin.ReplyWithStatus(code, "x"), true)
			assert.NilError(t, err)
			status, _, err := tghttp.NewClient().Get(nil, "http://"+s.Address().String())
			assert.Assert(t, err != nil, "status %q became %d", code, status)
			assert.NilError(t, s.Close())
		}
	}
	s, err := tgstandin.NewFixedReplyServer(reply, true)
	assert.NilError(t, err)
	c := tghttp.NewClient()
	for range 3 {
		status, body, err := c.Get(nil, "http://"+s.Address().String())
		assert.NilError(t, err)
		assert.Equal(t, status, fasthttp.StatusOK)
		assert.Equal(t, string(body), "x")
	}
	assert.Equal(t, s.Conns.Load(), int64(1))
	assert.NilError(t, s.Close())
}
