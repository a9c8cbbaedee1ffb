package tgproxy_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tggroupview"
	"tanagergrade/io/tgproxy"
	"tanagergrade/platform/tgemulator"
)

// groupsProxy is a proxy of two groups with two engines each, and the view of its leader's notices.
type groupsProxy struct {
	*testProxy
	notices uint64 // told so far
	view    *tggroupview.View
}

// newGroupsProxy returns a groupsProxy. The engines of the first group answer as those of a group that has lost a rank.
func newGroupsProxy(t *testing.T, options ...proxyOption) *groupsProxy {
	t.Helper()
	v := tggroupview.NewView()
	b := newTestProxy(t, 4, append(options, func(s *proxySetup) {
		s.config.Pools["pool"] = tgcatalog.Pool{Engine: tgcatalog.Engine{Slots: 10}, MaxConnections: 100, Name: "pool"}
		s.options = append(s.options, tgproxy.WithGroups(v, tgproxy.PlacementAuto))
	})...)
	loseRank(b.engines[:2])
	return &groupsProxy{testProxy: b, view: v}
}

// loseRank makes engines answer as those of a group that has lost a rank.
func loseRank(engines []*tgemulator.Engine) {
	for _, e := range engines {
		e.SetRefusalHeader("At-Server: 127.0.0.1:1\r\n")
		e.SetDefaultFault(tgemulator.FaultOverloaded)
	}
}

// tell applies a notice with the state of the first group; the second one is open.
func (b *groupsProxy) tell(state tggroupview.State) {
	b.notices++
	notice := tggroupview.Notice{Number: b.notices, Token: 1}
	for g, s := range []tggroupview.State{state, tggroupview.StateOpen} {
		members := []netip.AddrPort{b.catalog.upstreams[2*g].Address, b.catalog.upstreams[2*g+1].Address}
		notice.Groups = append(notice.Groups, tggroupview.GroupNotice{
			Digest: tggroupview.MembersDigest(members), Epoch: 1, Members: members, Name: strconv.Itoa(g), State: s,
		})
	}
	b.view.Apply(notice, time.Now())
}

// Guards against callers that are refused because one of two groups has lost a rank: the request of the one who meets it
// is tried again at the other group, also if it must not repeat, and those of all others go there.
func TestOneGroupFails(t *testing.T) {
	for name, state := range map[string]tggroupview.State{
		"leaderDoesNotKnow": tggroupview.StateUnknown, "leaderKnows": tggroupview.StateBroken,
		"leaderKnowsLater": tggroupview.StateOpen,
	} {
		t.Run(name, func(t *testing.T) {
			b := newGroupsProxy(t)
			client := b.dial(t)
			for i := range 20 {
				b.tell(state)
				for _, path := range []string{"/once/x", "/stream/x"} {
					client.send(request("POST", path, path+strconv.Itoa(i), "{}", streamHeader))
					r, _, complete := client.receive()
					assert.Assert(t, r.Status == 200 && complete, "%s: %d", path, r.Status)
				}
			}
			for _, e := range b.engines[:2] {
				assert.Assert(t, state != tggroupview.StateBroken || len(e.RequestHeaders()) == 0)
			}
		})
	}
}

// Guards against an outage of all groups that is not treated as one: callers must be refused at once and told to come
// back when a group may run again, and the first answer of a group ends it.
func TestAllGroupsFail(t *testing.T) {
	b := newGroupsProxy(t)
	b.tell(tggroupview.StateOpen)
	loseRank(b.engines[2:])
	client := b.dial(t)
	for i := range 4 {
		client.send(request("POST", "/stream/x", strconv.Itoa(i), "{}", streamHeader))
		r, _, _ := client.receive()
		assert.Equal(t, r.Status, 503)
		if i > 0 {
			seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			assert.Assert(t, err == nil && seconds > 0.6, "%v", r.Header.Get("Retry-After"))
		}
	}
	for _, e := range b.engines[2:] {
		e.SetDefaultFault(tgemulator.FaultNone)
	}
	time.Sleep(300 * time.Millisecond) // until a probe is due
	for i := range 10 {
		client.send(request("POST", "/stream/x", "later"+strconv.Itoa(i), "{}", streamHeader))
		if r, _, _ := client.receive(); r.Status == 200 {
			return
		}
	}
	t.Fatal("no probe reached the group that runs again")
}

// Guards against a stream that ends with the group that served it, although the other group runs: the first group breaks
// while it serves the stream, and its other engines would refuse it.
func TestStreamMovesToOtherGroup(t *testing.T) {
	b := newGroupsProxy(t)
	for _, e := range b.engines[:2] {
		e.EventInterval = 50 * time.Millisecond
		e.QueueFaults(tgemulator.FaultBrokenStream) // then it refuses
	}
	client := b.dial(t)
	atFirst := func() int { return len(b.engines[0].RequestHeaders()) + len(b.engines[1].RequestHeaders()) }
	for i := 0; i < 6 || atFirst() == 0 && i < 60; i++ { // which group a stream goes to is left to chance
		b.tell(tggroupview.StateOpen)
		client.send(request("POST", "/stream/x", strconv.Itoa(i), "{}", streamHeader))
		time.Sleep(25 * time.Millisecond) // until the stream is at an engine
		b.tell(tggroupview.StateBroken)
		r, _, complete := client.receive()
		assert.Assert(t, r.Status == 200 && complete)
	}
	assert.Assert(t, atFirst() > 0)
}

// Guards against new streams that wait at a group whose pass is held: its engines send nothing, and the leader, which froze
// with the hold, tells nothing. The streams of the other group show that it is not this process that has stopped.
func TestStalledGroupGetsNoStreams(t *testing.T) {
	b := newGroupsProxy(t, withPatientStreams)
	for i, e := range b.engines {
		e.SetDefaultFault(tgemulator.FaultNone)
		e.EventInterval, e.StreamEvents = 20*time.Millisecond, 200
		if i < 2 {
			e.SetDefaultFault(tgemulator.FaultStalledStream)
		}
	}
	b.tell(tggroupview.StateOpen)
	send := func(id string) {
		b.dial(t).send(request("POST", "/stream/x", id, "{}", streamHeader))
	}
	for i := range 8 { // four at each group, as they are spread by the streams in flight
		send("before" + strconv.Itoa(i))
		time.Sleep(10 * time.Millisecond)
	}
	stalled := func() int { return len(b.engines[0].RequestHeaders()) + len(b.engines[1].RequestHeaders()) }
	time.Sleep(time.Second) // until the silence is longer than stallGapFactor times the pause on time
	before := stalled()
	assert.Assert(t, before >= 2, "%d", before)
	for i := range 8 {
		b.tell(tggroupview.StateOpen)
		send("later" + strconv.Itoa(i))
		time.Sleep(10 * time.Millisecond)
	}
	running := func() int { return len(b.engines[2].RequestHeaders()) + len(b.engines[3].RequestHeaders()) }
	refused := func() int { // by the limit, if this VM is slow
		b.events.mu.Lock()
		defer b.events.mu.Unlock()
		return len(b.events.list)
	}
	for deadline := time.Now().Add(time.Second); running()+refused() < 16-before && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, running()+refused(), 16-before)
	assert.Equal(t, stalled(), before)
}
