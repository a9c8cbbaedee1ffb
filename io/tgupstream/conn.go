package tgupstream

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/io/tghttp"
)

// ErrReadTimeout reports that an upstream sent no byte within the read timeout.
var ErrReadTimeout = errors.New("upstream is silent")

// conn is a connection to the upstream that serves one request at a time.
type conn struct {
	net.Conn
	aborted      atomic.Bool // set by abort; reads then fail with context.Canceled
	br           *bufio.Reader
	bw           *bufio.Writer
	idleSince    time.Time            // when the last request ended
	readErr      error                // error of the last failed read of the current request
	readTimeout  time.Duration        // limit of each read; zero for none
	scanner      tghttp.AnswerScanner // of the answer to the current request
	writtenBytes int64                // bytes of the current request that were written to the socket
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c}
	n.br, n.bw = bufio.NewReaderSize(n, readBufferBytes), bufio.NewWriter(n)
	return n
}

// abort makes current and later reads and writes fail at once; it may be called concurrently with them.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// Read implements net.Conn. It fails with ErrReadTimeout if no byte arrives within readTimeout.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
		if c.aborted.Load() { // the new deadline may have replaced the one that abort set
			return 0, context.Canceled
		}
	}
	n, err := c.Conn.Read(p)
	if scanErr := c.scanner.Scan(p[:n]); scanErr != nil {
		n, err = 0, scanErr
	}
	if err == nil {
		return n, nil
	}
	var t net.Error
	switch {
	case c.aborted.Load():
		err = context.Canceled
	case errors.As(err, &t) && t.Timeout():
		err = ErrReadTimeout
	}
	c.readErr = err
	return n, err
}

// cause returns the read error behind err: fasthttp reports every failure of the first read as io.EOF.
func (c *conn) cause(err error) error {
	if errors.Is(c.readErr, ErrReadTimeout) || errors.Is(c.readErr, context.Canceled) {
		return c.readErr
	}
	return err
}

// Write implements net.Conn and counts the bytes written to the socket.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writtenBytes += int64(n)
	return n, err
}

// reset prepares the connection for another request.
func (c *conn) reset() {
	c.writtenBytes = 0
	c.scanner.Reset()
}

// usable reports whether an idle connection is still open and has no unread bytes. A request written to a connection that
// the upstream has closed may or may not have run, so such connections must be found before the request is written.
func (c *conn) usable() bool {
	return time.Since(c.idleSince) <= maxIdleTime && tghttp.IsQuiet(c.Conn, c.br)
}
