package tggroupview

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// stateTTL is the validity of what changes: a group's state and its loads. The leader repeats its notices sooner, and a
	// leader that is lost is replaced in about this time.
	stateTTL = 1200 * time.Millisecond
	// membersTTL is longer, because a group mostly forms again with the engines that it had: while there is no leader, the
	// failure of one group still says nothing of the others.
	membersTTL = time.Minute
	// termTTL bounds the time for which notices of lower terms are ignored after the last one of the highest term: a store
	// that has lost its history counts the terms from the start.
	termTTL = 30 * time.Second
	// requestInterval is the shortest time between two requests for members.
	requestInterval = 300 * time.Millisecond
)

// group is what is known of one group.
type group struct {
	digest  uint32 // of members
	epoch   int64
	loads   []load
	members []netip.AddrPort // by rank; empty if they are not known
	number  uint64           // of the newest notice, of the view's term
	seen    time.Time        // when the newest notice arrived
	state   State            // as last told; valid for stateTTL after seen
}

// load is the load of one engine.
type load struct {
	known   bool
	memory  float64   // share that is used, from 0 to 1
	read    time.Time // when the engine had it
	streams float64
}

// position is the place of an engine among the groups.
type position struct {
	group *group
	name  string
	rank  int
}

// View is what an entry knows of the rank groups. It is safe for concurrent use.
type View struct {
	engines     map[netip.AddrPort]position
	groups      map[string]*group
	lastRequest time.Time  // when members were last requested
	mu          sync.Mutex // guards all fields
	term        int64      // highest token of a leader
	termSeen    time.Time  // when a notice of that term last arrived
}

// NewView returns a view without groups.
func NewView() *View {
	return &View{engines: map[netip.AddrPort]position{}, groups: map[string]*group{}}
}

// Change is a group that opened, broke, became unknown or got other members.
type Change struct {
	Age   time.Duration // since the newest notice on the group
	Epoch int64
	Group string
	Kind  ChangeKind
}

// ChangeKind is what changed in a group.
type ChangeKind string

// The kinds of changes.
const (
	ChangeBroken  ChangeKind = "groupBroken"
	ChangeMembers ChangeKind = "groupMembers"
	ChangeOpen    ChangeKind = "groupOpen"
	ChangeUnknown ChangeKind = "groupUnknown" // no leader has told of it for stateTTL, or too few ranks report to it
)

var changeOf = map[State]ChangeKind{StateBroken: ChangeBroken, StateOpen: ChangeOpen, StateUnknown: ChangeUnknown}

// Apply applies a notice and returns the changes. request is true if the entry is to ask the leader for members now.
func (v *View) Apply(n Notice, now time.Time) (changes []Change, request bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case n.Token <= 0, n.Token < v.term && now.Sub(v.termSeen) < termTTL:
		return nil, false // from a former leader
	case n.Token != v.term:
		v.term = n.Token
		for _, g := range v.groups {
			g.number = 0
		}
	}
	v.termSeen = now
	missing := false
	for i := range n.Groups {
		changes = append(changes, v.applyGroup(&n.Groups[i], n.Number, now)...)
		g, ok := v.groups[n.Groups[i].Name]
		missing = missing || ok && n.Groups[i].Digest != 0 && len(g.members) == 0
	}
	if request = missing && now.Sub(v.lastRequest) >= requestInterval; request {
		v.lastRequest = now
	}
	return changes, request
}

// applyGroup applies the part of a notice on one group, unless a newer one has come first.
func (v *View) applyGroup(n *GroupNotice, number uint64, now time.Time) (changes []Change) {
	g, ok := v.groups[n.Name]
	switch {
	case ok && number <= g.number, len(n.Members) > maxMembers, len(n.Loads) > maxMembers:
		return nil
	case !ok && len(v.groups) >= maxGroups, n.State != StateUnknown && n.State != StateOpen && n.State != StateBroken:
		return nil
	case !ok:
		g = &group{}
		v.groups[n.Name] = g
	}
	state := g.state
	g.number, g.seen, g.epoch, g.state = number, now, n.Epoch, n.State
	if state != n.State {
		changes = append(changes, Change{Epoch: n.Epoch, Group: n.Name, Kind: changeOf[n.State]})
	}
	if v.applyMembers(g, n) {
		changes = append(changes, Change{Epoch: n.Epoch, Group: n.Name, Kind: ChangeMembers})
	}
	g.applyLoads(n, now)
	return changes
}

// applyMembers takes over the members of a notice and reports whether they are others than before. If the notice only
// tells that they have changed, the former ones are dropped.
func (v *View) applyMembers(g *group, n *GroupNotice) (changed bool) {
	if n.Digest == 0 || n.Digest == g.digest {
		return false
	}
	for _, m := range g.members {
		if v.engines[m].group == g {
			delete(v.engines, m)
		}
	}
	g.digest, g.members, g.loads = 0, nil, nil
	if len(n.Members) == 0 || MembersDigest(n.Members) != n.Digest {
		return false
	}
	g.digest, g.members = n.Digest, n.Members
	for rank, m := range n.Members {
		v.engines[m] = position{group: g, name: n.Name, rank: rank}
	}
	return true
}

// applyLoads takes over the loads of a notice if the members are those that they belong to.
func (g *group) applyLoads(n *GroupNotice, now time.Time) {
	if n.Digest != g.digest || len(n.Loads) != len(g.members) {
		return
	}
	loads := make([]load, len(n.Loads))
	for rank, l := range n.Loads {
		loads[rank] = load{known: l.known(), memory: l.memory(), read: now.Add(-l.age()), streams: l.streams()}
	}
	g.loads = loads
}

// stateAt returns the state of the group, StateUnknown once the newest notice has expired.
func (g *group) stateAt(now time.Time) State {
	if now.Sub(g.seen) > stateTTL {
		return StateUnknown
	}
	return g.state
}

// Expire forgets what is too old and returns the groups that count as broken no longer because of that.
func (v *View) Expire(now time.Time) (changes []Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, g := range v.groups {
		age := now.Sub(g.seen)
		if age > stateTTL && g.state == StateBroken {
			g.state = StateUnknown
			changes = append(changes, Change{Age: age, Epoch: g.epoch, Group: name, Kind: ChangeUnknown})
		}
		if age <= membersTTL {
			continue
		}
		for _, m := range g.members {
			if v.engines[m].group == g {
				delete(v.engines, m)
			}
		}
		delete(v.groups, name)
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Group, b.Group) })
	return changes
}

// Group returns the name of the group of the engine at addr; ok is false if it is not known to be in one.
func (v *View) Group(addr netip.AddrPort) (name string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.engines[addr]
	return p.name, ok
}

// Open reports whether the group of the engine at addr runs passes, if that is known.
func (v *View) Open(addr netip.AddrPort, now time.Time) (open, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.engines[addr]
	if !ok {
		return false, false
	}
	state := p.group.stateAt(now)
	return state == StateOpen, state != StateUnknown
}

// Load returns the streams of all entries on the engine at addr, running and queued, and the age of that count.
func (v *View) Load(addr netip.AddrPort, now time.Time) (streams float64, age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.load(addr, now)
	return l.streams, now.Sub(l.read), ok
}

// Memory returns the share of the memory of the engine at addr that is used.
func (v *View) Memory(addr netip.AddrPort, now time.Time) (share float64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.load(addr, now)
	return l.memory, ok
}

func (v *View) load(addr netip.AddrPort, now time.Time) (l load, ok bool) {
	p, ok := v.engines[addr]
	if !ok || p.rank >= len(p.group.loads) {
		return load{}, false
	}
	l = p.group.loads[p.rank]
	if age := now.Sub(l.read); !l.known || age < 0 || age > stateTTL {
		return load{}, false
	}
	return l, true
}

// GroupState is the state of one group as shown in a dump.
type GroupState struct {
	Epoch   int64     `json:"epoch"`
	Members int       `json:"members"` // 0 if they are not known
	Name    string    `json:"name"`
	Seen    time.Time `json:"seen"` // when the newest notice arrived
	State   State     `json:"state"`
	Streams float64   `json:"streams"` // of all entries, on the engines whose load is known
	Term    int64     `json:"term"`    // highest token of a leader
}

// States returns the state of all groups by name.
func (v *View) States(now time.Time) []GroupState {
	v.mu.Lock()
	defer v.mu.Unlock()
	states := make([]GroupState, 0, len(v.groups))
	for name, g := range v.groups {
		s := GroupState{
			Epoch: g.epoch, Members: len(g.members), Name: name, Seen: g.seen, State: g.stateAt(now), Term: v.term,
		}
		for _, m := range g.members {
			if l, ok := v.load(m, now); ok {
				s.Streams += l.streams
			}
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b GroupState) int { return strings.Compare(a.Name, b.Name) })
	return states
}
