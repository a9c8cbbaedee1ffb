package tgadmit

import "time"

// latencyBaseline is a latency and what it is when the upstream is warm.
type latencyBaseline struct {
	configured   bool    // the warm figure is configured, not learned
	count        int     // values in the window
	flatWindows  int     // windows without improvement at the lowest limit
	previousMean float64 // mean of the previous window
	sum          float64 // seconds in the window
	warm         float64 // seconds; 0 if not known
}

func (b *latencyBaseline) add(d time.Duration, n int) {
	b.count += n
	b.sum += d.Seconds() * float64(n)
}

func (b *latencyBaseline) reset() { b.count, b.sum = 0, 0 }

// ratio returns how much slower than warm the window is; 0 if there is no evidence. The warm figure that is learned
// is the best window seen, so a cold start only makes it too high for as long as the upstream is cold.
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

// raiseBaseline raises a learned warm figure when the lowest limit no longer changes the latency. Without it an upstream
// whose requests became longer for good would stay at the lowest limit for ever.
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

// Weights of a new value in a learned warm figure. The figure follows the slow side of what is normal, since prompts
// that are cached are many times faster than others and both are warm.
const (
	fasterWeight = 0.02
	slowerWeight = 0.3
	coldWeight   = 0.05 // at the lowest limit, so that requests that became longer do not look cold for ever
)

// trackSample takes a single value into a learned warm figure and reports whether the value looks cold.
func (b *latencyBaseline) trackSample(v float64, lowest bool) bool {
	cold := b.warm > 0 && v > coldRatio*b.warm
	switch {
	case b.configured || cold && !lowest:
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
