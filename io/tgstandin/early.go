package tgstandin

import (
	"bufio"
	"net"
	"time"
)

// NewEarlyResetServer returns a server on a loopback port that answers each request with the unchanged bytes of reply before
// it has read the body of the request, and resets the connection after delay.
func NewEarlyResetServer(reply string, delay time.Duration) (*ConnServer, error) {
	return ServeConns(func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for line, err := r.ReadString('\n'); line != "\r\n"; line, err = r.ReadString('\n') {
			if err != nil {
				return
			}
		}
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
		time.Sleep(delay)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes the close that follows a reset
		}
	})
}
