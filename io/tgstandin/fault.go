package tgstandin

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// InvalidStatuses are status codes that HTTP does not have, as a server in trouble may send them.
var InvalidStatuses = []string{"000", "001", "099", "600", "700", "999", "+20", "-01", "20", "2000", "2xx", ""}

// ReplyWithStatus returns a reply with the given status code, which need not be valid, and body.
func ReplyWithStatus(code, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s OK\r\nContent-Length: %d\r\n\r\n%s", code, len(body), body)
}

// FixedReplyServer counts the requests that reach it and answers each with the same bytes, which need not be valid HTTP.
type FixedReplyServer struct {
	Conns     atomic.Int64
	Requests  atomic.Int64
	keepAlive bool
	listener  net.Listener
	replies   []string // one for each request of a connection; the last one also for those after it
}

// NewFixedReplyServer returns a server on a loopback port that answers each request with the unchanged bytes of reply.
// It closes the connection afterwards unless keepAlive is set.
func NewFixedReplyServer(reply string, keepAlive bool) (*FixedReplyServer, error) {
	return serveReplies([]string{reply}, keepAlive)
}

// NewRepliesServer returns a server like that of NewFixedReplyServer which keeps its connections and answers the requests of
// each with one reply after another.
func NewRepliesServer(replies []string) (*FixedReplyServer, error) {
	return serveReplies(replies, true)
}

func serveReplies(replies []string, keepAlive bool) (*FixedReplyServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // a listener has no context
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	s := &FixedReplyServer{keepAlive: keepAlive, listener: listener, replies: replies}
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
	for i := 0; ; i++ {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		s.Requests.Add(1)
		reply := s.replies[min(i, len(s.replies)-1)]
		if _, err := c.Write([]byte(reply)); err != nil || !s.keepAlive {
			return
		}
	}
}
