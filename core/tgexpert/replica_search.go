package tgexpert

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxStepExperts = 4 // experts of the most loaded rank that a step considers
	maxStepTargets = 6 // least loaded ranks that a step considers
)

// replicaSearch is a local search for a better replication of one set.
type replicaSearch struct {
	done      bool    // no further step is worth its cost
	held      [][]int // experts by rank; shared with the result
	holders   [][]int // ranks, by expert
	limits    ReplicationLimits
	load      []float64 // by rank; tokens times slowdown
	mean      float64   // tokens per rank
	newInSet  []int     // copies of this set, by rank
	newOnRank []int     // copies, by rank; shared by all sets
	old       [][]int   // experts by rank before the search
	powerSum  float64   // sum of the eighth powers of the loads
	ranks     []int     // sorted by load as of the last step
	replicas  []int     // number of replicas by expert
	tokens    []float64
}

func newReplicaSearch(
	old, next *Replication, set int, tokens []float64, limits ReplicationLimits, newOnRank []int,
) *replicaSearch {
	holders := make([][]int, next.Experts)
	for r, held := range next.Sets[set] {
		for _, e := range held {
			holders[e] = append(holders[e], r)
		}
	}
	q := &replicaSearch{
		held: next.Sets[set], holders: holders, limits: limits, load: next.rankLoads(set, tokens, limits.Slowdowns),
		mean: sum(tokens) / float64(old.Ranks), newInSet: make([]int, old.Ranks), newOnRank: newOnRank,
		old: old.Sets[set], replicas: next.countReplicas(set), tokens: tokens,
	}
	for r := range q.load {
		q.ranks = append(q.ranks, r)
	}
	return q
}

// eighthPower returns the eighth power of a load over the mean. Sums of high powers fall with the largest load and still
// distinguish replications that share it.
func (q *replicaSearch) eighthPower(load float64) float64 {
	x := load / q.mean
	x *= x
	x *= x
	return x * x
}

// replicaChange is one step: rank to gets expert, rank from drops it and rank to drops evicted. A negative field stands
// for none.
type replicaChange struct {
	evicted int
	expert  int
	from    int
	to      int
}

// step applies the change with the greatest gain and reports whether there is one. The gain is the decrease of the largest
// load and, by powerMeanWeight, of the power mean, less the cost of a copy.
func (q *replicaSearch) step(cost float64) bool {
	if q.mean == 0 {
		return false
	}
	mostLoaded, top := 0, 0.0
	q.powerSum = 0 // recomputed in each step: the largest load leaves rounding errors in the sum when it falls
	for r, l := range q.load {
		q.powerSum += q.eighthPower(l)
		if l > top {
			mostLoaded, top = r, l
		}
	}
	best, bestGain := replicaChange{}, 0.0
	found := false
	_, power := q.topAndPowerMean()
	for _, c := range q.changes(mostLoaded) {
		price := 0.0
		if q.needsCopy(c) {
			price = cost
		}
		q.apply(c)
		// Several ranks may share the largest load; the power mean shows progress that does not lower it.
		newTop, newPower := q.topAndPowerMean()
		gain := top - newTop + powerMeanWeight*(power-newPower)*q.mean - price
		q.revert(c)
		if gain > bestGain {
			best, bestGain, found = c, gain, true
		}
	}
	if !found {
		return false
	}
	q.apply(best)
	q.recordCopy(best)
	return true
}

// powerMeanWeight is the weight of a decrease of the power mean relative to a decrease of the largest load.
const powerMeanWeight = 0.5

// topAndPowerMean returns the largest load, and the power mean of the loads divided by the mean load.
func (q *replicaSearch) topAndPowerMean() (top, power float64) {
	for _, l := range q.load {
		if l > top {
			top = l
		}
	}
	return top, math.Sqrt(math.Sqrt(math.Sqrt(q.powerSum / float64(len(q.load))))) // the eighth root
}

// changes lists the candidate changes that take load off the most loaded rank.
func (q *replicaSearch) changes(mostLoaded int) []replicaChange {
	experts := slices.Clone(q.held[mostLoaded])
	slices.SortFunc(experts, func(a, b int) int { return cmp.Compare(q.share(b), q.share(a)) })
	q.sortRanks()
	var list []replicaChange
	for _, e := range experts[:min(maxStepExperts, len(experts))] {
		targets := 0
		for _, to := range q.ranks {
			if targets == maxStepTargets {
				break
			}
			if slices.Contains(q.held[to], e) || !q.mayAdd(to, e) { // the most loaded rank holds e
				continue
			}
			targets++
			evicted, ok := q.eviction(to)
			if !ok {
				continue
			}
			list = append(list, replicaChange{evicted: evicted, expert: e, from: -1, to: to},
				replicaChange{evicted: evicted, expert: e, from: mostLoaded, to: to})
		}
		if q.replicas[e] > 1 { // the other replicas may carry the load alone
			list = append(list, replicaChange{evicted: -1, expert: e, from: mostLoaded, to: -1})
		}
	}
	return list
}

// sortRanks sorts the ranks by load. It is an insertion sort, since a step changes the order of few ranks.
func (q *replicaSearch) sortRanks() {
	for i, r := range q.ranks {
		j := i
		for ; j > 0 && q.load[q.ranks[j-1]] > q.load[r]; j-- {
			q.ranks[j] = q.ranks[j-1]
		}
		q.ranks[j] = r
	}
}

// share returns the load of one replica of an expert.
func (q *replicaSearch) share(e int) float64 { return q.tokens[e] / float64(q.replicas[e]) }

// mayAdd reports whether a rank may get an expert: it held it before, or the limits allow another copy.
func (q *replicaSearch) mayAdd(rank, expert int) bool {
	return slices.Contains(q.old[rank], expert) ||
		q.newInSet[rank] < q.limits.NewPerSet && q.newOnRank[rank] < q.limits.NewPerRank
}

// eviction returns the expert that a rank drops to get another one, or -1 if it has a free slot. ok is false if the rank
// has no free slot and no expert that other ranks hold too.
func (q *replicaSearch) eviction(rank int) (expert int, ok bool) {
	if len(q.held[rank]) < q.limits.Slots {
		return -1, true
	}
	expert = -1
	for _, e := range q.held[rank] {
		if q.replicas[e] > 1 && (expert < 0 || q.tokens[e] < q.tokens[expert]) {
			expert = e
		}
	}
	return expert, expert >= 0
}

func (q *replicaSearch) apply(c replicaChange) {
	if c.evicted >= 0 {
		q.remove(c.to, c.evicted)
	}
	if c.from >= 0 {
		q.remove(c.from, c.expert)
	}
	if c.to >= 0 {
		q.add(c.to, c.expert)
	}
}

func (q *replicaSearch) revert(c replicaChange) {
	if c.to >= 0 {
		q.remove(c.to, c.expert)
	}
	if c.from >= 0 {
		q.add(c.from, c.expert)
	}
	if c.evicted >= 0 {
		q.add(c.to, c.evicted)
	}
}

// needsCopy reports whether a change copies an expert to a rank that did not hold it before the search.
func (q *replicaSearch) needsCopy(c replicaChange) bool {
	return c.to >= 0 && !slices.Contains(q.old[c.to], c.expert)
}

// recordCopy counts the copy of a change that is kept.
func (q *replicaSearch) recordCopy(c replicaChange) {
	if q.needsCopy(c) {
		q.newInSet[c.to]++
		q.newOnRank[c.to]++
	}
}

func (q *replicaSearch) add(rank, e int) {
	q.setReplicas(e, 1, func() {
		q.held[rank] = append(q.held[rank], e)
		q.holders[e] = append(q.holders[e], rank)
	})
}

func (q *replicaSearch) remove(rank, e int) {
	q.setReplicas(e, -1, func() {
		q.held[rank] = removeValue(q.held[rank], e)
		q.holders[e] = removeValue(q.holders[e], rank)
	})
}

// removeValue removes a value that the list holds once.
func removeValue(list []int, v int) []int {
	i := slices.Index(list, v)
	return slices.Delete(list, i, i+1)
}

// setReplicas changes the ranks that hold an expert and redistributes its load.
func (q *replicaSearch) setReplicas(e, by int, edit func()) {
	q.addLoad(e, -1)
	edit()
	q.replicas[e] += by
	q.addLoad(e, 1)
}

// addLoad adds the load of an expert to the ranks that hold it, or subtracts it if sign is -1.
func (q *replicaSearch) addLoad(e int, sign float64) {
	if q.replicas[e] == 0 {
		return
	}
	share := sign * q.share(e)
	for _, r := range q.holders[e] {
		before := q.load[r]
		q.load[r] += share * q.limits.Slowdowns.factor(r)
		q.powerSum += q.eighthPower(q.load[r]) - q.eighthPower(before)
	}
}
