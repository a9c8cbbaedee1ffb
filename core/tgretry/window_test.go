package tgretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against processes that together exceed the budget in some window when all engines fail at once: each of them
// retries as often as it may, while requests come in bursts with pauses.
func TestRetriesOfAllProcessesStayWithinBudget(t *testing.T) {
	const (
		burst     = 90.0
		processes = 6
		ratio     = 0.2
		seconds   = 60
		step      = 10 * time.Millisecond
		window    = 10 * time.Second
	)
	r := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	windows := make([]*WindowBudget, processes)
	for i := range windows {
		windows[i] = NewWindowBudget(ratio, burst/processes/2, window)
	}
	steps := int(seconds * time.Second / step)
	sent, retries := make([]int, steps), make([]int, steps)
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for p, w := range windows {
			if i/500%2 == 0 && r.IntN(10) == 0 {
				w.RecordRequest(now)
				sent[i]++
			}
			if r.IntN(processes) == p && w.AllowRetry(now) {
				retries[i]++
			}
		}
	}
	width := int(window / step)
	sum := func(counts []int, end int) (n int) {
		for _, v := range counts[max(0, end-width):max(0, end)] {
			n += v
		}
		return n
	}
	for end := 1; end <= steps; end++ {
		requests := max(sum(sent, end), sum(sent, end-width/2), sum(sent, end-width))
		assert.Assert(t, float64(sum(retries, end)) <= ratio*float64(requests)+burst,
			"%d retries for %d requests at step %d", sum(retries, end), requests, end)
	}
	assert.Assert(t, sum(retries, steps) > 0)
}
