// Package tgquota divides limits that apply to all entries together into the share of each entry. The shares leave room
// for an entry that the others do not know yet, for one that is cut off from them, and for one that restarts.
package tgquota

// burstFraction is the part of the retry burst that is handed out. The rest covers entries that restart, which have lost
// the record of the retries they made.
const burstFraction = 0.5

// RetryBurst returns an entry's share of the retries that a pool allows beyond a ratio of its requests.
func RetryBurst(total float64, entries int) float64 {
	return burstFraction * total / float64(max(1, entries))
}

// ColdRate returns an entry's share of the requests per second that a cold upstream may get. One share is spare.
func ColdRate(total float64, entries int) float64 { return total / float64(max(1, entries)+1) }

// MaxConnections returns an entry's share of the connections to an upstream, at least one, with one share spare; 0 means
// unbounded.
func MaxConnections(total, entries int) int {
	if total <= 0 {
		return 0
	}
	return max(1, total/(max(1, entries)+1))
}

// minStreamsFraction is the part of a pool's slots whose streams are on time even if one rank has three times the mean
// load.
const minStreamsFraction = 0.25

// MinStreams returns the number of concurrent streams that an entry admits to a pool however long the passes take, at
// least one.
func MinStreams(slots, entries int) float64 {
	return max(1, minStreamsFraction*float64(slots)/float64(max(1, entries)))
}

// PoolShare returns the share of a pool that an entry uses, from its own streams and those of the others. Each entry
// counts one stream more than it has, so that an entry without streams gets a share too.
func PoolShare(own, others, entries int) float64 {
	return float64(own+1) / float64(own+others+max(1, entries))
}

// SpareStreams returns an entry's share of the slots of a pool that are not used, at least one.
func SpareStreams(slots, used, entries int) float64 {
	return max(1, float64(slots-used)/float64(max(1, entries)))
}
