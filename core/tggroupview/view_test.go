package tggroupview

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

func engine(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func engines(numbers ...int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(numbers))
	for _, n := range numbers {
		list = append(list, engine(n))
	}
	return list
}

// groupNotice is a notice on one group with two ranks that have 3 and 4 streams.
func groupNotice(token int64, number uint64, state State, members []netip.AddrPort) Notice {
	return Notice{Number: number, Token: token, Groups: []GroupNotice{{
		Digest: MembersDigest(members), Epoch: 1, Members: members, Name: "g", State: state,
		Loads: []RankLoad{NewRankLoad(3, 0.5, 50*time.Millisecond), NewRankLoad(4, 0, 0)},
	}}}
}

func kinds(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(string(c.Kind) + " ")
	}
	return b.String()
}

// Guards against notices that are believed although a newer one is known: the datagrams of two leaders cross while the
// former one does not know that it was replaced, one overtakes another, or one is malformed.
func TestNoticesInAnyOrder(t *testing.T) {
	members := engines(1, 2)
	withoutMembers := groupNotice(2, 2, StateBroken, members)
	withoutMembers.Groups[0].Members = nil
	for name, c := range map[string]struct {
		after   time.Duration // of the second notice
		changes string        // that the second notice causes
		open    bool          // after the second notice
		second  Notice
	}{
		"formerLeader":      {second: groupNotice(1, 9, StateBroken, members), open: true},
		"formerLeaderLater": {after: time.Second, second: groupNotice(1, 9, StateBroken, members), open: true},
		"leaderWhoseStoreWasReset": {
			after: termTTL, second: groupNotice(1, 1, StateBroken, members), changes: "groupBroken ",
		},
		"malformedState":  {second: groupNotice(2, 2, "x", members), open: true},
		"membersNotAgain": {second: withoutMembers, changes: "groupBroken "},
		"newLeader":       {second: groupNotice(3, 1, StateBroken, members), changes: "groupBroken "},
		"next":            {second: groupNotice(2, 2, StateBroken, members), changes: "groupBroken "},
		"noToken":         {second: groupNotice(0, 2, StateBroken, members), open: true},
		"overtaken":       {second: groupNotice(2, 1, StateBroken, members), open: true},
		"repeated":        {second: groupNotice(2, 2, StateOpen, members), open: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			changes, _ := v.Apply(groupNotice(2, 1, StateOpen, members), epoch)
			assert.Equal(t, kinds(changes), "groupOpen groupMembers ")
			changes, _ = v.Apply(c.second, epoch.Add(c.after))
			assert.Equal(t, kinds(changes), c.changes)
			open, known := v.Open(engine(1), epoch.Add(c.after))
			assert.Equal(t, open, c.open)
			assert.Equal(t, known, c.after < termTTL || c.changes != "")
		})
	}
}

// Guards against an entry that goes on with what a leader told that has died, is frozen or cut off: states and loads must
// end with the time of an election, members must outlast it.
func TestNoticesExpire(t *testing.T) {
	v := NewView()
	_, known := v.Open(engine(1), epoch)
	assert.Assert(t, !known)
	v.Apply(groupNotice(1, 1, StateBroken, engines(1, 2)), epoch)
	streams, age, ok := v.Load(engine(1), epoch.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, streams, 3.0)
	assert.Equal(t, age, 1050*time.Millisecond)
	share, ok := v.Memory(engine(1), epoch)
	assert.Assert(t, ok && math.Abs(share-0.5) < 0.01, "%v", share)
	assert.Equal(t, len(v.Expire(epoch.Add(time.Second))), 0)

	late := epoch.Add(1300 * time.Millisecond)
	_, _, ok = v.Load(engine(2), late)
	assert.Assert(t, !ok)
	_, known = v.Open(engine(1), late)
	assert.Assert(t, !known)
	changes := v.Expire(late)
	assert.Equal(t, kinds(changes), "groupUnknown ")
	assert.Equal(t, changes[0].Age, 1300*time.Millisecond)
	assert.Equal(t, len(v.Expire(late)), 0) // returned only once
	name, ok := v.Group(engine(2))
	assert.Assert(t, ok && name == "g")

	v.Expire(epoch.Add(2 * time.Minute))
	_, ok = v.Group(engine(2))
	assert.Assert(t, !ok)
	assert.Equal(t, len(v.States(late)), 0)
}

// Guards against loads and failures that are ascribed to the wrong engines: a group forms again with other members, and
// the datagram that names them is lost.
func TestMembersChange(t *testing.T) {
	v := NewView()
	v.Apply(groupNotice(1, 1, StateOpen, engines(1, 2)), epoch)
	changed := groupNotice(1, 2, StateOpen, engines(3, 1))
	lost := changed.Groups[0].Members
	changed.Groups[0].Members = nil
	_, request := v.Apply(changed, epoch)
	assert.Assert(t, request)
	_, ok := v.Group(engine(2))
	assert.Assert(t, !ok)
	_, _, ok = v.Load(engine(1), epoch)
	assert.Assert(t, !ok)
	changed.Number = 3
	_, request = v.Apply(changed, epoch)
	assert.Assert(t, !request, "a request was sent just before")
	changed.Number = 4
	_, request = v.Apply(changed, epoch.Add(time.Second))
	assert.Assert(t, request, "the answer may be lost")

	changed.Number, changed.Groups[0].Members = 5, lost
	changes, request := v.Apply(changed, epoch.Add(time.Second))
	assert.Assert(t, !request)
	assert.Equal(t, kinds(changes), "groupMembers ")
	streams, _, ok := v.Load(engine(1), epoch.Add(time.Second))
	assert.Assert(t, ok && streams == 4, "%v", streams)
	_, ok = v.Group(engine(2))
	assert.Assert(t, !ok)
}

// Guards against an entry that forgets the members while a new leader has not heard all ranks yet.
func TestUnknownMembersKeepFormerOnes(t *testing.T) {
	v := NewView()
	v.Apply(groupNotice(1, 1, StateOpen, engines(1, 2)), epoch)
	n := Notice{Number: 1, Token: 2, Groups: []GroupNotice{{Epoch: 1, Name: "g", State: StateOpen}}}
	_, request := v.Apply(n, epoch)
	assert.Assert(t, !request)
	name, ok := v.Group(engine(1))
	assert.Assert(t, ok && name == "g")
}

// Guards against values of a faulty engine that wrap around to a small load.
func TestRankLoadSaturates(t *testing.T) {
	for name, c := range map[string]struct {
		load RankLoad
		want RankLoad
	}{
		"large":       {NewRankLoad(1<<20, 7, time.Hour), RankLoad{255, 255, 255}},
		"negative":    {NewRankLoad(-3, -1, -time.Second), RankLoad{0, 0, 0}},
		"notANumber":  {NewRankLoad(0, math.NaN(), 0), RankLoad{0, 0, 0}},
		"usual":       {NewRankLoad(10, 0.2, 100*time.Millisecond), RankLoad{10, 51, 20}},
		"notReported": {UnknownRankLoad(), RankLoad{0, 0, 255}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.load, c.want) })
	}
}
