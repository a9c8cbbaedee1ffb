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
	changeTakes     = 4  // intervals from a decision until passes use the new map
	// A copied expert of 2.2 GB costs 0.085 a GB on the first sites, which have about 120 of credit a second; a skew that is
	// higher by one is taken to cost a third of it.
	copyPrice = 0.085 * 2.2 / 40 // skew seconds
)

// net returns what a sequence of maps saves against map 0, in skew seconds, less its copies. next returns the map that is
// decided for in an interval, or nil.
func net(orders [][][]int, next func(interval int, present *tgexpert.Replication) *tgexpert.Replication) float64 {
	first := tgexpert.NewReplication(testSets, testExperts, testRanks)
	present, saved := first, 0.0
	var coming *tgexpert.Replication
	due := 0
	for i := range hindsightShifts * hindsightPeriod {
		if coming != nil && i >= due {
			copies, _ := coming.Copies(present)
			saved -= copyPrice * float64(copies)
			present, coming = coming, nil
		}
		if coming == nil {
			if coming = next(i, present); coming != nil {
				due = i + changeTakes
			}
		}
		loads := exactLoads(orders[i/hindsightPeriod])
		saved += (first.Skew(loads, nil) - present.Skew(loads, nil)) * testInterval.Seconds()
	}
	return saved
}

// exactLoads returns the loads that demand draws counts around.
func exactLoads(orders [][]int) tgexpert.Loads {
	l := tgexpert.NewLoads(testSets, testExperts)
	counts := demand(rand.New(rand.NewPCG(1, 1)), orders)
	for i, n := range counts {
		l.Tokens[i] = float64(n)
	}
	return l
}

// BenchmarkHindsight compares the balancer with a controller that knows each shift in advance, and its exact loads: it
// begins a change changeTakes before the shift and improves the map as long as a copy pays.
func BenchmarkHindsight(b *testing.B) {
	for range b.N {
		r := rand.New(rand.NewPCG(11, 12))
		orders := make([][][]int, hindsightShifts)
		orders[0] = newOrders(r)
		for s := 1; s < hindsightShifts; s++ {
			orders[s] = shifted(r, orders[s-1])
		}
		start := time.Unix(1000, 0)
		d := NewDemandEstimator(testSets, testExperts)
		balancer := NewBalancer(Limits{NewPerSet: 3, Slots: 8})
		own := net(orders, func(i int, present *tgexpert.Replication) *tgexpert.Replication {
			now := start.Add(time.Duration(i) * testInterval)
			d.Add(demand(r, orders[i/hindsightPeriod]), now)
			decision := balancer.Decide(present, d, nil, now)
			if decision.Next != nil {
				balancer.ChangeEnded(now.Add(changeTakes * testInterval))
			}
			return decision.Next
		})
		known := net(orders, func(i int, present *tgexpert.Replication) *tgexpert.Replication {
			at := min((i+changeTakes)/hindsightPeriod, hindsightShifts-1)
			next, before, after := present.Improve(exactLoads(orders[at]), tgexpert.ReplicationLimits{
				CopyCost: copyPrice / (hindsightPeriod * testInterval.Seconds()), NewPerRank: 12, NewPerSet: 3, Slots: 8,
			})
			if copies, _ := next.Copies(present); copies == 0 || before-after < 0.05 {
				return nil
			}
			return next
		})
		b.ReportMetric(own, "skewSeconds")
		b.ReportMetric(known, "skewSecondsKnown")
		b.ReportMetric(own/known, "ofHindsight")
	}
}

// shifted moves two thirds of the liked experts of each set to other ones.
func shifted(r *rand.Rand, orders [][]int) [][]int {
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
