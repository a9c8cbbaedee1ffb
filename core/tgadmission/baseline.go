package tgadmission

import "time"

// latencyBaseline has the samples of one kind of latency in the current window, and its value on a warm upstream. The
// unit is seconds, per token of the prompt or per unit of work where the Limiter's field says so.
type latencyBaseline struct {
	configured   bool    // warm is configured, not learned
	count        int     // samples in the window
	flatWindows  int     // consecutive windows without improvement at the cold limit
	previousMean float64 // mean of the previous window at the cold limit, zero before the first
	sum          float64 // sum of the samples in the window
	warm         float64 // baseline: latency on a warm upstream, 0 if unknown
}

func (b *latencyBaseline) add(d time.Duration, n int) {
	b.count += n
	b.sum += d.Seconds() * float64(n)
}

func (b *latencyBaseline) reset() { b.count, b.sum = 0, 0 }

// ratio returns the mean of the window relative to the warm baseline, or 0 if the window has no samples. A learned baseline
// falls to the lowest mean of any window, so after a cold start it is too high only as long as the upstream is cold.
func (b *latencyBaseline) ratio() float64 {
	if b.count == 0 {
		return 0
	}
	mean := b.sum / float64(b.count)
	if !b.configured && (b.warm == 0 || mean < b.warm) {
		b.warm = mean
	}
	return mean / b.warm
}

// raiseBaseline raises a learned baseline when latencies no longer improve at the cold limit. Without it, an upstream whose
// requests became permanently longer would stay at the cold limit for ever.
func (b *latencyBaseline) raiseBaseline() {
	if b.configured || b.count == 0 {
		return
	}
	mean := b.sum / float64(b.count)
	if b.previousMean > 0 && mean > improvementRatio*b.previousMean {
		b.flatWindows++
	} else {
		b.flatWindows = 0
	}
	b.previousMean = mean
	if b.flatWindows >= maxFlatWindows {
		b.warm += baselineStep * (mean - b.warm)
	}
}

// Weights of a new sample in a learned baseline. The baseline follows the slow side of the normal range, since cached
// prompts are many times faster than others while the upstream is warm for both.
const (
	fasterWeight = 0.02
	slowerWeight = 0.3
	coldWeight   = 0.05 // for samples that look cold at the cold limit, so that longer requests do not look cold for ever
)

// trackSample updates a learned baseline with a single sample and reports whether the sample looks cold. Samples that look
// cold change the baseline only at the cold limit.
func (b *latencyBaseline) trackSample(v float64, atColdLimit bool) bool {
	cold := b.warm > 0 && v > coldRatio*b.warm
	switch {
	case b.configured || cold && !atColdLimit:
	case b.warm == 0:
		b.warm = v
	case cold:
		b.warm += coldWeight * (v - b.warm)
	case v > b.warm:
		b.warm += slowerWeight * (v - b.warm)
	default:
		b.warm += fasterWeight * (v - b.warm)
	}
	return cold
}
