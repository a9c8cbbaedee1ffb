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

// replicaSearch improves one set.
type replicaSearch struct {
	done      bool
	held      [][]int // by rank, shared with the result
	holders   [][]int // ranks, by expert
	limits    ReplicationLimits
	load      []float64
	mean      float64
	newInSet  []int // by rank
	newOnRank []int // by rank, shared by all sets
	old       [][]int
	powerSum  float64 // sum of the raised loads
	ranks     []int   // by load, as of the last step
	replicas  []int
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
// distinguish plans that share it.
func (q *replicaSearch) eighthPower(load float64) float64 {
	x := load / q.mean
	x *= x
	x *= x
	return x * x
}

// replicaChange is one step: expert goes to rank to, leaves rank from unless from is negative, and evicted leaves rank to
// unless it is negative.
type replicaChange struct {
	evicted int
	expert  int
	from    int
	to      int
}

// step takes the change that lowers the load of the most loaded rank most, if it saves more than its copy costs.
func (q *replicaSearch) step(cost float64) bool {
	if q.mean == 0 {
		return false
	}
	mostLoaded, top := 0, 0.0
	q.powerSum = 0 // summed anew in each step: the largest load leaves rounding errors when it falls
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
		// Several ranks may share the top; the power mean shows progress below it.
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

// powerMeanWeight weighs a lower power mean against a lower top.
const powerMeanWeight = 0.5

// topAndPowerMean returns the largest load and the power mean of the loads over their mean.
func (q *replicaSearch) topAndPowerMean() (top, power float64) {
	for _, l := range q.load {
		if l > top {
			top = l
		}
	}
	return top, math.Sqrt(math.Sqrt(math.Sqrt(q.powerSum / float64(len(q.load))))) // the eighth root
}

// changes lists what may take load off a rank.
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
		if q.replicas[e] > 1 { // the others may bear it alone
			list = append(list, replicaChange{evicted: -1, expert: e, from: mostLoaded, to: -1})
		}
	}
	return list
}

// sortRanks sorts the ranks by load. A step moves few of them, so that insertion needs few moves.
func (q *replicaSearch) sortRanks() {
	for i, r := range q.ranks {
		j := i
		for ; j > 0 && q.load[q.ranks[j-1]] > q.load[r]; j-- {
			q.ranks[j] = q.ranks[j-1]
		}
		q.ranks[j] = r
	}
}

func (q *replicaSearch) share(e int) float64 { return q.tokens[e] / float64(q.replicas[e]) }

func (q *replicaSearch) mayAdd(rank, expert int) bool {
	return slices.Contains(q.old[rank], expert) ||
		q.newInSet[rank] < q.limits.NewPerSet && q.newOnRank[rank] < q.limits.NewPerRank
}

// eviction returns the replica that a rank gives up for another expert, -1 if it has a free place.
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

// needsCopy reports whether a change makes a rank load an expert.
func (q *replicaSearch) needsCopy(c replicaChange) bool {
	return c.to >= 0 && !slices.Contains(q.old[c.to], c.expert)
}

// recordCopy notes the copy of a change that is kept.
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

// setReplicas changes who holds an expert and moves its load.
func (q *replicaSearch) setReplicas(e, by int, edit func()) {
	q.addLoad(e, -1)
	edit()
	q.replicas[e] += by
	q.addLoad(e, 1)
}

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
