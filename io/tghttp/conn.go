package tghttp

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection to a server on which a request may still be written while its answer is read.
//
// The system reports the failure of a connection, such as a reset by the peer, to one call only. If that is the write of the
// request, reads end with io.EOF, as after an end that the peer has sent, and an answer that ends with its connection looks
// whole. A Conn returns the failure from Read, too.
type Conn struct {
	net.Conn

	failure error      // of the connection, as a write has got it; nil if none has; guarded by writing
	writing sync.Mutex // held by the write in progress
}

// NewConn returns a Conn over conn. All reads and writes have to go through it; IsQuiet looks at conn itself, between two
// requests.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns io.EOF only if the peer has ended its direction of the connection; the write in
// progress ends then.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
		if failure := c.endWrite(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// endWrite ends the write in progress and returns the failure of the connection if a write has got it. Only the end of the
// write shows whether it has.
func (c *Conn) endWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection was closed, which ends the write as well
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.observeWrite(err)
	return n, err
}

// WriteBuffers writes all of bufs.
func (c *Conn) WriteBuffers(bufs net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := bufs.WriteTo(c.Conn)
	c.observeWrite(err)
	return err
}

// observeWrite keeps the failure that a write has got. EPIPE is none: another call has got the failure, or the peer had
// ended its direction before. The caller holds writing.
func (c *Conn) observeWrite(err error) {
	if err == nil || c.failure != nil || errors.IsAny(err, os.ErrDeadlineExceeded, syscall.EPIPE) {
		return
	}
	c.failure = errors.Wrap(err, "connection failed while the request was written")
}
