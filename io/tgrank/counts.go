package tgrank

import "slices"

// QuantizedCounts is how often each expert was chosen, in one byte each as a fraction of the largest count. Exact counts
// would take two to three bytes each, and those of a large group would not fit the leader's link.
type QuantizedCounts struct {
	Largest uint32 `cbor:"1,keyasint"`
	Levels  []byte `cbor:"2,keyasint"` // set by set; maxLevel stands for Largest
}

const maxLevel = 255

// QuantizeCounts returns counts rounded to levels.
func QuantizeCounts(counts []uint32) QuantizedCounts {
	s := QuantizedCounts{Levels: make([]byte, len(counts))}
	if len(counts) == 0 {
		return s
	}
	s.Largest = slices.Max(counts)
	if s.Largest == 0 {
		return s
	}
	for i, n := range counts {
		s.Levels[i] = byte((uint64(n)*maxLevel + uint64(s.Largest)/2) / uint64(s.Largest))
	}
	return s
}

// Counts returns the approximate counts, each within half a level of the exact one.
func (s QuantizedCounts) Counts() []uint32 {
	counts := make([]uint32, len(s.Levels))
	for i, l := range s.Levels {
		counts[i] = uint32(uint64(l) * uint64(s.Largest) / maxLevel) //nolint:gosec // at most Largest
	}
	return counts
}

// countsMode is how a report treats the counts of chosen experts.
type countsMode string

const (
	countsBaseline countsMode = "base" // reads them, so that the next report can send the difference
	countsNone     countsMode = "none"
	countsSend     countsMode = "send"
)

// countsModeAt returns the mode of a rank's report at a tick. In large groups the ranks take turns: the choices of a
// few represent the demand of all, and the counts of all would not fit the leader's link. The turn depends on the rank,
// because agents that started together count the same ticks.
func countsModeAt(tick, rank, every int) countsMode {
	turn := tick + rank
	switch {
	case every <= 1, turn%every == 0:
		return countsSend
	case (turn+1)%every == 0:
		return countsBaseline
	default:
		return countsNone
	}
}
