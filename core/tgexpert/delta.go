package tgexpert

import "slices"

// Delta is the difference between two replications; its size grows with the number of moves, not of experts.
type Delta struct {
	Experts int // of each set
	Moves   []Move
	Ranks   int
	Sets    int
}

// Move is one expert of one set that a rank gets or drops.
type Move struct {
	Expert int
	Gone   bool // the rank drops the expert
	Rank   int
	Set    int
}

// Delta returns how p differs from old.
func (p *Replication) Delta(old *Replication) Delta {
	d := Delta{Experts: p.Experts, Ranks: p.Ranks, Sets: len(p.Sets)}
	for s := range p.Sets {
		for r, held := range p.Sets[s] {
			for _, e := range old.Sets[s][r] {
				if !slices.Contains(held, e) {
					d.Moves = append(d.Moves, Move{Expert: e, Gone: true, Rank: r, Set: s})
				}
			}
			for _, e := range held {
				if !slices.Contains(old.Sets[s][r], e) {
					d.Moves = append(d.Moves, Move{Expert: e, Rank: r, Set: s})
				}
			}
		}
	}
	return d
}

// Apply returns p changed by d, or false if d does not fit p: it has other sizes, drops an expert that the rank does not
// hold or adds one that it holds.
func (p *Replication) Apply(d Delta) (*Replication, bool) {
	if p.Experts != d.Experts || p.Ranks != d.Ranks || len(p.Sets) != d.Sets {
		return nil, false
	}
	next := p.Clone()
	for _, m := range d.Moves {
		if m.Set < 0 || m.Set >= d.Sets || m.Rank < 0 || m.Rank >= d.Ranks {
			return nil, false
		}
		held := next.Sets[m.Set][m.Rank]
		switch i := slices.Index(held, m.Expert); {
		case m.Gone && i >= 0:
			next.Sets[m.Set][m.Rank] = slices.Delete(held, i, i+1)
		case !m.Gone && i < 0:
			next.Sets[m.Set][m.Rank] = append(held, m.Expert)
		default:
			return nil, false
		}
	}
	return next, true
}

// Sort sorts the experts of each rank, so that equal replications have equal representations.
func (p *Replication) Sort() {
	for _, ranks := range p.Sets {
		for _, held := range ranks {
			slices.Sort(held)
		}
	}
}
