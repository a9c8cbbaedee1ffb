package tgentry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const callerPoll = 250 * time.Millisecond

// watchCallers cancels the calls whose callers have closed their connections, until ctx ends. fasthttp reports that
// only at a failed write, which a call that waits for its answer does not make.
func (e *Entry) watchCallers(ctx context.Context) {
	ticker := time.NewTicker(callerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.calls.Range(func(_ string, l *call) bool {
			if l.caller != nil && callerLeft(l.caller) {
				l.cancel(errCallerLeft)
			}
			return true
		})
	}
}

// rawConn returns the socket of c, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// callerLeft looks for the end of the connection without taking bytes of a next request.
func callerLeft(raw syscall.RawConn) bool {
	left := false
	var b [1]byte
	err := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err != nil || left
}
