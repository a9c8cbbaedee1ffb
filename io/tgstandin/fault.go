package tgstandin

import (
	"bufio"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// FixedReplyServer counts the requests that reach it and answers each with the same bytes, which need not be valid HTTP.
type FixedReplyServer struct {
	Conns     atomic.Int64
	Requests  atomic.Int64
	keepAlive bool
	listener  net.Listener
	reply     string
}

// NewFixedReplyServer returns a server on a loopback port that answers each request with the unchanged bytes of reply.
// It closes the connection afterwards unless keepAlive is set.
func NewFixedReplyServer(reply string, keepAlive bool) (*FixedReplyServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // a listener has no context
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	s := &FixedReplyServer{keepAlive: keepAlive, listener: listener, reply: reply}
	go s.accept()
	return s, nil
}

// Address returns the address served.
func (s *FixedReplyServer) Address() netip.AddrPort {
	address, _ := s.listener.Addr().(*net.TCPAddr)
	return address.AddrPort()
}

// Close stops accepting connections.
func (s *FixedReplyServer) Close() error {
	return errors.Wrap(s.listener.Close(), "close listener")
}

func (s *FixedReplyServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		go s.serve(c)
	}
}

func (s *FixedReplyServer) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // the fault is the point
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		s.Requests.Add(1)
		if _, err := c.Write([]byte(s.reply)); err != nil || !s.keepAlive {
			return
		}
	}
}
