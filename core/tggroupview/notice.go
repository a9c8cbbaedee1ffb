// Package tggroupview holds what an entry knows of the rank groups from the notices of their leader: the engines of each
// group, whether the group runs, and the load of each engine over all entries.
package tggroupview

import (
	"hash/fnv"
	"net/netip"
	"time"
)

// State is the state of a group.
type State string

// The states of a group.
const (
	StateBroken  State = "broken" // it runs no passes: a rank is lost, or the group is forming
	StateOpen    State = "open"
	StateUnknown State = "" // too few ranks have reported lately
)

// Notice is what the leader tells the entries. It may name some of the groups only.
type Notice struct {
	Groups []GroupNotice `cbor:"1,keyasint"`
	Number uint64        `cbor:"2,keyasint"` // grows within a term, by which notices that overtake others are told
	Token  int64         `cbor:"3,keyasint"` // of the leader's term
}

// GroupNotice is the part of a notice on one group.
type GroupNotice struct {
	Digest  uint32           `cbor:"1,keyasint,omitempty"` // of the members; 0 if the leader does not know all of them
	Epoch   int64            `cbor:"2,keyasint"`
	Loads   []RankLoad       `cbor:"3,keyasint,omitempty"` // by rank; empty if they are not told
	Members []netip.AddrPort `cbor:"4,keyasint,omitempty"` // engines by rank; empty if they are not told
	Name    string           `cbor:"5,keyasint"`
	State   State            `cbor:"6,keyasint,omitempty"`
}

// MembersRequest is the datagram with which an entry asks the leader for the members of all groups.
type MembersRequest struct {
	Members bool `cbor:"5,keyasint"`
}

const (
	// ageUnit is the resolution of ages: the round trip in a data centre is shorter, so more says nothing.
	ageUnit    = 5 * time.Millisecond
	maxLevel   = 255
	maxMembers = 4096 // of a group
	maxGroups  = 1024
)

// RankLoad is the load of one engine in three bytes: the streams, the share of its memory that is used, and the age of
// both. They saturate, and each value that is too large to be told counts as the largest.
type RankLoad [3]byte

// unknownLoad stands for a rank whose load is not known; its age would be too high to be of use.
var unknownLoad = RankLoad{0, 0, maxLevel}

// NewRankLoad returns the load of a rank. memory is the share that is used, from 0 to 1.
func NewRankLoad(streams int, memory float64, age time.Duration) RankLoad {
	return RankLoad{level(float64(streams)), level(memory * maxLevel), level(float64(age) / float64(ageUnit))}
}

// UnknownRankLoad returns the load of a rank that has not reported it.
func UnknownRankLoad() RankLoad { return unknownLoad }

func level(v float64) byte {
	switch {
	case !(v > 0): // also not a number
		return 0
	case v >= maxLevel:
		return maxLevel
	default:
		return byte(v + 0.5)
	}
}

func (l RankLoad) streams() float64   { return float64(l[0]) }
func (l RankLoad) memory() float64    { return float64(l[1]) / maxLevel }
func (l RankLoad) age() time.Duration { return time.Duration(l[2]) * ageUnit }
func (l RankLoad) known() bool        { return l[2] < maxLevel }

// MembersDigest returns a digest of the engines of a group by rank, never 0.
func MembersDigest(members []netip.AddrPort) uint32 {
	h := fnv.New32a()
	for _, m := range members {
		b, _ := m.MarshalBinary()               // never fails
		_, _ = h.Write(append(b, byte(len(b)))) // never fails
	}
	return max(1, h.Sum32())
}
