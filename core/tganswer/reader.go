package tganswer

import (
	"slices"

	"tanagergrade/core/tgframe"
)

const maxCoalescedBytes = 16 << 10 // bounds the data of several chunks that are sent in one frame

// Reader reads the chunks of a Buffer from a sequence number on.
type Reader struct {
	buffer   *Buffer
	chunk    tgframe.Chunk // reused for each frame
	data     []byte        // reused for coalesced chunks
	headSent bool
	next     uint64        // sequence number of the next chunk to read; only grows
	wake     chan struct{} // holds a token after a change of the buffer
}

// NewReader returns a reader of b from the chunk next on, or false if that chunk has been dropped. The caller must close
// the reader, since b drops only chunks that all readers have read.
func (b *Buffer) NewReader(next uint64) (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if next < b.base {
		return nil, false
	}
	r := &Reader{buffer: b, next: next, wake: make(chan struct{}, 1)}
	b.readers = append(b.readers, r)
	return r, true
}

// Close removes the reader from its buffer; chunks are no longer held for it.
func (r *Reader) Close() {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = slices.DeleteFunc(b.readers, func(other *Reader) bool { return other == r })
}

// Wake returns a channel that receives a value when a frame may be ready after Read has returned false.
func (r *Reader) Wake() <-chan struct{} { return r.wake }

// Read fills f with the next frame, valid until the next call, or returns false if there is none yet. A head, chunks and
// an end that are ready at the same time go into one frame.
func (r *Reader) Read(f *tgframe.Frame) bool {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	*f = tgframe.Frame{Attempt: f.Attempt}
	if !r.headSent && b.head != nil {
		r.headSent = true
		f.Head, f.Kind = b.head, tgframe.KindHead
	}
	if r.next >= b.base && r.next < b.base+uint64(len(b.chunks)) {
		r.readChunks(b.chunks[r.next-b.base:])
		f.Chunk, f.Kind = &r.chunk, tgframe.KindChunk
		select {
		case b.space <- struct{}{}:
		default:
		}
	}
	if b.end != nil && r.next >= b.base+uint64(len(b.chunks)) {
		f.End, f.Kind = b.end, tgframe.KindEnd
	}
	return f.Kind != ""
}

func (r *Reader) readChunks(ready [][]byte) {
	r.chunk = tgframe.Chunk{Data: ready[0], Sequence: r.next, Sizes: r.chunk.Sizes[:0]}
	r.next++
	if len(ready) == 1 || len(ready[0])+len(ready[1]) > maxCoalescedBytes {
		return
	}
	r.data = append(r.data[:0], ready[0]...)
	r.chunk.Sizes = append(r.chunk.Sizes, len(ready[0]))
	for _, c := range ready[1:] {
		if len(r.data)+len(c) > maxCoalescedBytes {
			break
		}
		r.data = append(r.data, c...)
		r.chunk.Sizes = append(r.chunk.Sizes, len(c))
		r.next++
	}
	r.chunk.Data = r.data
}
