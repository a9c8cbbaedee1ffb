package tgentry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callerPollInterval = 250 * time.Millisecond // between checks of the callers' connections
	// writeGracePeriod bounds the time that writing the rest of an answer may take after its call has ended.
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

// watchCallers polls the connections of all calls until ctx ends. It cancels calls whose callers have closed their
// connections: fasthttp notices that only when a write fails, and a call that waits for its answer does not write. It
// also aborts writes to callers that do not read the rest of their answer within writeGracePeriod after their call ended.
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

// disconnected reports whether the caller has closed the connection. It peeks at the socket, so that bytes of a
// pipelined request stay unread.
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
