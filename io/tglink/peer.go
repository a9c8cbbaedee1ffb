package tglink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// dialPause is the time after a failed dial in which the next ones fail at once; without it every request to
	// a companion that is gone would wait for its own dial.
	dialPause = time.Second
	// minConnAge keeps exchanges that found the same connection silent from replacing each other's new one.
	minConnAge = time.Second
)

// peer is the connection to one daemon.
type peer struct {
	dialler chan struct{} // holds a token while one goroutine dials
	mu      sync.Mutex
	current *connection // nil if there is none to use
	failed  time.Time   // of the last dial, if it failed
	failure error
	suspect bool // a connection or a dial over the shared socket has failed, so new ones get sockets of their own
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
	if err := p.recentFailure(); err != nil {
		return nil, err
	}
	conn, err := dial()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = err
	if err != nil {
		p.failed = time.Now()
		p.suspect = true
		return nil, err
	}
	p.current = &connection{conn: conn, made: time.Now(), open: 1}
	return p.current, nil
}

func (p *peer) recentFailure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure == nil || time.Since(p.failed) >= dialPause {
		return nil
	}
	return p.failure
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

// isSuspect reports whether the next connection needs a socket of its own.
func (p *peer) isSuspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspect
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
	p.suspect = p.suspect || l.conn.Context().Err() == nil
	l.retired = true
	l.closeIfUnused()
}

func (l *connection) closeIfUnused() {
	if l.retired && l.open == 0 {
		_ = l.conn.CloseWithError(codeReplaced, "replaced")
	}
}
