// Package tganswer buffers the answer (HTTP response) of an attempt, so that it can be read again over a new connection,
// and assembles answers from frames by attempt and sequence number.
package tganswer

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgframe"
)

// ErrTooLarge means that an answer that must be kept whole exceeds the limit of its buffer.
var ErrTooLarge = errors.New("answer exceeds the size that can be kept")

// Buffer holds the answer of an attempt, so that a reader can resume over a new connection. Append adds chunks while
// fewer than limit bytes are held. At the limit, a retaining buffer fails; any other drops chunks that all readers have
// read and, if there are none, makes the producer wait.
type Buffer struct {
	mu        sync.Mutex // guards the fields below and those of the readers
	base      uint64     // sequence number of chunks[0]
	bytes     int        // total size of chunks
	chunks    [][]byte
	end       *tgframe.End // set once, after the last chunk
	head      *tgframe.Head
	limit     int
	readers   []*Reader
	retainAll bool          // no chunk is dropped
	space     chan struct{} // holds a token after a reader has read chunks
}

// NewBuffer returns a buffer whose first chunk has the sequence number base.
func NewBuffer(base uint64, limit int) *Buffer {
	return &Buffer{base: base, limit: limit, space: make(chan struct{}, 1)}
}

// NewRetainingBuffer returns a buffer that drops no chunk, so that the whole answer can be recorded.
func NewRetainingBuffer(limit int) *Buffer {
	b := NewBuffer(0, limit)
	b.retainAll = true
	return b
}

// SetHead stores the status and headers of the answer.
func (b *Buffer) SetHead(h tgframe.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.notify()
}

// Append stores the next chunks and takes ownership of their memory; it waits for space until ctx ends.
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

// dropRead removes the oldest chunks that all readers have read until half of the limit is free. Without a reader it
// removes nothing.
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

// Finish stores the terminal marker and sets its Total; later calls change nothing.
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

// Bytes returns the total size of the chunks held.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// End returns the terminal marker, or nil before Finish.
func (b *Buffer) End() *tgframe.End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// NextSequence returns the sequence number of the next chunk to be appended.
func (b *Buffer) NextSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + uint64(len(b.chunks))
}

// Snapshot returns the answer as far as it was appended; end is nil before Finish. The body lacks dropped chunks unless
// the buffer is a retaining one.
func (b *Buffer) Snapshot() (head *tgframe.Head, body []byte, end *tgframe.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body = make([]byte, 0, b.bytes)
	for _, c := range b.chunks {
		body = append(body, c...)
	}
	return b.head, body, b.end
}
