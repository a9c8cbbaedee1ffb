package tglink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// dialBackoff is the time after a failed dial in which further dials fail immediately. Without it, each request to a
	// companion that is gone would wait for a dial of its own.
	dialBackoff = time.Second
	// minConnAge is the age from which a connection may be retired. Several exchanges may find the same connection silent
	// and retire it; the minimum age keeps each of them from retiring the replacement.
	minConnAge = time.Second
)

// peer manages the connection to one daemon.
type peer struct {
	dialToken    chan struct{} // of capacity 1; filled while a goroutine dials
	mu           sync.Mutex
	current      *connection // nil if the next exchange needs a new one
	dialFailedAt time.Time   // time of the last failed dial
	dialErr      error       // of the last dial; nil if it succeeded
	pathSuspect  bool        // a connection or a dial over the shared socket has failed, so new ones get sockets of their own
}

// connection is a connection to a peer. It is closed when it is retired and its last exchange has ended.
type connection struct {
	conn      *quic.Conn
	created   time.Time
	exchanges int // number of open exchanges; guarded by the peer's mu
	retired   bool
}

func newPeer() *peer { return &peer{dialToken: make(chan struct{}, 1)} }

// acquire returns the current connection, or a new one from dial, and counts one more exchange over it. Only one goroutine
// dials at a time; the others wait for its result.
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

// recentDialError returns the error of the last dial if it failed within dialBackoff.
func (p *peer) recentDialError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialErr == nil || time.Since(p.dialFailedAt) >= dialBackoff {
		return nil
	}
	return p.dialErr
}

// acquireCurrent returns the current connection and counts one more exchange over it, or returns nil if there is none.
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

// release counts one exchange less over c.
func (p *peer) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.exchanges--
	c.closeIfUnused()
}

// retireCurrent retires the current connection unless it is open and younger than minConnAge.
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
