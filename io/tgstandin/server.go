package tgstandin

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Server serves a stand-in on a loopback address.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// Serve starts serving handler on a free loopback port.
func Serve(handler fasthttp.RequestHandler) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // a listener has no context
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	s := &Server{
		http:     &fasthttp.Server{CloseOnShutdown: true, Handler: handler, NoDefaultServerHeader: true},
		listener: listener,
	}
	go s.http.Serve(listener) //nolint:errcheck // it ends when the listener is closed
	return s, nil
}

// Address returns the address served.
func (s *Server) Address() netip.AddrPort {
	address, _ := s.listener.Addr().(*net.TCPAddr)
	return address.AddrPort()
}

// Close stops accepting connections.
func (s *Server) Close() error {
	return errors.Wrap(s.listener.Close(), "close listener")
}

func closeConn(c net.Conn) { _ = c.Close() }
