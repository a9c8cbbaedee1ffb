package tgexpert

import "slices"

// Replication assigns the experts of each set to ranks. The ranks that hold an expert share its tokens evenly. In the
// Loads of a replication, a set takes the place of a layer.
type Replication struct {
	Experts int // of each set
	Ranks   int
	Sets    [][][]int // by set and rank: the experts, each at most once
}

// NewReplication returns the replication that assigns experts to ranks round robin, one rank for each expert.
func NewReplication(sets, experts, ranks int) *Replication {
	p := &Replication{Experts: experts, Ranks: ranks, Sets: make([][][]int, sets)}
	for s := range p.Sets {
		p.Sets[s] = make([][]int, ranks)
		for e := range experts {
			p.Sets[s][e%ranks] = append(p.Sets[s][e%ranks], e)
		}
	}
	return p
}

// Clone returns a copy.
func (p *Replication) Clone() *Replication {
	c := &Replication{Experts: p.Experts, Ranks: p.Ranks, Sets: make([][][]int, len(p.Sets))}
	for s, ranks := range p.Sets {
		c.Sets[s] = make([][]int, len(ranks))
		for r, held := range ranks {
			c.Sets[s][r] = slices.Clone(held)
		}
	}
	return c
}

// Copies returns how many experts the ranks of p hold that the same ranks of old do not: in all, and on the rank with most.
func (p *Replication) Copies(old *Replication) (all, most int) {
	perRank := make([]int, p.Ranks)
	for s, ranks := range p.Sets {
		for r, held := range ranks {
			for _, e := range held {
				if !slices.Contains(old.Sets[s][r], e) {
					perRank[r]++
				}
			}
		}
	}
	for _, n := range perRank {
		all += n
		most = max(most, n)
	}
	return all, most
}

// Skew returns the time of the experts' part of a pass divided by that of evenly loaded ranks without slowdown.
func (p *Replication) Skew(loads Loads, slowdowns Slowdowns) float64 {
	slowest, mean := 0.0, 0.0
	for s := range p.Sets {
		tokens := loads.Layer(s)
		slowest += slices.Max(p.rankLoads(s, tokens, slowdowns))
		mean += sum(tokens) / float64(p.Ranks)
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

// Slowdowns holds, by rank, how many times as long as usual the rank takes for its work; nil means that none is slow.
type Slowdowns []float64

func (s Slowdowns) factor(rank int) float64 {
	if rank >= len(s) {
		return 1
	}
	return s[rank]
}

// rankLoads returns the load of each rank in a set: tokens times slowdown.
func (p *Replication) rankLoads(set int, tokens []float64, slowdowns Slowdowns) []float64 {
	replicas := p.countReplicas(set)
	load := make([]float64, p.Ranks)
	for r, held := range p.Sets[set] {
		for _, e := range held {
			load[r] += slowdowns.factor(r) * tokens[e] / float64(replicas[e])
		}
	}
	return load
}

// countReplicas returns the number of ranks that hold each expert of a set.
func (p *Replication) countReplicas(set int) []int {
	n := make([]int, p.Experts)
	for _, held := range p.Sets[set] {
		for _, e := range held {
			n[e]++
		}
	}
	return n
}

// Valid reports whether every expert has a rank, no rank has more than slots experts of a set, and none holds an expert
// of a set twice.
func (p *Replication) Valid(slots int) bool {
	for s, ranks := range p.Sets {
		for _, held := range ranks {
			if len(held) > slots {
				return false
			}
			for i, e := range held {
				if e < 0 || e >= p.Experts || slices.Contains(held[:i], e) {
					return false
				}
			}
		}
		if slices.Contains(p.countReplicas(s), 0) {
			return false
		}
	}
	return true
}

// ReplicationLimits bound one change of a replication.
type ReplicationLimits struct {
	CopyCost   float64 // skew that each copy has to save
	NewPerRank int     // copies to one rank, over all sets; they run one after the other
	NewPerSet  int     // copies of one set to one rank
	Slots      int     // experts of a set on one rank
	Slowdowns  Slowdowns
}

// Improve returns a replication with less skew under the loads, and the skew before and after. Each step of the search
// saves more skew than its copies cost.
func (p *Replication) Improve(loads Loads, limits ReplicationLimits) (next *Replication, before, after float64) {
	next = p.Clone()
	before = p.Skew(loads, limits.Slowdowns)
	mean := 0.0
	for s := range p.Sets {
		mean += sum(loads.Layer(s)) / float64(p.Ranks)
	}
	if mean == 0 {
		return next, before, before
	}
	newOnRank := make([]int, p.Ranks)
	searches := make([]*replicaSearch, len(p.Sets))
	for s := range p.Sets {
		searches[s] = newReplicaSearch(p, next, s, loads.Layer(s), limits, newOnRank)
	}
	// Each set takes one step in turn, so that all sets get a share of the copies to a rank.
	for progress := true; progress; {
		progress = false
		for _, search := range searches {
			if !search.done {
				search.done = !search.step(limits.CopyCost * mean)
				progress = progress || !search.done
			}
		}
	}
	return next, before, next.Skew(loads, limits.Slowdowns)
}
