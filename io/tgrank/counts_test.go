package tgrank

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against ranks that all report their counts in the same interval, because agents that started together count the
// same ticks. The leader then learned of a change of the demand up to 1.6 s late (khoji-clues-grown scale-2).
func TestRanksTakeTurns(t *testing.T) {
	const ranks, every = 63, 7
	for tick := range 3 * every {
		sending := 0
		for rank := range ranks {
			if countsModeAt(tick, rank, every) == countsSend {
				sending++
				assert.Equal(t, countsModeAt(tick-1+every, rank, every), countsBaseline)
			}
		}
		assert.Equal(t, sending, ranks/every)
	}
	assert.Equal(t, countsModeAt(5, 3, 1), countsSend)
}

// Guards against quantization that changes the count of an expert by more than a level.
func TestQuantizedCounts(t *testing.T) {
	for name, counts := range map[string][]uint32{
		"empty":  {},
		"large":  {1 << 31, 1 << 30, 0},
		"small":  {3, 0, 7, 1},
		"spread": {100000, 5, 50000, 391, 0},
		"zero":   {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := QuantizeCounts(counts)
			got := s.Counts()
			assert.Equal(t, len(got), len(counts))
			for i, n := range counts {
				assert.Assert(t, max(got[i], n)-min(got[i], n) <= s.Largest/maxLevel+1, "%d: %d for %d", i, got[i], n)
			}
		})
	}
}
