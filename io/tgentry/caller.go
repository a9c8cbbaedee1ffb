package tgentry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callerPollInterval = 250 * time.Millisecond
	// writeGracePeriod is the time that the rest of an answer may take after its call has ended.
	writeGracePeriod = 2 * time.Second
)

// caller is the connection that a call came from.
type caller struct {
	conn net.Conn
	raw  syscall.RawConn // nil if the connection has no socket
}

func newCaller(c net.Conn) *caller {
	s, ok := c.(syscall.Conn)
	if !ok {
		return &caller{conn: c}
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return &caller{conn: c}
	}
	return &caller{conn: c, raw: raw}
}

// watchCallers looks after the connections of all calls until ctx ends. It cancels the calls whose callers have closed
// their connections: fasthttp reports that only at a failed write, which a call that waits for its answer does not
// make. It ends writes to callers that take nothing after the end of their call.
func (e *Entry) watchCallers(ctx context.Context) {
	ticker := time.NewTicker(callerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.calls.Range(func(_ string, l *call) bool {
				l.watchCaller(now)
				return true
			})
		}
	}
}

func (l *call) watchCaller(now time.Time) {
	switch {
	case l.caller == nil:
	case l.ctx.Err() == nil:
		if l.caller.disconnected() {
			l.cancel(errCallerDisconnected)
		}
	case l.endSeenAt.IsZero():
		l.endSeenAt = now
	case now.Sub(l.endSeenAt) > writeGracePeriod:
		_ = l.caller.conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// disconnected looks for the end of the connection without taking bytes of a next request.
func (c *caller) disconnected() bool {
	if c.raw == nil {
		return false
	}
	left := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err != nil || left
}
