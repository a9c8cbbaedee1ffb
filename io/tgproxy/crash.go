package tgproxy

import (
	"context"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/io/tghttp"
)

const (
	crashCheckPause   = 20 * time.Millisecond
	crashCheckTimeout = 200 * time.Millisecond
	// After this time, an upstream has begun the answer to most requests.
	withdrawnCheckDelay = 300 * time.Millisecond
	crashCheckTTL       = 500 * time.Millisecond // for which the result of a check holds; an upstream needs longer to restart
	peerCrashWindow     = 500 * time.Millisecond // for what peers tell of a crash to arrive
)

// crashChecker finds out whether an upstream whose connection has ended still accepts connections. The streams of an
// upstream break together, so they share one check.
type crashChecker struct {
	mu     sync.Mutex
	checks map[netip.AddrPort]*crashCheck
}

type crashCheck struct {
	done    chan struct{} // closed when hasEnded is set
	ended   bool
	started time.Time
}

// hasEnded reports whether the upstream at addr accepts no connections any more. Of other checks it takes a negative result
// only if they began after this call: the upstream may have ended in between.
func (k *crashChecker) hasEnded(p *connPool, addr netip.AddrPort) bool {
	called := time.Now()
	for {
		c, isOwn := k.join(addr)
		if isOwn {
			c.ended = p.refusesConnections(addr)
			k.finish(addr, c)
		}
		<-c.done
		if c.ended || !c.started.Before(called) {
			return c.ended
		}
	}
}

// join returns the check of an address that is in progress or has found that the upstream has ended, or else a new one.
func (k *crashChecker) join(addr netip.AddrPort) (c *crashCheck, isNew bool) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if c, ok := k.checks[addr]; ok && now.Sub(c.started) < crashCheckTTL {
		return c, false
	}
	c = &crashCheck{done: make(chan struct{}), started: now}
	k.checks[addr] = c
	return c, true
}

// finish ends a check; only a positive result is kept, for crashCheckTTL.
func (k *crashChecker) finish(addr netip.AddrPort, c *crashCheck) {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(c.done)
	for a, other := range k.checks {
		if time.Since(other.started) > crashCheckTTL || a == addr && !c.ended {
			delete(k.checks, a)
		}
	}
}

// wait returns when no check is in progress that was when it was called.
func (k *crashChecker) wait() {
	k.mu.Lock()
	checks := slices.Collect(maps.Values(k.checks))
	k.mu.Unlock()
	for _, c := range checks {
		<-c.done
	}
}

// refusesConnections reports whether new connections to an address are refused or not answered. A connection that ends at
// once may have met a process that is just ending, so another one is tried then.
func (p *connPool) refusesConnections(addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	for try := range 2 {
		time.Sleep(time.Duration(try) * crashCheckPause)
		conn, err := p.dialer.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err)
		}
		ended := endsAtOnce(conn)
		_ = conn.Close() // nothing was sent
		if !ended {
			return false
		}
	}
	return false
}

// endsAtOnce reports whether the peer ends a new connection within crashCheckPause.
func endsAtOnce(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(crashCheckPause)) != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !isTimeout(err)
}

// isConnectionEnd reports whether an error means that the peer has ended the connection.
func isConnectionEnd(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

// recordCrash records the crash of an upstream, if it is one, after an attempt that the end of the connection broke. A
// withdrawn attempt may have been at a crash, too, as its connection was closed at about the same time.
func (k *callerConn) recordCrash(a *responseState, c *call, x *exchange) {
	s := k.server
	if a.ctx.Err() != nil {
		s.recordPeerCrash(c, x)
		return
	}
	if !x.connEnded && !x.withdrawn.Load() || len(c.promptParts) == 0 && c.route.Kind != tgcatalog.KindStreaming {
		return
	}
	parts, progress := c.promptParts, tgquarantine.ProgressNone
	if x.begun {
		parts, progress = s.quarantine.Unanswered(parts), tgquarantine.ProgressBegun
		if c.atCrash {
			progress = tgquarantine.ProgressResumed
		}
	}
	if x.begun && len(parts) == 0 {
		go s.checkCrash(c.pool, x.target, nil, progress) // the stream need not wait
		return
	}
	if s.checkCrash(c.pool, x.target, parts, progress) {
		c.atCrash = true
	} else {
		s.recordPeerCrash(c, x)
	}
	if x.withdrawn.Load() { // an upstream may go on with a request whose connection has ended
		time.AfterFunc(withdrawnCheckDelay, func() { s.checkCrash(c.pool, x.target, parts, progress) })
	}
}

// recordPeerCrash adds an attempt that ended before its answer began to a crash of the upstream that peers tell of at about
// the same time. A VM that was frozen meanwhile finds the upstream running again, and the caller may have left.
func (s *Server) recordPeerCrash(c *call, x *exchange) {
	if x.begun || x.conn == nil || len(c.promptParts) == 0 {
		return
	}
	parts, target, sentAt := c.promptParts, x.target, x.sentAt
	end := time.Now().Add(peerCrashWindow)
	time.AfterFunc(peerCrashWindow, func() {
		if s.quarantine.AddToCrash(target.ID, parts, tgquarantine.ProgressNone, sentAt, end, time.Now()) {
			s.counters.Add("crashedAttempts", 1)
		}
	})
}

// checkCrash records a crash if an upstream has ended, and reports whether it has. The parts are those of a request, and
// progress is how far its answer was.
func (s *Server) checkCrash(pool string, target tgcatalog.Upstream, parts []string, progress tgquarantine.Progress) bool {
	isListed := slices.ContainsFunc(s.catalog.Upstreams(pool), func(u tgcatalog.Upstream) bool { return u.ID == target.ID })
	if !isListed || !s.crashes.hasEnded(s.conns, target.Address) {
		return false
	}
	s.counters.Add("crashedAttempts", 1)
	s.quarantine.RecordCrash(target.ID, parts, progress, time.Now())
	return true
}

// recordAnswer records an answer that seems to be complete. One that ends with its connection may have been cut off by a
// crash.
func (s *Server) recordAnswer(c *call, x *exchange) {
	parts := c.promptParts
	var unanswered []string
	if x.response.Framing == tghttp.FramingClose {
		unanswered = s.quarantine.Unanswered(parts)
	}
	if len(unanswered) == 0 {
		s.quarantine.Answered(parts, time.Now())
		return
	}
	pool, target := c.pool, x.target
	go func() {
		if !s.checkCrash(pool, target, unanswered, tgquarantine.ProgressBegun) {
			s.quarantine.Answered(parts, time.Now())
		}
	}()
}
