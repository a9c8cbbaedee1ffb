package tghttp

import (
	"bufio"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsQuiet reports whether a connection that carries no request is open and nothing has come on it since the last answer,
// neither in br, which may be nil, nor in its socket. Bytes that come then belong to no request.
func IsQuiet(conn net.Conn, br *bufio.Reader) bool {
	if br != nil && br.Buffered() > 0 {
		return false
	}
	n, err := peek(conn)
	return n == 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported))
}

// HasUnread reports whether the peer has sent bytes that were not read yet.
func HasUnread(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// peek looks at the next byte of a connection without reading it or waiting for it. It returns 0 bytes at the end of the
// connection, syscall.EAGAIN if there is none yet, and errors.ErrUnsupported if the connection is not a socket.
func peek(conn net.Conn) (n int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}
