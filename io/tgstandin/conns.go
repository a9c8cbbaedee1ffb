package tgstandin

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ConnServer passes each connection to a function. It is for servers whose bytes need not be valid HTTP.
type ConnServer struct {
	Conns    atomic.Int64 // accepted
	listener net.Listener
}

// ServeConns starts a server on a free loopback port. The function gets each connection in a goroutine of its own, and the
// server closes it afterwards.
func ServeConns(handle func(conn net.Conn)) (*ConnServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // a listener has no context
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	s := &ConnServer{listener: listener}
	go s.accept(handle)
	return s, nil
}

func (s *ConnServer) accept(handle func(conn net.Conn)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		go func() {
			defer closeConn(conn)
			handle(conn)
		}()
	}
}

// Address returns the address served.
func (s *ConnServer) Address() netip.AddrPort {
	address, _ := s.listener.Addr().(*net.TCPAddr)
	return address.AddrPort()
}

// Close stops accepting connections.
func (s *ConnServer) Close() error {
	return errors.Wrap(s.listener.Close(), "close listener")
}
