package tganswer

import (
	"github.com/google/uuid"

	"tanagergrade/core/tgframe"
)

const maxOutOfOrder = 1024 // bounds the chunks that are held because an earlier chunk is missing

// Assembler restores the order of the frames of one attempt; frames may arrive reordered, repeated or not at all.
type Assembler struct {
	attempt      uuid.UUID
	end          *tgframe.End
	head         *tgframe.Head
	headReturned bool              // Next has returned the head
	next         uint64            // sequence number of the first chunk that has not arrived; only grows
	outOfOrder   map[uint64][]byte // chunks after next, by sequence number
	ready        []byte            // data of the chunks before next that Next has not returned
	readyChunks  int               // number of chunks in ready
}

// PartKind is the type of a part of an answer.
type PartKind string

// Kinds of parts, in the order in which they are returned.
const (
	PartHead  PartKind = "head"
	PartChunk PartKind = "chunk"
	PartEnd   PartKind = "end"
)

// Part is the next part of an answer; the field named by Kind is set.
type Part struct {
	Chunk []byte // data of one or more chunks, valid until the next Add
	End   *tgframe.End
	Head  *tgframe.Head
	Kind  PartKind
}

// NewAssembler returns an assembler for attempt whose first chunk has the sequence number next.
func NewAssembler(attempt uuid.UUID, next uint64) *Assembler {
	return &Assembler{attempt: attempt, next: next}
}

// Delivered returns the sequence number after the last chunk that Next has returned.
func (a *Assembler) Delivered() uint64 { return a.next - uint64(a.readyChunks) }

// FirstMissing returns the sequence number of the first chunk that has not arrived.
func (a *Assembler) FirstMissing() uint64 { return a.next }

// Add adds a frame; frames of other attempts and repeated frames change nothing. It retains the data of f, but not f.
func (a *Assembler) Add(f *tgframe.Frame) {
	if f.Attempt != a.attempt {
		return
	}
	if f.Head != nil && a.head == nil {
		a.head = f.Head
	}
	if f.Chunk != nil {
		a.addChunk(f.Chunk)
	}
	if f.End != nil && a.end == nil {
		a.end = f.End
	}
}

func (a *Assembler) addChunk(c *tgframe.Chunk) {
	if len(c.Sizes) == 0 {
		a.addPart(c.Sequence, c.Data)
		return
	}
	data := c.Data
	for i, size := range c.Sizes {
		if size < 0 || size > len(data) {
			return
		}
		a.addPart(c.Sequence+uint64(i), data[:size:size])
		data = data[size:]
	}
}

func (a *Assembler) addPart(sequence uint64, data []byte) {
	switch {
	case sequence < a.next:
	case sequence == a.next:
		a.append(data)
		for len(a.outOfOrder) > 0 {
			d, ok := a.outOfOrder[a.next]
			if !ok {
				return
			}
			delete(a.outOfOrder, a.next)
			a.append(d)
		}
	case len(a.outOfOrder) < maxOutOfOrder:
		if a.outOfOrder == nil {
			a.outOfOrder = map[uint64][]byte{}
		}
		a.outOfOrder[sequence] = data
	}
}

func (a *Assembler) append(data []byte) {
	a.next++
	a.readyChunks++
	if len(a.ready) == 0 {
		a.ready = data[:len(data):len(data)]
		return
	}
	a.ready = append(a.ready, data...)
}

// Next returns the next part, or false if it has not arrived. An end is returned only after the head and all chunks that
// it counts, unless it is a failure.
func (a *Assembler) Next() (Part, bool) {
	switch {
	case !a.headReturned && a.head != nil:
		a.headReturned = true
		return Part{Head: a.head, Kind: PartHead}, true
	case a.headReturned && a.readyChunks > 0:
		p := Part{Chunk: a.ready, Kind: PartChunk}
		a.ready, a.readyChunks = nil, 0
		return p, true
	case a.end != nil && (a.end.Failure != nil || a.headReturned && a.next == a.end.Total):
		return Part{End: a.end, Kind: PartEnd}, true
	default:
		return Part{}, false
	}
}

// Inconsistent reports whether the end of a successful answer counts fewer chunks than have arrived, or has arrived
// without a head.
func (a *Assembler) Inconsistent() bool {
	return a.end != nil && a.end.Failure == nil && (a.head == nil || a.next > a.end.Total)
}
