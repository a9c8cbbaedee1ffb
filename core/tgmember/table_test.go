package tgmember

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
)

func member(name, dataCentre string, status tgframe.MemberStatus, generation uint64, incarnation uint32) tgframe.Member {
	return tgframe.Member{
		Address: netip.MustParseAddrPort("127.0.0.1:1000"), DataCentre: dataCentre, Generation: generation,
		Incarnation: incarnation, Name: name, Status: status,
	}
}

// Guards against members that are taken for alive without evidence, or lost through an update about an earlier process.
func TestTableStatusTransitions(t *testing.T) {
	const alive, dead, leaving = tgframe.MemberAlive, tgframe.MemberDead, tgframe.MemberLeaving
	const listed, suspect = tgframe.MemberListed, tgframe.MemberSuspect
	list := func(m tgframe.Member) func(*Table) { return func(x *Table) { x.MergeVMList([]tgframe.Member{m}) } }
	merge := func(m tgframe.Member) func(*Table) { return func(x *Table) { x.Merge([]tgframe.Member{m}) } }
	observe := func(m tgframe.Member) func(*Table) { return func(x *Table) { x.Observe(m) } }
	for _, row := range []struct {
		name  string
		steps []func(*Table)
		want  tgframe.MemberStatus
	}{
		{"a live mark alone is no evidence", []func(*Table){list(member("b", "x", listed, 0, 0))}, listed},
		{"a heartbeat is evidence", []func(*Table){
			list(member("b", "x", listed, 0, 0)), observe(member("b", "x", "", 5, 0)),
		}, alive},
		{"a leaving mark is trusted at once", []func(*Table){
			observe(member("b", "x", "", 5, 0)), list(member("b", "x", leaving, 0, 0)),
		}, leaving},
		{"a leaving member that answers still leaves", []func(*Table){
			observe(member("b", "x", "", 5, 0)), list(member("b", "x", leaving, 0, 0)), observe(member("b", "x", "", 5, 1)),
		}, leaving},
		{"a later process on a leaving VM is alive", []func(*Table){
			observe(member("b", "x", "", 5, 0)), list(member("b", "x", leaving, 0, 0)), observe(member("b", "x", "", 6, 0)),
		}, alive},
		{"an update about an earlier process is ignored", []func(*Table){
			observe(member("b", "x", "", 5, 0)), merge(member("b", "x", dead, 4, 9)),
		}, alive},
		{"a suspicion is refuted by the next incarnation", []func(*Table){
			observe(member("b", "x", "", 5, 0)), merge(member("b", "x", suspect, 5, 0)), merge(member("b", "x", alive, 5, 1)),
		}, alive},
		{"a late update does not undo a death", []func(*Table){
			merge(member("b", "x", dead, 5, 0)), merge(member("b", "x", alive, 5, 0)),
		}, dead},
		{"a suspicion that is not refuted ends in death", []func(*Table){
			observe(member("b", "x", "", 5, 0)), func(x *Table) { x.Suspect("b"); time.Sleep(suspicionPeriod); x.Expire() },
		}, dead},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable(member("a", "x", alive, 1, 0))
				for _, step := range row.steps {
					step(table)
				}
				assert.Equal(t, table.Members()["b"].Status, row.want)
			})
		})
	}
}

// Guards against a process that stays dead for the others because its refutation does not supersede the update that says
// it is dead, also after a restart with a clock that was set back.
func TestTableRefutesOwnDeath(t *testing.T) {
	for _, generation := range []uint64{5, 9} {
		table := NewTable(member("a", "x", tgframe.MemberAlive, 5, 0))
		stale := member("a", "x", tgframe.MemberDead, generation, 3)
		table.Merge([]tgframe.Member{stale})
		updates := table.Updates("b", "x", 1)
		assert.Equal(t, len(updates), 1)
		assert.Assert(t, newer(updates[0], stale), "refutation %+v does not replace %+v", updates[0], stale)
	}
}

// Guards against views that grow with the deployment instead of the daemon's data centre, and against an unresponsive
// representative that keeps its place when another one is known.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(member("a", "x", tgframe.MemberAlive, 1, 0))
	for i := range 100 {
		table.Observe(member(fmt.Sprintf("x%d", i), "x", "", 1, 0))
		table.Observe(member(fmt.Sprintf("y%d", i), "y", "", 1, 0))
	}
	assert.Equal(t, table.CountByStatus()[tgframe.MemberAlive], 101+maxRemoteMembers)
	for range unresponsiveFailures {
		for name := range table.Members() {
			table.RecordFailure(name)
		}
	}
	table.MergeVMList([]tgframe.Member{member("new", "y", tgframe.MemberListed, 0, 0)})
	assert.Equal(t, table.Members()["new"].Status, tgframe.MemberListed, "an unresponsive representative is not replaced")
}
