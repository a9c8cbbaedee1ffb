package tgstandin

import (
	"bufio"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// LongRequestBytes is more than the system takes from a client and keeps for a server that does not read.
const LongRequestBytes = 8 << 20

// earlyResetRuns is how often each moment of a reset is tried: which call gets the failure of a connection differs.
const earlyResetRuns = 20

// CheckEarlyReset returns an error if a client, which call runs with a request of LongRequestBytes, takes reply although the
// connection was reset behind it while the request was still being written. Without a length, reply may only be a part.
func CheckEarlyReset(reply string, call func(server netip.AddrPort) error) error {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		s, err := NewEarlyResetServer(reply, delay)
		if err != nil {
			return err
		}
		for range earlyResetRuns {
			if call(s.Address()) == nil {
				return errors.Newf("the client takes %q, reset after %v", reply, delay)
			}
		}
		if n := s.Conns.Load(); n != earlyResetRuns {
			return errors.Newf("%d of %d requests reached the server", n, earlyResetRuns)
		}
		if err := s.Close(); err != nil {
			return err
		}
	}
	return nil
}

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
