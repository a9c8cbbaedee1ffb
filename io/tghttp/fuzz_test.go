package tghttp

import (
	"bufio"
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against request heads that parse differently once they are written again, and against panics on malformed input.
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("POST /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := ReadRequest(br, 4096)
		if err != nil {
			return
		}
		b := AppendRequestLine(nil, r.Method, r.Target)
		for _, field := range r.Header {
			b = AppendField(b, field.Name, field.Value)
		}
		reparsed, err := ReadRequest(bufio.NewReader(bytes.NewReader(append(b, "\r\n"...))), 8192)
		if r.Minor == 0 {
			return // written as HTTP/1.1, which needs a Host header
		}
		assert.NilError(t, err)
		assert.DeepEqual(t, reparsed, r)
		body, _ := NewBody(br, r.Framing, r.Length).ReadAll(1 << 16) // any error is acceptable
		assert.Assert(t, len(body) <= 1<<16)
	})
}

// Guards against upstream responses that make the process panic or whose body grows without bound.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := ReadResponse(br, "GET")
		if err != nil {
			return
		}
		assert.Assert(t, r.Status >= 200 && r.Status <= 999)
		body, _ := NewBody(br, r.Framing, r.Length).ReadAll(1 << 16) // any error is acceptable
		assert.Assert(t, len(body) <= 1<<16)
	})
}

// Guards against a check of answers, wherever their bytes are cut, that refuses what ReadResponse and Body take.
func FuzzAnswerScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), 20)
	f.Add([]byte("HTTP/1.1 100 Continue\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n X : 1\r\n"), 30)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\nX: 1\r\n\r\n"), 55)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		source := bytes.NewReader(data)
		br := bufio.NewReader(source)
		r, err := ReadResponse(br, "GET")
		if err != nil {
			return
		}
		if _, err := NewBody(br, r.Framing, r.Length).ReadAll(1 << 16); err != nil {
			return
		}
		answer := data[:len(data)-source.Len()-br.Buffered()]
		cut = min(max(cut, 0), len(answer))
		var s AnswerScanner
		assert.NilError(t, s.Scan(answer[:cut]))
		assert.NilError(t, s.Scan(answer[cut:]))
	})
}
