package tghttp_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tgstandin"
)

// Guards against a part of an answer that counts as the whole one: the server answers a long request without a length before
// it has read it and resets the connection while it is still being written.
func TestClientRefusesEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	const (
		longBodyBytes = 8 << 20 // more than the system takes for a server that does not read
		runs          = 20
	)
	for _, bodyBytes := range []int{1, longBodyBytes} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			s, err := tgstandin.NewEarlyResetServer("HTTP/1.1 200 OK\r\n\r\n{}", delay)
			assert.NilError(t, err)
			for range runs {
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				req.Header.SetMethod(fasthttp.MethodPost)
				req.SetRequestURI("http://" + s.Address().String())
				req.SetBody(make([]byte, bodyBytes))
				err := tghttp.NewClient().Do(req, resp)
				assert.Assert(t, err != nil, "%d bytes, reset after %v: body %q", bodyBytes, delay, resp.Body())
			}
			assert.NilError(t, s.Close())
		}
	}
}

// Guards against a part of an answer over TLS that counts as the whole one: without a length, the end of the connection ends
// the answer only if the server has announced it.
func TestTLSClientRefusesUnannouncedEnd(t *testing.T) {
	cfg, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	for _, c := range []struct {
		head      string
		announced bool
		whole     bool
	}{
		{head: "", announced: true, whole: true},
		{head: "", announced: false, whole: false},
		{head: "Content-Length: 4\r\n", announced: false, whole: true},
		{head: "Content-Length: 5\r\n", announced: true, whole: false},
	} {
		t.Run(fmt.Sprintf("%q announced=%t", c.head, c.announced), func(t *testing.T) {
			s, err := tgstandin.ServeConns(func(conn net.Conn) {
				secure := tls.Server(conn, cfg)
				var req fasthttp.Request
				if req.Read(bufio.NewReader(secure)) != nil {
					return
				}
				_, _ = secure.Write([]byte("HTTP/1.1 200 OK\r\n" + c.head + "\r\nbody")) // the client shows what came
				if c.announced {
					_ = secure.Close()
				}
			})
			assert.NilError(t, err)
			_, body, err := tghttp.NewTLSClient(cfg).Get(nil, "https://"+s.Address().String())
			assert.Equal(t, err == nil, c.whole, "body %q, error %v", body, err)
			assert.NilError(t, s.Close())
		})
	}
}
