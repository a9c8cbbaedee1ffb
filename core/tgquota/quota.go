// Package tgquota divides limits that all entries keep together into the parts that each of them may use. The parts
// leave room for an entry that the others do not know of yet, and for one that is cut off or starts anew.
package tgquota

// restartRoom is the part of the retry budget that is handed out: an entry that starts anew has forgotten what it spent.
const restartRoom = 0.5

// RetryBurst returns an entry's part of the repeats that a pool bears beyond a ratio of its requests.
func RetryBurst(total float64, entries int) float64 {
	return restartRoom * total / float64(max(1, entries))
}

// ColdRate returns an entry's part of the requests in a second that a cold upstream bears.
func ColdRate(total float64, entries int) float64 { return total / float64(max(1, entries)+1) }

// MaxConnections returns an entry's part of the connections of an upstream, at least one; 0 is no bound.
func MaxConnections(total, entries int) int {
	if total <= 0 {
		return 0
	}
	return max(1, total/(max(1, entries)+1))
}

// floorShare is the part of the slots in which streams are on time even if one rank has three times the mean load.
const floorShare = 0.25

// MinStreams returns the streams that an entry admits to the slots of a pool whatever the passes take, at least one.
func MinStreams(slots, entries int) float64 {
	return max(1, floorShare*float64(slots)/float64(max(1, entries)))
}

// PoolShare returns the part of a pool that an entry uses, from its own streams and those of the others. Each entry
// counts for one stream more, so that one without streams has a part, too.
func PoolShare(own, others, entries int) float64 {
	return float64(own+1) / float64(own+others+max(1, entries))
}
