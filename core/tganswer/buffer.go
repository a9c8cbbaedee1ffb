// Package tganswer assembles answers by attempt and sequence number.
package tganswer

import (
	"sync"

	"tanagergrade/core/tgframe"
)

// Buffer holds what an attempt has produced, so that a reader can go on over a new connection.
type Buffer struct {
	mu      sync.Mutex
	base    uint64        // sequence number of chunks[0]
	changed chan struct{} // closed and replaced at each change
	chunks  [][]byte
	end     *tgframe.End // set once, after the last chunk
	head    *tgframe.Head
}

// NewBuffer returns a buffer whose first chunk has the sequence number base.
func NewBuffer(base uint64) *Buffer {
	return &Buffer{base: base, changed: make(chan struct{})}
}

// SetHead stores the head of the answer.
func (b *Buffer) SetHead(h tgframe.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.notify()
}

// Append stores the next chunk.
func (b *Buffer) Append(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks = append(b.chunks, data)
	b.notify()
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
	close(b.changed)
	b.changed = make(chan struct{})
}

// Finished reports whether the terminal marker is there.
func (b *Buffer) Finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end != nil
}

// Next returns the sequence number of the next chunk to be produced.
func (b *Buffer) Next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + uint64(len(b.chunks))
}

// Snapshot returns the parts of an unfinished or finished answer.
func (b *Buffer) Snapshot() (head *tgframe.Head, body []byte, end *tgframe.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.chunks {
		body = append(body, c...)
	}
	return b.head, body, b.end
}

// Reader reads a buffer from a sequence number on.
type Reader struct {
	buffer   *Buffer
	headSent bool
	next     uint64
}

// NewReader returns a reader of b from the chunk next on.
func NewReader(b *Buffer, next uint64) *Reader {
	return &Reader{buffer: b, next: next}
}

// Read returns the next frame, or no frame and a channel that is closed when there is more.
func (r *Reader) Read() (*tgframe.Frame, <-chan struct{}) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.headSent && b.head != nil {
		r.headSent = true
		return &tgframe.Frame{Head: b.head, Kind: tgframe.KindHead}, nil
	}
	if r.next >= b.base && r.next < b.base+uint64(len(b.chunks)) {
		chunk := &tgframe.Chunk{Data: b.chunks[r.next-b.base], Sequence: r.next}
		r.next++
		return &tgframe.Frame{Chunk: chunk, Kind: tgframe.KindChunk}, nil
	}
	if b.end != nil {
		return &tgframe.Frame{End: b.end, Kind: tgframe.KindEnd}, nil
	}
	return nil, b.changed
}
