// Package tgmemory bounds the memory that the calls of a process take together.
package tgmemory

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// unreservedBytes is the memory that each lease may take without asking for it, so that calls with small bodies go on while
// others use up the memory.
const unreservedBytes = 16 << 10

// ErrExhausted means that other leases take all memory of the budget.
var ErrExhausted = errors.New("memory for bodies is used up")

// Budget bounds the memory of its leases together. Servers in trouble may send bytes without end on many connections at
// once. It is safe for concurrent use; the zero value is ready for use.
type Budget struct {
	used atomic.Int64 // bytes held by leases; over their limit for a moment at most
}

// Lease returns a lease without memory; limit is that of the budget in bytes, or 0 if it is unbounded.
func (b *Budget) Lease(limit int64) *Lease { return &Lease{budget: b, limit: limit} }

// Used returns the bytes that the leases hold beyond what each may take without asking.
func (b *Budget) Used() int64 { return b.used.Load() }

// Lease is the memory that one call holds; it belongs to one goroutine at a time.
type Lease struct {
	budget *Budget
	held   int64 // bytes, including unreservedBytes that the budget does not count
	limit  int64 // of the budget, in bytes; 0 if it is unbounded
}

// Held returns the bytes that the lease holds.
func (l *Lease) Held() int64 { return l.held }

// Limit returns the limit of the budget in bytes, or 0 if it is unbounded.
func (l *Lease) Limit() int64 { return l.limit }

// Reserve takes n more bytes; ErrExhausted means that they are not granted.
func (l *Lease) Reserve(n int) error {
	counted := l.counted()
	l.held += int64(n)
	added := l.counted() - counted
	if added == 0 {
		return nil
	}
	if l.budget.used.Add(added) > l.limit && l.limit > 0 {
		l.ReleaseTo(l.held - int64(n))
		return ErrExhausted
	}
	return nil
}

// ReleaseTo gives back what the lease holds beyond held bytes.
func (l *Lease) ReleaseTo(held int64) {
	counted := l.counted()
	l.held = min(l.held, held)
	l.budget.used.Add(l.counted() - counted)
}

// counted returns the bytes that the budget counts.
func (l *Lease) counted() int64 { return max(0, l.held-unreservedBytes) }
