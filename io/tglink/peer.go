package tglink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// dialBackoff is the time after a failed dial in which the next ones fail at once; without it every request to
	// a companion that is gone would wait for its own dial.
	dialBackoff = time.Second
	// minConnAge keeps exchanges that found the same connection silent from replacing each other's new one.
	minConnAge = time.Second
)

// peer is the connection to one daemon.
type peer struct {
	dialToken    chan struct{} // holds a token while one goroutine dials
	mu           sync.Mutex
	current      *connection // nil if there is none to use
	dialFailedAt time.Time   // of the last dial, if it failed
	dialErr      error
	pathSuspect  bool // a connection or a dial over the shared socket has failed, so new ones get sockets of their own
}

// connection is closed when it is retired and its last exchange has ended.
type connection struct {
	conn      *quic.Conn
	created   time.Time
	exchanges int // exchanges, under the peer's lock
	retired   bool
}

func newPeer() *peer { return &peer{dialToken: make(chan struct{}, 1)} }

// acquire returns the current connection, or a new one from dial, counted as used by one more exchange.
func (p *peer) acquire(ctx context.Context, dial func() (*quic.Conn, error)) (*connection, error) {
	if c := p.acquireCurrent(); c != nil {
		return c, nil
	}
	select {
	case p.dialToken <- struct{}{}:
		defer func() { <-p.dialToken }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for another dial")
	}
	if c := p.acquireCurrent(); c != nil {
		return c, nil
	}
	if err := p.recentDialError(); err != nil {
		return nil, err
	}
	conn, err := dial()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialErr = err
	if err != nil {
		p.dialFailedAt = time.Now()
		p.pathSuspect = true
		return nil, err
	}
	p.current = &connection{conn: conn, created: time.Now(), exchanges: 1}
	return p.current, nil
}

func (p *peer) recentDialError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialErr == nil || time.Since(p.dialFailedAt) >= dialBackoff {
		return nil
	}
	return p.dialErr
}

func (p *peer) acquireCurrent() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || p.current.conn.Context().Err() != nil {
		return nil
	}
	p.current.exchanges++
	return p.current
}

// needsOwnSocket reports whether the next connection needs a socket of its own.
func (p *peer) needsOwnSocket() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pathSuspect
}

// release ends one exchange of c.
func (p *peer) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.exchanges--
	c.closeIfUnused()
}

// retireCurrent retires the current connection unless it was made just now.
func (p *peer) retireCurrent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.current
	if c == nil || c.conn.Context().Err() == nil && time.Since(c.created) < minConnAge {
		return
	}
	p.current = nil
	p.pathSuspect = p.pathSuspect || c.conn.Context().Err() == nil
	c.retired = true
	c.closeIfUnused()
}

func (c *connection) closeIfUnused() {
	if c.retired && c.exchanges == 0 {
		_ = c.conn.CloseWithError(connCodeReplaced, "replaced")
	}
}
