package tgexpert

const (
	maxLayerTries       = 48    // changes tried in one layer
	candidateTargets    = 32    // least loaded ranks tried as targets; with 6, the skew was 0.011 higher at 32 ranks
	evenLoadFactor      = 1.004 // of the mean load, below which the search ends; the noise of single steps is larger
	maxMovesWithoutGain = 8     // experts moved without a gain, after which the search of a layer ends
)

// change is one step of the improvement of a layer: the expert of slot from gets a replica in slot to, or the two
// slots swap their experts.
type change struct {
	from, to int
	moves    int     // experts to load
	maxLoad  float64 // estimate of the largest load among the ranks concerned
	swap     bool
}

// improve changes the placement of the layer and returns the number of experts moved. It applies the best single change
// repeatedly, even if one brings no gain alone because several ranks are equally loaded, and keeps the changes up to the
// point where the decrease of the largest rank load, less gain tokens for each expert moved, is greatest. It tries at most
// limit changes and returns how many it tried.
func (s *solver) improve(gain float64, limit int) (bestMoves, tried int) {
	s.split(splitRounds)
	before := s.load[s.mostLoaded()]
	s.bestExperts = append(s.bestExperts[:0], s.experts...)
	s.bestWeights = append(s.bestWeights[:0], s.weights...)
	moves, bestScore := 0, 0.0
	even := sum(s.load) / float64(len(s.load)) * evenLoadFactor
	for ; tried < limit && moves-bestMoves < maxMovesWithoutGain; tried++ {
		mostLoaded := s.mostLoaded()
		if s.load[mostLoaded] < even {
			break
		}
		c, ok := s.bestChange(mostLoaded, s.load[mostLoaded])
		if !ok {
			break
		}
		s.apply(c)
		s.split(resplitRounds)
		moves += c.moves
		if score := before - s.load[s.mostLoaded()] - gain*float64(moves); score > bestScore {
			bestMoves, bestScore = moves, score
			copy(s.bestExperts, s.experts)
			copy(s.bestWeights, s.weights)
		}
	}
	copy(s.experts, s.bestExperts)
	copy(s.weights, s.bestWeights)
	return bestMoves, tried
}

// improvePair is improve for a layer whose loads alternate between the tokens of s and those of other, a second solver of
// the same placement. The experts in the slots are the same for both patterns; only the split differs.
func (s *solver) improvePair(other *solver, gain float64, limit int) (bestMoves, tried int) {
	pair := []*solver{s, other}
	slowest := func() (total float64, worst *solver) {
		worst, highest := s, 0.0
		for _, p := range pair {
			load := p.load[p.mostLoaded()]
			if skew := load / sum(p.load); skew > highest {
				worst, highest = p, skew
			}
			total += load / 2
		}
		return total, worst
	}
	s.split(splitRounds)
	other.split(splitRounds)
	before, worst := slowest()
	s.bestExperts = append(s.bestExperts[:0], s.experts...)
	s.bestWeights = append(s.bestWeights[:0], s.weights...)
	moves, bestScore := 0, 0.0
	for ; tried < limit && moves-bestMoves < maxMovesWithoutGain; tried++ {
		mostLoaded := worst.mostLoaded()
		c, ok := worst.bestChange(mostLoaded, worst.load[mostLoaded])
		if !ok {
			break
		}
		for _, p := range pair {
			p.apply(c)
			p.split(resplitRounds)
		}
		moves += c.moves
		var after float64
		if after, worst = slowest(); before-after-gain*float64(moves) > bestScore {
			bestMoves, bestScore = moves, before-after-gain*float64(moves)
			copy(s.bestExperts, s.experts)
			copy(s.bestWeights, s.weights)
		}
	}
	copy(s.experts, s.bestExperts)
	copy(s.weights, s.bestWeights)
	return bestMoves, tried
}

// mostLoaded returns the most loaded rank.
func (s *solver) mostLoaded() int {
	h := 0
	for r, l := range s.load {
		if l > s.load[h] {
			h = r
		}
	}
	return h
}

// bestChange returns the change that lowers the largest load most, estimated without a new split.
func (s *solver) bestChange(mostLoaded int, before float64) (change, bool) {
	best := change{maxLoad: before}
	found := false
	for _, light := range s.leastLoaded() {
		for from := mostLoaded * s.slots; from < (mostLoaded+1)*s.slots; from++ {
			e := s.experts[from]
			if e == EmptySlot || s.holds(light, e) || light == mostLoaded {
				continue
			}
			for to := light * s.slots; to < (light+1)*s.slots; to++ {
				if c, ok := s.estimate(from, to); ok && c.maxLoad < best.maxLoad {
					best, found = c, true
				}
			}
		}
	}
	return best, found
}

// leastLoaded returns the least loaded ranks, at most candidateTargets of them, by load.
func (s *solver) leastLoaded() []int {
	order := s.order[:0]
	for r := range s.load {
		i := len(order)
		if i < candidateTargets {
			order = append(order, r)
		} else if s.load[r] < s.load[order[i-1]] {
			i--
			order[i] = r
		} else {
			continue
		}
		for ; i > 0 && s.load[order[i]] < s.load[order[i-1]]; i-- {
			order[i], order[i-1] = order[i-1], order[i]
		}
	}
	return order
}

// estimate returns the change that puts the expert of slot from into slot to, as a replica or, if the expert there has no
// other replica, as a swap. It returns false if that takes no load off the rank of from.
func (s *solver) estimate(from, to int) (change, bool) {
	heavy, light := s.rank(from), s.rank(to)
	share := s.weights[from] * s.tokens[s.experts[from]]
	evicted := s.experts[to]
	if evicted == EmptySlot || len(s.replicas[evicted]) > 1 {
		released, other := 0.0, 0.0
		if evicted != EmptySlot {
			released = s.weights[to] * s.tokens[evicted]
			other = released + s.minOtherReplicaLoad(evicted, to)
		}
		rest := s.load[light] - released
		part := min(share, (s.load[heavy]-rest)/2)
		return change{from: from, moves: 1, maxLoad: max(s.load[heavy]-part, rest+part, other), to: to}, part > 0
	}
	returned := s.weights[to] * s.tokens[evicted]
	maxLoad := max(s.load[heavy]-share+returned, s.load[light]-returned+share)
	return change{from: from, moves: 2, maxLoad: maxLoad, swap: true, to: to}, !s.holds(heavy, evicted) && share > returned
}

// minOtherReplicaLoad returns the lowest load of the ranks that hold replicas of expert in slots other than without.
func (s *solver) minOtherReplicaLoad(expert, without int) float64 {
	load := -1.0
	for _, slot := range s.replicas[expert] {
		if l := s.load[s.rank(slot)]; slot != without && (load < 0 || l < load) {
			load = l
		}
	}
	return load
}

func (s *solver) apply(c change) {
	e, evicted := s.experts[c.from], s.experts[c.to]
	if c.swap {
		s.replace(c.from, evicted)
		s.replace(c.to, e)
		s.weights[c.from], s.weights[c.to] = s.weights[c.to], s.weights[c.from]
		return
	}
	if evicted != EmptySlot {
		for _, slot := range s.replicas[evicted] {
			if slot != c.to {
				s.weights[slot] += s.weights[c.to] // the next split redistributes it
				break
			}
		}
	}
	s.replace(c.to, e)
	s.weights[c.to] = 0
}

func (s *solver) replace(slot, expert int) {
	if old := s.experts[slot]; old != EmptySlot {
		slots := s.replicas[old]
		for i, v := range slots {
			if v == slot {
				slots[i] = slots[len(slots)-1]
				s.replicas[old] = slots[:len(slots)-1]
				break
			}
		}
	}
	s.experts[slot] = expert
	if expert != EmptySlot {
		s.replicas[expert] = append(s.replicas[expert], slot)
	}
}
