package tgholder

import (
	"context"
	"time"

	"tanagergrade/core/tglease"
)

const leasePollInterval = 50 * time.Millisecond

// Leases acquires leases of one duration for the holders of control roles, such as group controllers.
type Leases struct {
	Duration time.Duration
	Manager  *Manager
}

// Acquire campaigns for the lease, waits until this process holds it, and returns its fencing token.
func (l Leases) Acquire(ctx context.Context, name string) (uint64, error) {
	l.Manager.Campaign(name, l.Duration)
	ticker := time.NewTicker(leasePollInterval)
	defer ticker.Stop()
	for {
		if token, ok := l.Manager.Held(name); ok {
			return uint64(token), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-ticker.C:
		}
	}
}

// Held reports whether it is certain that this process holds the lease with this token.
func (l Leases) Held(name string, token uint64) bool {
	held, ok := l.Manager.Held(name)
	return ok && held == tglease.Token(token)
}

// Token returns the highest fencing token of the lease in the log, or false until the log has been read to its end once.
func (l Leases) Token(name string) (uint64, bool) {
	if l.Manager.follower.Status().Confirmed.IsZero() {
		return 0, false
	}
	lease, _ := l.Manager.Lease(name)
	return uint64(lease.Token), true
}
