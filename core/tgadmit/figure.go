package tgadmit

import "time"

// figure is a latency and what it is when the upstream is warm.
type figure struct {
	count int     // values in the window
	fixed bool    // the warm figure is configured, not learned
	last  float64 // mean of the previous window
	stuck int     // windows without improvement at the lowest limit
	sum   float64 // seconds in the window
	warm  float64 // seconds; 0 if not known
}

func (f *figure) add(d time.Duration, n int) {
	f.count += n
	f.sum += d.Seconds() * float64(n)
}

func (f *figure) reset() { f.count, f.sum = 0, 0 }

// ratio returns how much slower than warm the window is; 0 if there is no evidence. The warm figure that is learned
// is the best window seen, so a cold start only makes it too high for as long as the upstream is cold.
func (f *figure) ratio() float64 {
	if f.count == 0 {
		return 0
	}
	mean := f.sum / float64(f.count)
	if !f.fixed && (f.warm == 0 || mean < f.warm) {
		f.warm = mean
	}
	return mean / f.warm
}

// adapt raises a learned warm figure when the lowest limit no longer changes the latency. Without it an upstream
// whose requests became longer for good would stay at the lowest limit for ever.
func (f *figure) adapt() {
	if f.fixed || f.count == 0 {
		return
	}
	mean := f.sum / float64(f.count)
	if f.last > 0 && mean > improvement*f.last {
		f.stuck++
	} else {
		f.stuck = 0
	}
	f.last = mean
	if f.stuck >= stuckWindows {
		f.warm += adaptStep * (mean - f.warm)
	}
}

// Weights of a new value in a learned warm figure. The figure follows the slow side of what is normal, since prompts
// that are cached are many times faster than others and both are warm.
const (
	weightFaster = 0.02
	weightSlower = 0.3
	weightCold   = 0.05 // at the lowest limit, so that requests that became longer do not look cold for ever
)

// follow takes a single value into a learned warm figure and reports whether the value looks cold.
func (f *figure) follow(v float64, lowest bool) bool {
	cold := f.warm > 0 && v > coldRatio*f.warm
	switch {
	case f.fixed || cold && !lowest:
	case f.warm == 0:
		f.warm = v
	case cold:
		f.warm += weightCold * (v - f.warm)
	case v > f.warm:
		f.warm += weightSlower * (v - f.warm)
	default:
		f.warm += weightFaster * (v - f.warm)
	}
	return cold
}
