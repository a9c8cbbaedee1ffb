package tgbalance

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagergrade/core/tgexpert"
)

const (
	hindsightShifts = 20
	hindsightPeriod = 37 // intervals between two shifts: 3.7 s
	changeDelay     = 4  // intervals from a decision until passes use the new replication
	// Copying an expert of 2.2 GB costs 0.085 of credit per GB on the first sites, which have about 120 of credit per second; a
	// skew that is higher by one is assumed to cost a third of that credit.
	copyPrice = 0.085 * 2.2 / 40 // skew seconds
)

// netSaving returns what a sequence of replications saves compared with keeping the first one, in skew seconds, less the
// price of the copies. next returns the replication to change to, or nil to keep the present one.
func netSaving(orders [][][]int, next func(interval int, present *tgexpert.Replication) *tgexpert.Replication) float64 {
	first := tgexpert.NewReplication(testSets, testExperts, testRanks)
	present, saved := first, 0.0
	var pending *tgexpert.Replication
	due := 0
	for i := range hindsightShifts * hindsightPeriod {
		if pending != nil && i >= due {
			copies, _ := pending.Copies(present)
			saved -= copyPrice * float64(copies)
			present, pending = pending, nil
		}
		if pending == nil {
			if pending = next(i, present); pending != nil {
				due = i + changeDelay
			}
		}
		loads := exactLoads(orders[i/hindsightPeriod])
		saved += (first.Skew(loads, nil) - present.Skew(loads, nil)) * testInterval.Seconds()
	}
	return saved
}

// exactLoads returns loads in the proportions of the counts of one fixed draw.
func exactLoads(orders [][]int) tgexpert.Loads {
	l := tgexpert.NewLoads(testSets, testExperts)
	counts := drawCounts(rand.New(rand.NewPCG(1, 1)), orders)
	for i, n := range counts {
		l.Tokens[i] = float64(n)
	}
	return l
}

// BenchmarkHindsight compares the balancer with a controller that knows each shift and its exact loads in advance: it
// begins a change changeDelay before the shift and improves the replication while a copy saves more than it costs.
func BenchmarkHindsight(b *testing.B) {
	for range b.N {
		r := rand.New(rand.NewPCG(11, 12))
		orders := make([][][]int, hindsightShifts)
		orders[0] = newPopularityOrders(r)
		for s := 1; s < hindsightShifts; s++ {
			orders[s] = shiftDemand(r, orders[s-1])
		}
		start := time.Unix(1000, 0)
		d := NewDemandEstimator(testSets, testExperts)
		balancer := NewBalancer(Limits{NewPerSet: 3, Slots: 8})
		balanced := netSaving(orders, func(i int, present *tgexpert.Replication) *tgexpert.Replication {
			now := start.Add(time.Duration(i) * testInterval)
			d.Add(drawCounts(r, orders[i/hindsightPeriod]), now)
			decision := balancer.Decide(present, d, nil, now)
			if decision.Next != nil {
				balancer.ChangeEnded(now.Add(changeDelay * testInterval))
			}
			return decision.Next
		})
		hindsight := netSaving(orders, func(i int, present *tgexpert.Replication) *tgexpert.Replication {
			at := min((i+changeDelay)/hindsightPeriod, hindsightShifts-1)
			next, before, after := present.Improve(exactLoads(orders[at]), tgexpert.ReplicationLimits{
				CopyCost: copyPrice / (hindsightPeriod * testInterval.Seconds()), NewPerRank: 12, NewPerSet: 3, Slots: 8,
			})
			if copies, _ := next.Copies(present); copies == 0 || before-after < 0.05 {
				return nil
			}
			return next
		})
		b.ReportMetric(balanced, "skewSeconds")
		b.ReportMetric(hindsight, "skewSecondsKnown")
		b.ReportMetric(balanced/hindsight, "ofHindsight")
	}
}

// shiftDemand swaps two thirds of the most popular third of each set's experts with random other ones.
func shiftDemand(r *rand.Rand, orders [][]int) [][]int {
	next := make([][]int, len(orders))
	for s, order := range orders {
		next[s] = append([]int(nil), order...)
		for i := range len(order) / 3 {
			if r.IntN(3) < 2 {
				j := r.IntN(len(order))
				next[s][i], next[s][j] = next[s][j], next[s][i]
			}
		}
	}
	return next
}
