package tgstandin

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"

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
	*ConnServer

	Requests  atomic.Int64
	keepAlive bool
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
	s := &FixedReplyServer{keepAlive: keepAlive, replies: replies}
	var err error
	s.ConnServer, err = ServeConns(s.serve)
	return s, err
}

func (s *FixedReplyServer) serve(c net.Conn) {
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
