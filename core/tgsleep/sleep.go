// Package tgsleep provides waits that end when their context does.
package tgsleep

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether the whole of d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
