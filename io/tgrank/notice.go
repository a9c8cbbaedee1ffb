package tgrank

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"tanagergrade/core/tggroupview"
)

const (
	noticeInterval    = 200 * time.Millisecond // shortest time between notices with loads
	heartbeatInterval = 500 * time.Millisecond // between notices of a group that is not open; entries forget states after twice as long
	// noticeBytesPerSecond bounds what the notices with loads take of the leader's link, which also carries all reports.
	noticeBytesPerSecond = 50_000
	membersRepeats       = 2   // notices that tell changed members again, since datagrams get lost
	maxRequesters        = 256 // entries that await members; each asks again
)

// GroupPublisher sends a notice to some entries, or to all if to is nil, and returns how many bytes that took.
type GroupPublisher func(n tggroupview.Notice, to []netip.AddrPort) (bytes int)

// groupNotices is what the leader has told the entries of the groups in its term.
type groupNotices struct {
	mu         sync.Mutex              // guards requesters
	requesters map[netip.AddrPort]bool // entries that have asked for the members

	// The fields below belong to the goroutine of Leader.Run.
	groupBytes int       // that the notice of a group with loads took, on average; 0 if not known
	heartbeat  time.Time // when groups that are not open were last told
	lastLoads  string    // name of the group whose loads were last told
	nextLoads  time.Time // earliest time of the next notice with loads
	number     uint64
	told       map[string]toldGroup // by name
}

// toldGroup is what the last notice told of a group.
type toldGroup struct {
	digest  uint32
	repeats int // of the members
	state   tggroupview.State
}

func (n *groupNotices) reset() {
	n.takeRequesters()
	n.heartbeat, n.lastLoads, n.nextLoads, n.number, n.told = time.Time{}, "", time.Time{}, 0, map[string]toldGroup{}
}

func (n *groupNotices) takeRequesters() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := make([]netip.AddrPort, 0, len(n.requesters))
	for addr := range n.requesters {
		taken = append(taken, addr)
	}
	clear(n.requesters)
	return taken
}

// requestMembers notes that an entry asks for the members of the groups.
func (l *Leader) requestMembers(from netip.AddrPort) {
	n := &l.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requesters == nil {
		n.requesters = map[netip.AddrPort]bool{}
	}
	if len(n.requesters) < maxRequesters {
		n.requesters[from] = true
	}
}

// publishGroups tells the entries of the groups: at once if a group opens or breaks, each heartbeatInterval of those that are
// not open, and of the loads each noticeInterval, of as many groups in turn as noticeBytesPerSecond allows.
func (l *Leader) publishGroups(now time.Time) {
	n := &l.notices
	requesters := n.takeRequesters() // also if they get no answer: they ask again
	if l.PublishGroups == nil || len(l.groups) == 0 {
		return
	}
	var withLoads []string
	if !now.Before(n.nextLoads) {
		withLoads = l.nextWithLoads()
	}
	heartbeat := now.Sub(n.heartbeat) >= heartbeatInterval
	if heartbeat {
		n.heartbeat = now
	}
	notice := l.notice(withLoads, heartbeat, now)
	if len(notice.Groups) > 0 {
		bytes := l.PublishGroups(notice, nil)
		if len(withLoads) > 0 {
			n.groupBytes = bytes / len(withLoads)
			n.nextLoads = now.Add(max(noticeInterval, time.Duration(bytes)*time.Second/noticeBytesPerSecond))
		}
	}
	if len(requesters) > 0 {
		l.PublishGroups(l.membersNotice(now), requesters)
	}
}

// nextWithLoads returns the groups whose loads are told next: those whose turn it is, as many as may be told in a
// noticeInterval, and one until it is known how many bytes that takes.
func (l *Leader) nextWithLoads() []string {
	n := &l.notices
	count := 1
	if n.groupBytes > 0 {
		count = int(max(1, noticeBytesPerSecond*noticeInterval/time.Second/time.Duration(n.groupBytes)))
	}
	names := slices.Sorted(maps.Keys(l.groups))
	first, found := slices.BinarySearch(names, n.lastLoads)
	if found {
		first++
	}
	names = append(names[first:len(names):len(names)], names[:first]...)
	names = names[:min(count, len(names))]
	n.lastLoads = names[len(names)-1]
	return names
}

// notice returns the notice to all entries on the groups whose loads are told, whose state or members are news, and, if it
// is a heartbeat, on those that are not open. An entry needs no heartbeat of those that are: it uses them unless told
// otherwise.
func (l *Leader) notice(withLoads []string, heartbeat bool, now time.Time) tggroupview.Notice {
	n := &l.notices
	n.number++
	notice := tggroupview.Notice{Number: n.number, Token: l.term}
	for name, g := range l.groups {
		members, digest := g.noticeMembers()
		told, known := n.told[name]
		if digest != 0 && digest != told.digest {
			told.digest, told.repeats = digest, membersRepeats+1
		}
		p := tggroupview.GroupNotice{Digest: digest, Epoch: g.epoch, Name: name, State: g.noticeState(now)}
		tellLoads := slices.Contains(withLoads, name)
		news := !known || told.state != p.State || told.repeats > 0
		if !tellLoads && !news && (!heartbeat || p.State == tggroupview.StateOpen) {
			continue
		}
		if digest != 0 && told.repeats > 0 {
			p.Members = members
			told.repeats--
		}
		if tellLoads && digest != 0 {
			p.Loads = g.noticeLoads(now)
		}
		told.state = p.State
		n.told[name] = told
		notice.Groups = append(notice.Groups, p)
	}
	return notice
}

// membersNotice returns a notice with the members of all groups.
func (l *Leader) membersNotice(now time.Time) tggroupview.Notice {
	n := &l.notices
	n.number++
	notice := tggroupview.Notice{Number: n.number, Token: l.term}
	for name, g := range l.groups {
		members, digest := g.noticeMembers()
		notice.Groups = append(notice.Groups, tggroupview.GroupNotice{
			Digest: digest, Epoch: g.epoch, Members: members, Name: name, State: g.noticeState(now),
		})
	}
	return notice
}

// noticeMembers returns the engines of the group by rank and their digest, or 0 until all ranks have reported in the
// present epoch.
func (g *group) noticeMembers() ([]netip.AddrPort, uint32) {
	members := make([]netip.AddrPort, len(g.members))
	for rank := range g.members {
		r := &g.members[rank].report
		if !r.EngineAddress.IsValid() || r.State.Epoch != g.epoch {
			return nil, 0
		}
		members[rank] = r.EngineAddress
	}
	return members, tggroupview.MembersDigest(members)
}

// noticeState returns the state of the group: broken if a rank reports so, open if at least half of them have reported
// lately. The ranks of a group notice the loss of one, so some may be silent.
func (g *group) noticeState(now time.Time) tggroupview.State {
	fresh := 0
	for i := range g.members {
		s := &g.members[i].report.State
		if s.Seen.IsZero() || s.Epoch != g.epoch || now.Sub(s.Seen) > rankStaleAfter {
			continue
		}
		if !s.Open {
			return tggroupview.StateBroken
		}
		fresh++
	}
	if 2*fresh < len(g.members) {
		return tggroupview.StateUnknown
	}
	return tggroupview.StateOpen
}

// noticeLoads returns the loads of the ranks.
func (g *group) noticeLoads(now time.Time) []tggroupview.RankLoad {
	loads := make([]tggroupview.RankLoad, len(g.members))
	for rank := range g.members {
		loads[rank] = tggroupview.UnknownRankLoad()
		if r := &g.members[rank].report; r.Streams != nil {
			loads[rank] = tggroupview.NewRankLoad(*r.Streams, memoryShare(r.Memory), now.Sub(r.State.Seen))
		}
	}
	return loads
}

const maxMemoryLevel = 255

// memoryLevel returns a share of memory in parts of maxMemoryLevel.
func memoryLevel(share float64) byte {
	if !(share > 0) { // also not a number
		return 0
	}
	return byte(min(share, 1) * maxMemoryLevel)
}

func memoryShare(level byte) float64 { return float64(level) / maxMemoryLevel }
