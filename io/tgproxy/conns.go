package tgproxy

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

const (
	dialTimeout                = 400 * time.Millisecond
	upstreamBufferBytes        = 4 << 10
	idleTimeoutFraction        = 0.7             // fraction of the upstream's idle timeout for which a connection is reused
	defaultUpstreamIdleTimeout = 4 * time.Second // for an upstream that announces none
	keepAliveProbes            = 2
	keepAliveInterval          = time.Second
	sweepInterval              = time.Second             // between removals of expired connections
	optTCPUserTimeout          = 18                      // Linux socket option TCP_USER_TIMEOUT
	unackedTimeout             = 1200 * time.Millisecond // a connection ends when sent data stays unacknowledged for longer
)

// errConnectionLimit means that all of this process's share of the upstream's connections is in use.
var errConnectionLimit = errors.New("all connections to the upstream are in use")

// NewDialer returns a dialer whose connections end when the peer stops responding.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// The error does not matter: a kernel without the option detects a dead peer later, by keep-alive.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unackedTimeout.Milliseconds()))
			})
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Count: keepAliveProbes, Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval,
		},
		Timeout: dialTimeout,
	}
}

// upstreamConn is a connection to one incarnation of an upstream; it carries one request at a time.
type upstreamConn struct {
	*tghttp.Conn

	br          *bufio.Reader
	openedAt    time.Time
	expires     time.Time // not reused from then on
	lastAttempt string    // ID of the attempt that it carried last, of whose answer a second copy may still come
	started     time.Time // of the incarnation; zero if not known
	upstreamID  string
}

// belongsTo reports whether the connection is that of an incarnation of an upstream.
func (c *upstreamConn) belongsTo(u tgcatalog.Upstream) bool {
	return c.upstreamID == u.ID && c.started.Equal(u.Started)
}

// hasCarried reports whether a late copy of an answer on the connection could not be told from the answer to the call.
func (c *upstreamConn) hasCarried(k *call) bool {
	return c.lastAttempt == k.id || slices.Contains(k.conns, c)
}

// connPool keeps the idle connections to upstreams and counts the open ones.
type connPool struct {
	dialer    *net.Dialer
	idle      map[netip.AddrPort][]*upstreamConn // by address, the ones opened first last
	lastSweep time.Time
	mu        sync.Mutex             // guards idle, lastSweep and openCount
	openCount map[netip.AddrPort]int // idle or in use, by address
}

func newConnPool() *connPool {
	return &connPool{dialer: NewDialer(), idle: map[netip.AddrPort][]*upstreamConn{}, openCount: map[netip.AddrPort]int{}}
}

// get returns an idle connection to u that may carry the call, or dials a new one. The address has at most limit open
// connections; a limit of 0 sets no bound.
func (p *connPool) get(ctx context.Context, u tgcatalog.Upstream, k *call, limit int) (*upstreamConn, error) {
	addr := u.Address
	for {
		c, former := p.popIdle(u, k)
		for _, f := range former {
			p.discard(addr, f)
		}
		if c == nil {
			break
		}
		if c.usable() {
			c.lastAttempt = k.id
			return c, nil
		}
		p.discard(addr, c)
	}
	if !p.reserve(addr, limit) {
		return nil, errConnectionLimit
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		p.release(addr)
		return nil, err
	}
	checked := tghttp.NewConn(conn)
	return &upstreamConn{
		Conn: checked, br: bufio.NewReaderSize(checked, upstreamBufferBytes), openedAt: time.Now(), lastAttempt: k.id,
		started: u.Started, upstreamID: u.ID,
	}, nil
}

// popIdle removes and returns the idle connection to u that was opened first and may carry the call, or nil, and those at
// its address that belong to other incarnations. So the connections that a burst or a second try needed are the ones that
// expire.
func (p *connPool) popIdle(u tgcatalog.Upstream, k *call) (c *upstreamConn, former []*upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[u.Address]
	for i := len(list) - 1; i >= 0 && c == nil; i-- {
		switch {
		case !list[i].belongsTo(u):
			former = append(former, list[i])
		case !list[i].hasCarried(k):
			c = list[i]
		default:
			continue
		}
		list = slices.Delete(list, i, i+1)
	}
	p.idle[u.Address] = list
	return c, former
}

func (p *connPool) reserve(addr netip.AddrPort, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.openCount[addr] >= limit {
		return false
	}
	p.openCount[addr]++
	return true
}

func (p *connPool) release(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[addr]--; p.openCount[addr] <= 0 {
		delete(p.openCount, addr)
	}
}

// put keeps a connection whose response was read to its end for reuse; idleFor is the upstream's idle timeout.
func (p *connPool) put(addr netip.AddrPort, c *upstreamConn, idleFor time.Duration) {
	now := time.Now()
	c.expires = now.Add(time.Duration(idleTimeoutFraction * float64(idleFor)))
	p.mu.Lock()
	expired := p.removeExpired(now)
	list := p.idle[addr]
	at, _ := slices.BinarySearchFunc(list, c, func(a, b *upstreamConn) int { return b.openedAt.Compare(a.openedAt) })
	p.idle[addr] = slices.Insert(list, at, c)
	p.mu.Unlock()
	for _, e := range expired {
		p.discard(e.addr, e.conn)
	}
}

type expiredConn struct {
	addr netip.AddrPort
	conn *upstreamConn
}

// removeExpired removes and returns the expired idle connections, in any position of their list: an upstream may announce
// another idle timeout with each answer. The caller holds mu.
func (p *connPool) removeExpired(now time.Time) []expiredConn {
	if now.Sub(p.lastSweep) < sweepInterval {
		return nil
	}
	p.lastSweep = now
	var expired []expiredConn
	for addr, list := range p.idle {
		valid := slices.DeleteFunc(list, func(c *upstreamConn) bool {
			hasExpired := !now.Before(c.expires)
			if hasExpired {
				expired = append(expired, expiredConn{addr, c})
			}
			return hasExpired
		})
		if p.idle[addr] = valid; len(valid) == 0 {
			delete(p.idle, addr)
		}
	}
	return expired
}

// usable reports whether an idle connection can carry a request: it has not expired, the peer has not closed it, and
// no unsolicited bytes have arrived on it.
func (c *upstreamConn) usable() bool {
	return time.Now().Before(c.expires) && tghttp.IsQuiet(c.NetConn(), c.br)
}

// hasUnread reports whether the peer has sent bytes that were not read yet.
func hasUnread(conn net.Conn) bool { return tghttp.HasUnread(conn) }

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// discard closes a connection and no longer counts it as open.
func (p *connPool) discard(addr netip.AddrPort, c *upstreamConn) {
	c.abort()
	p.release(addr)
}

// abort resets the connection and drops what has not left this VM, so that a request does not reach the upstream after
// it was abandoned.
func (c *upstreamConn) abort() { reset(c.NetConn()) }

// reset closes a connection in such a way that the peer does not take it for the end of what was sent.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	_ = conn.Close() // the error does not matter, as the connection is not used again
}
