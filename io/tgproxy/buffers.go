package tgproxy

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// unreservedBytes is the memory that each call may use for bodies without asking for it, so that calls with small ones
// go on while others use up the memory.
const unreservedBytes = 16 << 10

// errBuffersFull means that the bodies of other calls take all memory that is set aside for bodies.
var errBuffersFull = errors.New("memory for bodies is used up")

// bufferBudget bounds the memory that the bodies of all calls take together: requests, answers and incomplete events.
// Servers in trouble may send bytes without end on many connections at once.
type bufferBudget struct {
	used atomic.Int64 // bytes held by leases; over the limit for a moment at most
}

// bufferLease is the memory that one call holds; it belongs to one goroutine at a time.
type bufferLease struct {
	budget *bufferBudget
	held   int64 // bytes, including unreservedBytes that the budget does not count
	limit  int64 // of the budget, in bytes; 0 if it is unbounded
}

// Reserve implements tghttp.Reserver.
func (l *bufferLease) Reserve(n int) error {
	counted := l.counted()
	l.held += int64(n)
	added := l.counted() - counted
	if added == 0 {
		return nil
	}
	if l.budget.used.Add(added) > l.limit && l.limit > 0 {
		l.releaseTo(l.held - int64(n))
		return errBuffersFull
	}
	return nil
}

// counted returns the bytes that the budget counts.
func (l *bufferLease) counted() int64 { return max(0, l.held-unreservedBytes) }

// releaseTo gives back what the lease holds beyond held bytes.
func (l *bufferLease) releaseTo(held int64) {
	counted := l.counted()
	l.held = min(l.held, held)
	l.budget.used.Add(l.counted() - counted)
}
