package tgrank

import (
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tggroupview"
)

// sentNotice is a notice that a leader has published.
type sentNotice struct {
	tggroupview.Notice
	at time.Duration // since the start of the test
	to []netip.AddrPort
}

// noticeFleet is a leader of a group with three ranks that records what it publishes.
type noticeFleet struct {
	*Leader
	groupBytes int // that the notice of a group takes
	loadBytes  int // of all notices with loads
	sent       []sentNotice
	start      time.Time
}

func newNoticeFleet() *noticeFleet {
	f := &noticeFleet{Leader: newTestLeader(), start: time.Now()}
	f.term = 5
	f.notices.reset()
	f.PublishGroups = func(n tggroupview.Notice, to []netip.AddrPort) int {
		f.sent = append(f.sent, sentNotice{Notice: n, at: time.Since(f.start), to: to})
		bytes := 0
		for _, g := range n.Groups {
			if len(g.Loads) > 0 {
				bytes += f.groupBytes
			}
		}
		f.loadBytes += bytes
		return bytes
	}
	return f
}

// report applies reports of the ranks with a number of streams, and leads for 100 ms.
func (f *noticeFleet) report(epoch int64, open bool, streams int, ranks ...int) {
	for _, rank := range ranks {
		r := openReport(rank, 3, epoch)
		r.EngineAddress, r.State.Open, r.Streams = engineAddr(rank), open, &streams
		f.handleReport(r)
	}
	f.publishGroups(time.Now())
	time.Sleep(idleTick)
}

// reportGroups applies reports of groups with three ranks each for a number of seconds.
func (f *noticeFleet) reportGroups(groups int, open bool, seconds int) {
	for range time.Duration(seconds) * time.Second / idleTick {
		for g := range groups {
			for rank := range 3 {
				r, streams := openReport(rank, 3, 1), 2
				r.EngineAddress, r.Group, r.State.Open, r.Streams = engineAddr(3*g+rank), strconv.Itoa(g), open, &streams
				f.handleReport(r)
			}
		}
		f.publishGroups(time.Now())
		time.Sleep(idleTick)
	}
}

func (f *noticeFleet) last() tggroupview.GroupNotice { return f.sent[len(f.sent)-1].Groups[0] }

// Guards against entries that learn late that a group has failed or forms again, or get no state at all: a failure is told
// in the tick in which the first rank reports it, and the members once all ranks have reported the epoch.
func TestGroupStateIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newNoticeFleet()
		f.report(1, true, 2, 0)
		assert.Equal(t, f.last().State, tggroupview.StateUnknown, "one rank of three")
		assert.Equal(t, f.last().Digest, uint32(0))
		f.report(1, true, 2, 0, 1, 2)
		assert.Equal(t, f.last().State, tggroupview.StateOpen)
		assert.Equal(t, len(f.last().Members), 3)
		before := len(f.sent)
		f.report(1, false, 2, 1)
		assert.Equal(t, len(f.sent), before+1)
		assert.Equal(t, f.last().State, tggroupview.StateBroken)
		f.report(2, true, 2, 0, 1)
		assert.Equal(t, f.last().State, tggroupview.StateOpen, "two ranks of three")
		assert.Equal(t, f.last().Digest, uint32(0), "the members of the epoch are not known")
		f.report(2, true, 2, 0, 1, 2)
		time.Sleep(rankStaleAfter)
		f.publishGroups(time.Now())
		assert.Equal(t, f.last().State, tggroupview.StateUnknown, "all ranks are silent")
	})
}

// Guards against notices that take more of the leader's link than they may, groups whose loads are never told, and entries
// that forget meanwhile that a group does not run.
func TestNoticesKeepToTheirBytes(t *testing.T) {
	for name, c := range map[string]struct {
		groupBytes int // that the notice of a group takes
		open       bool
	}{
		"few": {groupBytes: 2_000, open: true}, "fewBroken": {groupBytes: 2_000},
		"many": {groupBytes: 40_000, open: true}, "manyBroken": {groupBytes: 40_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds, groups = 20, 4
				f := newNoticeFleet()
				f.groupBytes = c.groupBytes
				f.reportGroups(groups, c.open, seconds)
				loads := map[string]int{}
				last := map[string]time.Duration{}
				for _, n := range f.sent {
					for _, g := range n.Groups {
						if len(g.Loads) > 0 {
							loads[g.Name]++
						}
						assert.Assert(t, c.open || n.at-last[g.Name] <= heartbeatInterval+idleTick)
						last[g.Name] = n.at
					}
				}
				// Each notice with loads delays the next one, so at most one more than allowed is sent.
				assert.Assert(t, f.loadBytes <= noticeBytesPerSecond*seconds+c.groupBytes, "%d", f.loadBytes)
				want := min(float64(time.Second/noticeInterval), noticeBytesPerSecond/float64(groups*c.groupBytes)) * seconds
				for i := range groups {
					n := float64(loads[strconv.Itoa(i)])
					assert.Assert(t, n >= 0.8*want && n <= want+1, "%v, not %v", n, want)
				}
			})
		})
	}
}

// Guards against an entry that never learns the members because it started later or lost the datagrams that had them.
func TestMembersOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newNoticeFleet()
		for range 5 {
			f.report(1, true, 2, 0, 1, 2)
		}
		f.sent = nil
		data, err := cbor.Marshal(tggroupview.MembersRequest{Members: true})
		assert.NilError(t, err)
		entry := netip.MustParseAddrPort("127.0.0.7:1")
		(&Agent{Leader: f.Leader}).handleDatagram(data, entry)
		f.report(1, true, 2, 0, 1, 2)
		f.report(1, true, 2, 0, 1, 2)
		answers := 0
		for _, n := range f.sent {
			if n.to == nil {
				assert.Equal(t, len(n.Groups[0].Members), 0)
				continue
			}
			answers++
			assert.DeepEqual(t, n.to[0].String(), entry.String())
			assert.Equal(t, len(n.Groups[0].Members), 3)
		}
		assert.Equal(t, answers, 1)
	})
}

// Guards against reports of agents of an earlier version that are refused, or whose engines look idle to the entries.
func TestReportWithoutLoad(t *testing.T) {
	type earlierReport struct {
		Group string `cbor:"4,keyasint"`
		Rank  int    `cbor:"6,keyasint"`
		Ranks int    `cbor:"7,keyasint"`
	}
	type earlierEnvelope struct {
		Report *earlierReport `cbor:"3,keyasint,omitempty"`
	}
	data, err := cbor.Marshal(earlierEnvelope{Report: &earlierReport{Group: "g", Rank: 1, Ranks: 3}})
	assert.NilError(t, err)
	var e envelope
	assert.NilError(t, cbor.Unmarshal(data, &e))
	assert.Equal(t, e.Report.Group, "g")
	f := newNoticeFleet()
	e.Report.EngineAddress = engineAddr(1)
	f.handleReport(*e.Report)
	assert.Equal(t, f.groups["g"].noticeLoads(time.Now())[1], tggroupview.UnknownRankLoad())
}
