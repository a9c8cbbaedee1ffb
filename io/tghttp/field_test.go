package tghttp_test

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgstandin"
)

// scanInParts scans an answer that arrives in two parts.
func scanInParts(s *tghttp.AnswerScanner, answer string, cut int) error {
	if err := s.Scan([]byte(answer[:cut])); err != nil {
		return err
	}
	return s.Scan([]byte(answer[cut:]))
}

// Guards against a check of field names that misses one whose line arrives in parts.
func TestScanInvalidFieldName(t *testing.T) {
	for _, answer := range tgstandin.RepliesWithInvalidField("body") {
		for cut := range answer {
			var s tghttp.AnswerScanner
			assert.Assert(t, isSyntaxError(scanInParts(&s, answer, cut)), "%q, cut at %d", answer, cut)
		}
	}
}

// Guards against a check of field names that refuses whole answers: it may take a body for a head or trailer.
func TestScanWholeAnswers(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked\r\n\r\n"
		data    = "X : 1\r\n\r\n X\r\n"
	)
	chunk := string(tghttp.AppendChunk(nil, []byte(data)))
	longName := strings.Repeat("x", 1<<10)
	answers := slices.Concat([]string{
		chunked + chunk + chunk + tghttp.LastChunk,
		chunked + strings.Replace(chunk, "\r", ";a=\"X : 1\"\r", 1) + "000\r\nX: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + data,
		"HTTP/1.1 200 OK\r\n" + longName + ": 1\r\n\r\n" + data,
		"HTTP/1.1 200 OK\r\nX:" + strings.Repeat(" X : 1", 1<<8) + "\r\n\r\n" + data,
		"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
	}, tgstandin.RepliesWithFieldLine("X-1: \x01 X : 1", ""), tgstandin.RepliesWithFieldLine("X-1: \x01 X : 1", data))
	var s tghttp.AnswerScanner
	for _, answer := range answers {
		for cut := range answer {
			assert.NilError(t, scanInParts(&s, answer, cut), "%q, cut at %d", answer, cut)
			s.Reset()
		}
	}
}

// readAnswer reads an answer and returns its body.
func readAnswer(answer string) (body string, err error) {
	br := bufio.NewReader(strings.NewReader(answer))
	r, err := tghttp.ReadResponse(br, http.MethodGet)
	if err != nil {
		return "", err
	}
	data, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(1 << 10)
	return string(data), err
}

// Guards against an answer that counts although the name of a field in a head or trailer holds a blank or a control byte.
func TestInvalidFieldName(t *testing.T) {
	for _, answer := range tgstandin.RepliesWithInvalidField("body") {
		body, err := readAnswer(answer)
		assert.Assert(t, isSyntaxError(err), "%q brought %q: %v", answer, body, err)
	}
	for _, answer := range tgstandin.RepliesWithFieldLine("X: 1", "body") {
		body, err := readAnswer(answer)
		assert.NilError(t, err, "%q", answer)
		assert.Equal(t, body, "body")
	}
}

// Guards against a client of fasthttp that takes such an answer: it ignores blanks around names, joins lines that begin with
// one, and passes on names with a blank inside.
func TestClientRefusesInvalidFieldName(t *testing.T) {
	for _, answer := range tgstandin.RepliesWithInvalidField("body") {
		s, err := tgstandin.NewFixedReplyServer(answer, false)
		assert.NilError(t, err)
		status, body, err := tghttp.NewClient().Get(nil, "http://"+s.Address().String())
		assert.Check(t, err != nil, "%q brought status %d and %q", answer, status, body)
		assert.NilError(t, s.Close())
	}
	for _, answer := range tgstandin.RepliesWithFieldLine("X: 1", "body") {
		s, err := tgstandin.NewFixedReplyServer(answer, false)
		assert.NilError(t, err)
		status, body, err := tghttp.NewClient().Get(nil, "http://"+s.Address().String())
		assert.NilError(t, err, "%q", answer)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, string(body), "body")
		assert.NilError(t, s.Close())
	}
}
