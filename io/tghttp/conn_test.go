package tghttp_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
)

// endedConn is a connection that reads as ended by its peer. Its writes return writeErrs, one after the other; a write after
// those lasts until the write deadline.
type endedConn struct {
	net.Conn

	deadline  chan struct{} // closed by SetWriteDeadline
	writeErrs []error
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

func (c *endedConn) Write(p []byte) (int, error) {
	if len(c.writeErrs) == 0 {
		<-c.deadline
		return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
	}
	err := c.writeErrs[0]
	c.writeErrs = c.writeErrs[1:]
	if err != nil {
		return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)}
	}
	return len(p), nil
}

// Guards against a failure of the connection that a write got and that reads take for the end of the answer, and against a
// proper end of the answer that counts as a failure since the request was not written to its end.
func TestEndAfterFailedWrite(t *testing.T) {
	for name, c := range map[string]struct {
		writeErrs  []error
		unfinished bool // another write is in progress
		want       error
	}{
		"peer ended before":   {writeErrs: []error{syscall.EPIPE}, want: io.EOF},
		"reset":               {writeErrs: []error{syscall.ECONNRESET}, want: syscall.ECONNRESET},
		"reset, then another": {writeErrs: []error{nil, syscall.ECONNRESET, syscall.EPIPE}, want: syscall.ECONNRESET},
		"timeout":             {writeErrs: []error{syscall.ETIMEDOUT}, want: syscall.ETIMEDOUT},
		"unreachable":         {writeErrs: []error{syscall.EHOSTUNREACH}, want: syscall.EHOSTUNREACH},
		"unfinished":          {unfinished: true, want: io.EOF},
		"written":             {writeErrs: []error{nil}, want: io.EOF},
		"written, unfinished": {writeErrs: []error{nil}, unfinished: true, want: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := tghttp.NewConn(&endedConn{deadline: make(chan struct{}), writeErrs: c.writeErrs})
				for range c.writeErrs {
					_, _ = conn.Write([]byte("x")) // Read shows the errors
				}
				if c.unfinished {
					go func() { _, _ = conn.Write([]byte("x")) }()
					synctest.Wait()
				}
				_, err := conn.Read(make([]byte, 1))
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
			})
		})
	}
}
