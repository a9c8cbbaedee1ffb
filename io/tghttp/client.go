package tghttp

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/valyala/fasthttp"
)

// NewClient returns a client that sends each request once and takes no answer without a status of HTTP.
func NewClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      CheckStatus(fasthttp.Dial),
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
		return newTLSStatusConn(tls.Client(conn, cfg)), nil
	}
	return c
}

// NeverRetry is a RetryIfErr function: a request that has failed may have been carried out.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// CheckStatus returns a dial function for clients of fasthttp. On its connections, the read that brings an answer without a
// status of HTTP fails.
func CheckStatus(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return &statusConn{Conn: conn}, nil
	}
}

// statusConn checks the status lines that are read from a connection, on which one request follows the answer to another.
type statusConn struct {
	net.Conn
	scanner StatusScanner // of the answer to the last request
}

// Read implements net.Conn.
func (c *statusConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.scanner.Scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *statusConn) Write(b []byte) (int, error) {
	c.scanner.Reset()
	return c.Conn.Write(b)
}

// tlsStatusConn is a statusConn over TLS. Its method Handshake tells fasthttp not to add TLS itself.
type tlsStatusConn struct {
	statusConn

	tls *tls.Conn
}

func newTLSStatusConn(conn *tls.Conn) *tlsStatusConn {
	return &tlsStatusConn{statusConn: statusConn{Conn: conn}, tls: conn}
}

// Handshake runs the TLS handshake if it has not run yet.
func (c *tlsStatusConn) Handshake() error { return c.tls.HandshakeContext(context.Background()) }
