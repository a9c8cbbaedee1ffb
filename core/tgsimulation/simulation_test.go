package tgsimulation

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"tanagergrade/core/tgcall"
)

var seed = flag.Uint64("seed", 1, "seed of the runs")

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reportResults reports the outcomes and, by priority, the latencies as metrics of b.
func reportResults(b *testing.B, c *Cluster) {
	b.Helper()
	t := c.Total()
	b.ReportMetric(float64(t.Answered), "answered")
	b.ReportMetric(float64(t.Refused), "refused")
	b.ReportMetric(float64(t.Lost), "lost")
	b.ReportMetric(float64(c.LostIdempotent), "lostIdempotent")
	b.ReportMetric(float64(c.Unfinished()), "unfinished")
	b.ReportMetric(float64(c.DuplicateExecutions), "runTwice")
	b.ReportMetric(float64(c.Incomplete), "cutOff")
	b.ReportMetric(float64(c.Attempts)/float64(c.Arrived), "attempts/request")
	for _, p := range []tgcall.Priority{tgcall.Live, tgcall.Standard, tgcall.Bulk} {
		v, ok := c.ByPriority[p]
		if !ok {
			continue
		}
		b.ReportMetric(float64(v.Refused), string(p)+"-refused")
		for _, q := range []float64{0.95, 0.99} {
			b.ReportMetric(milliseconds(Quantile(v.FirstTokenLatencies, q)), fmt.Sprintf("%s-first-p%.0f-ms", p, 100*q))
			b.ReportMetric(milliseconds(Quantile(v.TokenGaps, q)), fmt.Sprintf("%s-gap-p%.0f-ms", p, 100*q))
		}
	}
}

func BenchmarkDataCentreLeaves(b *testing.B) {
	for _, load := range []float64{0.60, 0.80, 0.95} {
		for _, v := range Variants {
			b.Run(fmt.Sprintf("load=%.0f%%/%s", 100*load, v.Name), func(b *testing.B) {
				for b.Loop() {
					c, last := SimulateWithdrawal(v, load, *seed, nil)
					reportResults(b, c)
					b.ReportMetric(last.Seconds(), "lastNew-s")
				}
			})
		}
	}
}

func BenchmarkColdStart(b *testing.B) {
	const bound = 120 * time.Second
	best := fastestWarmup(*seed)
	for _, n := range []int{1, 3, 12} {
		for _, v := range Variants {
			b.Run(fmt.Sprintf("cold=%d/%s", n, v.Name), func(b *testing.B) {
				for b.Loop() {
					c, full := SimulateColdStart(v, n, bound, *seed, nil)
					reportResults(b, c)
					b.ReportMetric(best.Seconds(), "best-s")
					b.ReportMetric(full.Seconds(), "full-s")
					b.ReportMetric(full.Seconds()/best.Seconds(), "full/best")
				}
			})
		}
	}
}

func BenchmarkOverload(b *testing.B) {
	for _, factor := range []float64{2, 5} {
		for _, v := range Variants {
			b.Run(fmt.Sprintf("load=%.0fx/%s", factor, v.Name), func(b *testing.B) {
				for b.Loop() {
					c, d := SimulateOverload(v, factor, *seed)
					reportResults(b, c)
					b.ReportMetric(float64(c.Tokens)/(d.Seconds()*requestCapacity(engines)*meanTokens), "goodput/capacity")
					b.ReportMetric(worstShareError(c), "worstShareError")
				}
			})
		}
	}
}

// worstShareError returns the largest relative deviation of an account's fraction of the tokens from its share.
func worstShareError(c *Cluster) float64 {
	total, shares := 0, 0
	for _, a := range OverloadAccounts {
		total += c.TokensByAccount[a.Name]
		shares += a.Share
	}
	worst := 0.0
	for _, a := range OverloadAccounts {
		got := float64(c.TokensByAccount[a.Name]) / float64(max(total, 1))
		want := float64(a.Share) / float64(shares)
		worst = max(worst, max(got-want, want-got)/want)
	}
	return worst
}

var faults = []struct {
	name   string
	inject func(*Cluster, string)
}{
	{"cold", FaultCold}, {"restart", FaultRestart}, {"silent", FaultSilent}, {"slow", FaultSlow}, {"stalled", FaultStalled},
}

func BenchmarkUnhealthyEngine(b *testing.B) {
	for _, v := range Variants {
		healthy := SimulateUnhealthyEngine(v, *seed, FaultNone)
		first, gap := Quantile(healthy.Unaffected.FirstTokenLatencies, 0.99), Quantile(healthy.Unaffected.TokenGaps, 0.99)
		for _, h := range faults {
			b.Run(h.name+"/"+v.Name, func(b *testing.B) {
				for b.Loop() {
					c := SimulateUnhealthyEngine(v, *seed, h.inject)
					reportResults(b, c)
					b.ReportMetric(milliseconds(first), "healthy-first-p99-ms")
					b.ReportMetric(float64(Quantile(c.Unaffected.FirstTokenLatencies, 0.99))/float64(first), "others-first-p99/healthy")
					b.ReportMetric(float64(Quantile(c.Unaffected.TokenGaps, 0.99))/float64(gap), "others-gap-p99/healthy")
				}
			})
		}
	}
}

func BenchmarkDataCentreCrashes(b *testing.B) {
	for _, load := range []float64{0.6, 1.5} {
		for _, v := range Variants {
			b.Run(fmt.Sprintf("load=%.0f%%/%s", 100*load, v.Name), func(b *testing.B) {
				for b.Loop() {
					reportResults(b, SimulateCrash(v, load, *seed))
				}
			})
		}
	}
}
