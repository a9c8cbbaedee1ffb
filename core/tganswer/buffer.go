// Package tganswer assembles answers by attempt and sequence number.
package tganswer

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgframe"
)

// ErrTooLarge says that an answer that must be kept whole exceeds the buffer's limit.
var ErrTooLarge = errors.New("answer exceeds the size that can be kept")

// Buffer holds what an attempt has produced, so that a reader can go on over a new connection.
// It holds at most limit bytes: a whole buffer fails beyond it; any other drops chunks that all
// readers have passed, and makes the producer wait while there are none.
type Buffer struct {
	mu        sync.Mutex
	base      uint64 // sequence number of chunks[0]
	bytes     int    // of chunks
	chunks    [][]byte
	end       *tgframe.End // set once, after the last chunk
	head      *tgframe.Head
	limit     int
	readers   []*Reader
	space     chan struct{} // holds a token after a reader has moved
	retainAll bool
}

// NewBuffer returns a buffer whose first chunk has the sequence number base.
func NewBuffer(base uint64, limit int) *Buffer {
	return &Buffer{base: base, limit: limit, space: make(chan struct{}, 1)}
}

// NewRetainingBuffer returns a buffer that keeps the whole answer.
func NewRetainingBuffer(limit int) *Buffer {
	b := NewBuffer(0, limit)
	b.retainAll = true
	return b
}

// SetHead stores the head of the answer.
func (b *Buffer) SetHead(h tgframe.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.notify()
}

// Append stores the next chunks and takes over their memory; it waits for space until ctx ends.
func (b *Buffer) Append(ctx context.Context, chunks ...[]byte) error {
	for {
		ok, err := b.tryAppend(chunks)
		if ok || err != nil {
			return err
		}
		select {
		case <-b.space:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a reader of the answer")
		}
	}
}

func (b *Buffer) tryAppend(chunks [][]byte) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes >= b.limit {
		if b.retainAll {
			return false, ErrTooLarge
		}
		if b.dropRead(); b.bytes >= b.limit {
			return false, nil
		}
	}
	for _, c := range chunks {
		b.bytes += len(c)
	}
	b.chunks = append(b.chunks, chunks...)
	b.notify()
	return true, nil
}

// dropRead removes the oldest chunks that all readers have passed until half of the limit is free.
func (b *Buffer) dropRead() {
	if len(b.readers) == 0 {
		return
	}
	passed := b.readers[0].next
	for _, r := range b.readers[1:] {
		passed = min(passed, r.next)
	}
	n := 0
	for n < len(b.chunks) && b.base+uint64(n) < passed && b.bytes > b.limit/2 {
		b.bytes -= len(b.chunks[n])
		n++
	}
	b.chunks = slices.Delete(b.chunks, 0, n)
	b.base += uint64(n)
}

// Finish stores the terminal marker; only the first one counts.
func (b *Buffer) Finish(end tgframe.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	end.Total = b.base + uint64(len(b.chunks))
	b.end = &end
	b.notify()
}

func (b *Buffer) notify() {
	for _, r := range b.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Bytes returns the size of the chunks held.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// End returns the terminal marker, or nil if it is not there.
func (b *Buffer) End() *tgframe.End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// NextSequence returns the sequence number of the next chunk to be produced.
func (b *Buffer) NextSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + uint64(len(b.chunks))
}

// Snapshot returns the parts of an unfinished or finished answer; the body is whole only in a whole buffer.
func (b *Buffer) Snapshot() (head *tgframe.Head, body []byte, end *tgframe.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body = make([]byte, 0, b.bytes)
	for _, c := range b.chunks {
		body = append(body, c...)
	}
	return b.head, body, b.end
}
