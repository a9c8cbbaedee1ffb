package tglink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// minConnAge keeps exchanges that found the same connection silent from replacing each other's new one.
const minConnAge = time.Second

// peer is the connection to one daemon.
type peer struct {
	dialler chan struct{} // holds a token while one goroutine dials
	mu      sync.Mutex
	current *connection // nil if there is none to use
}

// connection is closed when it is retired and its last exchange has ended.
type connection struct {
	conn    *quic.Conn
	made    time.Time
	open    int // exchanges, under the peer's lock
	retired bool
}

func newPeer() *peer { return &peer{dialler: make(chan struct{}, 1)} }

// acquire returns the current connection, or a new one from dial, counted as used by one more exchange.
func (p *peer) acquire(ctx context.Context, dial func() (*quic.Conn, error)) (*connection, error) {
	if l := p.use(); l != nil {
		return l, nil
	}
	select {
	case p.dialler <- struct{}{}:
		defer func() { <-p.dialler }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for another dial")
	}
	if l := p.use(); l != nil {
		return l, nil
	}
	conn, err := dial()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = &connection{conn: conn, made: time.Now(), open: 1}
	return p.current, nil
}

func (p *peer) use() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || p.current.conn.Context().Err() != nil {
		return nil
	}
	p.current.open++
	return p.current
}

// release ends one exchange of l.
func (p *peer) release(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.open--
	l.closeIfUnused()
}

// forget retires the current connection unless it was made just now.
func (p *peer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.current
	if l == nil || l.conn.Context().Err() == nil && time.Since(l.made) < minConnAge {
		return
	}
	p.current = nil
	l.retired = true
	l.closeIfUnused()
}

func (l *connection) closeIfUnused() {
	if l.retired && l.open == 0 {
		_ = l.conn.CloseWithError(0, "replaced")
	}
}
