package tghttp

import (
	"context"
	"crypto/tls"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// NewClient returns a client that sends each request once and takes no answer with a status or field name that HTTP does not
// allow.
func NewClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      CheckAnswers(fasthttp.Dial),
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                NeverRetry,
	}
}

// NewTLSClient is NewClient over TLS; cfg names the server to verify.
func NewTLSClient(cfg *tls.Config) *fasthttp.Client {
	c := NewClient()
	c.TLSConfig = cfg
	c.Dial = func(addr string) (net.Conn, error) {
		conn, err := fasthttp.Dial(addr)
		if err != nil {
			return nil, err
		}
		return newTLSAnswerConn(tls.Client(&transportConn{Conn: conn}, cfg)), nil
	}
	return c
}

// NeverRetry is a RetryIfErr function: a request that has failed may have been carried out.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// CheckAnswers returns a dial function for clients of fasthttp. On its connections, the read that brings a status or field
// name that HTTP does not allow fails.
func CheckAnswers(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return &answerConn{Conn: conn}, nil
	}
}

// answerConn checks the answers that are read from a connection, on which one request follows the answer to another.
type answerConn struct {
	net.Conn
	scanner AnswerScanner // of the answer to the last request
}

// Read implements net.Conn.
func (c *answerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.scanner.Scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *answerConn) Write(b []byte) (int, error) {
	c.scanner.Reset()
	return c.Conn.Write(b)
}

// errNoCloseNotify means that a peer has not announced the end of what it sends over TLS.
var errNoCloseNotify = errors.New("connection ended without a TLS close notification")

// transportConn is the connection below TLS. Anybody on the way can end it, so its end is not that of an answer; crypto/tls
// takes io.EOF between two records for one.
type transportConn struct{ net.Conn }

// Read implements net.Conn. It returns errNoCloseNotify in place of io.EOF.
func (c *transportConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && errors.Is(err, io.EOF) {
		err = errNoCloseNotify
	}
	return n, err
}

// tlsAnswerConn is an answerConn over TLS. Its method Handshake tells fasthttp not to add TLS itself.
type tlsAnswerConn struct {
	answerConn

	tls *tls.Conn
}

func newTLSAnswerConn(conn *tls.Conn) *tlsAnswerConn {
	return &tlsAnswerConn{answerConn: answerConn{Conn: conn}, tls: conn}
}

// Handshake runs the TLS handshake if it has not run yet.
func (c *tlsAnswerConn) Handshake() error { return c.tls.HandshakeContext(context.Background()) }
