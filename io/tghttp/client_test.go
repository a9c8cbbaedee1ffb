package tghttp_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tgstandin"
)

// Guards against a part of an answer that counts as the whole one: the server answers a request without a length before it has
// read it and resets the connection, while a long request is still being written.
func TestClientRefusesEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	for _, bodyBytes := range []int{1, tgstandin.LongRequestBytes} {
		body := make([]byte, bodyBytes)
		assert.NilError(t, tgstandin.CheckEarlyReset("HTTP/1.1 200 OK\r\n\r\n{}", func(server netip.AddrPort) error {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetRequestURI("http://" + server.String())
			req.SetBodyRaw(body)
			return tghttp.NewClient().Do(req, resp)
		}), "%d bytes", bodyBytes)
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
