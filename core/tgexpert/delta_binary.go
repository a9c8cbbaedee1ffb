package tgexpert

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

const maxDeltaSize = 1 << 20 // limit for sets x ranks x experts of a decoded delta, which bounds its memory

// MarshalBinary encodes a delta in about two bytes per move: the differences between the sorted keys of the moves.
func (d Delta) MarshalBinary() ([]byte, error) {
	keys := make([]uint64, 0, len(d.Moves))
	for _, m := range d.Moves {
		keys = append(keys, d.key(m))
	}
	slices.Sort(keys)
	b := make([]byte, 0, 8+2*len(keys))
	for _, n := range [...]int{d.Sets, d.Ranks, d.Experts, len(keys)} {
		b = binary.AppendUvarint(b, uint64(n)) //nolint:gosec // not negative
	}
	last := uint64(0)
	for _, k := range keys {
		b = binary.AppendUvarint(b, k-last)
		last = k
	}
	return b, nil
}

// key returns the number of a move among all possible moves of d.
func (d Delta) key(m Move) uint64 {
	k := 2 * ((m.Set*d.Ranks+m.Rank)*d.Experts + m.Expert)
	if m.Gone {
		k++
	}
	return uint64(k) //nolint:gosec // not negative
}

// UnmarshalBinary decodes the result of MarshalBinary.
func (d *Delta) UnmarshalBinary(b []byte) error {
	var header [4]int
	for i := range header {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > maxDeltaSize {
			return errors.New("difference of maps: malformed head")
		}
		header[i], b = int(n), b[size:]
	}
	next := Delta{Sets: header[0], Ranks: header[1], Experts: header[2]}
	if header[3] > len(b) || next.Sets*next.Ranks > maxDeltaSize || next.Sets*next.Ranks*next.Experts > maxDeltaSize {
		return errors.Newf("difference of maps: %d moves in %d bytes", header[3], len(b))
	}
	limit := uint64(2 * next.Sets * next.Ranks * next.Experts) //nolint:gosec // bounded above
	last := uint64(0)
	for range header[3] {
		step, size := binary.Uvarint(b)
		if size <= 0 || step >= limit-last {
			return errors.New("difference of maps: malformed move")
		}
		last, b = last+step, b[size:]
		next.Moves = append(next.Moves, next.move(last))
	}
	*d = next
	return nil
}

// move returns the move with the given key.
func (d *Delta) move(key uint64) Move {
	k := int(key / 2) //nolint:gosec // bounded by the caller
	return Move{
		Expert: k % d.Experts, Gone: key%2 == 1, Rank: k / d.Experts % d.Ranks, Set: k / d.Experts / d.Ranks,
	}
}
