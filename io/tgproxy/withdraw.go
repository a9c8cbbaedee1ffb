package tgproxy

import (
	"context"
	"sync"
)

// unbegunExchanges are the attempts whose answers have not begun and that may be repeated.
type unbegunExchanges struct {
	mu sync.Mutex
	m  map[*exchange]*call
}

// add adds an attempt that is about to be sent. Trials are left out: they are sent in spite of their suspect parts.
func (u *unbegunExchanges) add(x *exchange, c *call) {
	if len(c.promptParts) == 0 || c.trial != nil || !c.route.Repeatable() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.m[x] = c
}

// remove removes an attempt whose answer has begun or that has ended.
func (u *unbegunExchanges) remove(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.m, x)
}

// withdrawSuspects withdraws attempts until ctx ends: when an upstream has crashed, requests with the same unknown part may
// be at others. They come back as trials, one at a time.
func (s *Server) withdrawSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.quarantine.Watch()
		s.unbegun.withdraw(func(parts []string) bool { return s.quarantine.HasUnknownSuspect(parts) })
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (u *unbegunExchanges) withdraw(isSuspect func(parts []string) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for x, c := range u.m {
		if isSuspect(c.promptParts) {
			x.withdrawn.Store(true)
			x.conn.abort()
			delete(u.m, x)
		}
	}
}
