package tgupstream

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout  = time.Second
	maxIdleTime  = 4 * time.Second // below the 5 s after which common HTTP servers close idle connections
	maxIdleConns = 256             // further connections are closed after their request
)

// keepAlive detects an upstream that becomes unreachable while a request waits for its answer.
var keepAlive = net.KeepAliveConfig{Count: 3, Enable: true, Idle: 2 * time.Second, Interval: time.Second}

// pool holds idle connections; the most recently used one is reused first.
type pool struct {
	mu   sync.Mutex // guards idle
	dial func(ctx context.Context) (net.Conn, error)
	idle []*conn // the most recently used one is last
}

// acquire returns a usable idle connection, or a new one. With fresh it returns a new one: answers have no ID, so only a
// connection without earlier requests shows that an answer is not a late copy of another one.
func (p *pool) acquire(ctx context.Context, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop()
		if c == nil {
			break
		}
		if c.usable() {
			c.reset()
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// release keeps c for another request. The caller must have read the whole answer.
func (p *pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}
