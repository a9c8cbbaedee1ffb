// Package tgmember implements a SWIM-like membership view: what a daemon knows of the other daemons.
package tgmember

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagergrade/core/tgframe"
)

const (
	deadRetention    = 10 * time.Minute // for which a dead member is kept, so that a late update cannot revive it
	leavingRetention = time.Hour        // for which a leaving member is kept; readers of the VM list repeat a valid mark
	maxRemoteLeaving = 4096             // leaving members kept of each other data centre; larger than any data centre
	maxRemoteMembers = 8                // members kept of each other data centre, not counting the leaving ones
	suspicionPeriod  = 4 * time.Second  // time that a suspect has to refute; several gossip rounds

	// unresponsiveFailures is the number of consecutive failed exchanges after which a representative may be replaced.
	// With 30% of messages lost, a live peer fails that often in 3% of the cases.
	unresponsiveFailures = 5
)

// Table is a membership view: all members of this daemon's data centre and a few representatives of each other one.
type Table struct {
	expiring map[string]*entry // suspect, dead and leaving members, which Expire checks
	mu       sync.Mutex
	members  map[string]*entry
	pending  map[string]*entry // members whose update is still to be passed on
	self     tgframe.Member
	version  uint64 // increased when the set of usable members may have changed
}

type entry struct {
	tgframe.Member
	changed       time.Time // when this entry was stored
	failures      int       // consecutive failed exchanges
	transmitsLeft int       // times the update may still be passed on
}

// NewTable returns the view of a process that knows no member but itself.
func NewTable(self tgframe.Member) *Table {
	self.Status = tgframe.MemberAlive
	t := &Table{
		expiring: map[string]*entry{}, members: map[string]*entry{}, pending: map[string]*entry{}, self: self,
	}
	t.members[self.Name] = &entry{Member: self, changed: time.Now(), transmitsLeft: minTransmits}
	t.pending[self.Name] = t.members[self.Name]
	return t
}

// Self returns this process as it announces itself.
func (t *Table) Self() tgframe.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Version returns a number that increases whenever the set of usable members may have changed.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Observe records direct evidence that m is alive: it answered or sent a request. It reports whether the view changed.
func (t *Table) Observe(m tgframe.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.Status = tgframe.MemberAlive
	if m.Name == t.self.Name {
		return false
	}
	e := t.members[m.Name]
	if e == nil || newer(m, e.Member) {
		return t.set(m)
	}
	e.failures = 0
	switch e.Status {
	case tgframe.MemberListed:
		return t.set(m)
	case tgframe.MemberDead, tgframe.MemberSuspect:
		// The update is sent again so that the member receives and refutes it; only it can choose its next incarnation.
		e.transmitsLeft = max(e.transmitsLeft, repeatTransmits)
		t.pending[e.Name] = e
	default:
	}
	return false
}

// Merge applies updates that another daemon passed on and reports whether any newly marks a process as leaving.
func (t *Table) Merge(updates []tgframe.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaving := false
	for _, m := range updates {
		if m.Name == t.self.Name {
			leaving = t.mergeSelf(m) || leaving
			continue
		}
		if e := t.members[m.Name]; e != nil && !supersedes(m, e.Member) {
			continue
		}
		if t.set(m) && m.Status == tgframe.MemberLeaving {
			leaving = true
		}
	}
	return leaving
}

// mergeSelf refutes an update that says this process is dead or suspect, and accepts one that says it is leaving. It
// reports whether the process is newly marked as leaving.
func (t *Table) mergeSelf(m tgframe.Member) bool {
	e := t.members[t.self.Name]
	switch m.Status {
	case tgframe.MemberLeaving:
		if m.Generation < t.self.Generation || e.Status == tgframe.MemberLeaving {
			return false
		}
		m.Address, m.DataCentre = t.self.Address, t.self.DataCentre
		t.self.Generation, t.self.Status = m.Generation, tgframe.MemberLeaving
		return t.set(m)
	case tgframe.MemberDead, tgframe.MemberSuspect:
		// After a restart with a clock set back, the update may name a later generation than this process has.
		if m.Generation > t.self.Generation {
			t.self.Generation, t.self.Incarnation = m.Generation+1, 0
		} else if m.Generation == t.self.Generation && m.Incarnation >= t.self.Incarnation {
			t.self.Incarnation = m.Incarnation + 1
		} else {
			return false
		}
		t.announce()
	case tgframe.MemberAlive, tgframe.MemberListed:
		if m.Generation > t.self.Generation {
			t.self.Generation, t.self.Incarnation = m.Generation+1, 0
			t.announce()
		}
	}
	return false
}

// announce queues an update with the current state of this process.
func (t *Table) announce() {
	t.set(t.self)
	e := t.members[t.self.Name]
	e.transmitsLeft = transmitLimit(len(t.members))
	t.pending[e.Name] = e
}

// MergeVMList applies the VM list and reports whether any member is newly leaving. A leaving mark is trusted at once; a
// live mark only names a member to contact.
func (t *Table) MergeVMList(vms []tgframe.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaving := false
	for _, m := range vms {
		e := t.members[m.Name]
		switch {
		case m.Status == tgframe.MemberLeaving && (e == nil || e.Status != tgframe.MemberLeaving):
			if e != nil {
				m.Generation, m.Incarnation = e.Generation, e.Incarnation
			}
			if m.Name == t.self.Name {
				t.self.Status = tgframe.MemberLeaving
			}
			leaving = t.set(m) || leaving
		case m.Status == tgframe.MemberLeaving:
		case e == nil:
			m.Status = tgframe.MemberListed
			t.set(m)
		}
	}
	return leaving
}

// RecordFailure counts a failed exchange with a member and returns the number of consecutive failures.
func (t *Table) RecordFailure(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[name]
	if e == nil {
		return 0
	}
	e.failures++
	return e.failures
}

// Suspect starts the period in which a member must refute. Call it after direct and indirect probes failed.
func (t *Table) Suspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[name]
	if e == nil || e.Status != tgframe.MemberAlive && e.Status != tgframe.MemberListed {
		return
	}
	m := e.Member
	m.Status = tgframe.MemberSuspect
	t.set(m)
}

// Expire declares suspects dead that did not refute in time, and removes members that died or left long ago.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.expiring {
		age := time.Since(e.changed)
		switch {
		case e.Status == tgframe.MemberSuspect && age >= suspicionPeriod:
			m := e.Member
			m.Status = tgframe.MemberDead
			t.set(m)
		case e.Status == tgframe.MemberDead && age >= deadRetention,
			e.Status == tgframe.MemberLeaving && age >= leavingRetention && name != t.self.Name:
			t.remove(name)
		}
	}
}

// Peers returns the members other than this process that may be contacted.
func (t *Table) Peers() []tgframe.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]tgframe.Member, 0, len(t.members))
	for _, e := range t.members {
		if e.Name != t.self.Name && e.Status != tgframe.MemberDead {
			peers = append(peers, e.Member)
		}
	}
	return peers
}

// LeavingAddresses returns the addresses of the daemons on leaving VMs.
func (t *Table) LeavingAddresses() map[netip.AddrPort]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := map[netip.AddrPort]bool{}
	for _, e := range t.expiring {
		if e.Status == tgframe.MemberLeaving {
			addresses[e.Address] = true
		}
	}
	return addresses
}

// HasPendingLeaving reports whether a leaving mark is still to be passed on.
func (t *Table) HasPendingLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.pending {
		if e.Status == tgframe.MemberLeaving {
			return true
		}
	}
	return false
}

// Members returns a copy of the view, by name.
func (t *Table) Members() map[string]tgframe.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make(map[string]tgframe.Member, len(t.members))
	for name, e := range t.members {
		members[name] = e.Member
	}
	return members
}

// set stores m if the view has room for it, queues the update, and reports whether it was stored. The caller holds mu.
func (t *Table) set(m tgframe.Member) bool {
	old := t.members[m.Name]
	if old == nil && m.DataCentre != t.self.DataCentre && !t.evictFor(m) {
		return false
	}
	if old == nil || (old.Status != m.Status && (old.Status != tgframe.MemberListed || m.Status != tgframe.MemberAlive)) ||
		old.Address != m.Address || old.Status == tgframe.MemberListed {
		t.version++
	}
	e := &entry{Member: m, changed: time.Now()}
	t.remove(m.Name)
	t.members[m.Name] = e
	switch m.Status {
	case tgframe.MemberDead, tgframe.MemberLeaving, tgframe.MemberSuspect:
		t.expiring[m.Name] = e
	default:
	}
	if shouldGossip(old, m) {
		e.transmitsLeft = transmitLimit(len(t.members))
		t.pending[m.Name] = e
	}
	return true
}

// shouldGossip reports whether the update m is to be passed on. An update that a listed member is alive is not: after a
// mass restart such updates were most of the traffic, and only daemons that contact the member need the evidence.
func shouldGossip(old *entry, m tgframe.Member) bool {
	switch m.Status {
	case tgframe.MemberAlive:
		return old == nil || old.Status != tgframe.MemberListed && old.Status != tgframe.MemberAlive ||
			m.Incarnation > 0 && m.Incarnation > old.Incarnation
	case tgframe.MemberListed:
		return false
	default:
		return true
	}
}

func (t *Table) remove(name string) {
	delete(t.expiring, name)
	delete(t.members, name)
	delete(t.pending, name)
}

// evictFor bounds the view of another data centre: it evicts a representative that ranks below m, if the bound is
// reached, and reports whether m may be stored. Ties are broken by a hash that includes this daemon's name, so that daemons
// keep different representatives.
func (t *Table) evictFor(m tgframe.Member) bool {
	var others []*entry
	for _, e := range t.members {
		if e.DataCentre == m.DataCentre && (e.Status == tgframe.MemberLeaving) == (m.Status == tgframe.MemberLeaving) {
			others = append(others, e)
		}
	}
	if m.Status == tgframe.MemberLeaving {
		return len(others) < maxRemoteLeaving
	}
	if len(others) < maxRemoteMembers {
		return true
	}
	worst := slices.MinFunc(others, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.retentionPriority(), b.retentionPriority()), cmp.Compare(t.hash(a.Name), t.hash(b.Name)))
	})
	candidate := (&entry{Member: m}).retentionPriority()
	if worst.retentionPriority() < candidate || worst.retentionPriority() == candidate && t.hash(worst.Name) < t.hash(m.Name) {
		t.remove(worst.Name)
		return true
	}
	return false
}

// retentionPriority ranks representatives for eviction; the lowest goes first. An unresponsive one stays until there is
// another to replace it, since its whole data centre may be cut off.
func (e *entry) retentionPriority() int {
	switch {
	case e.failures >= unresponsiveFailures:
		return 0
	case e.Status == tgframe.MemberAlive:
		return 2
	case e.Status == tgframe.MemberDead, e.Status == tgframe.MemberLeaving:
		return 0
	default:
		return 1
	}
}

func (t *Table) hash(name string) uint64 { return xxhash.Sum64String(t.self.Name + "\x00" + name) }

// CountByStatus returns the number of members by status.
func (t *Table) CountByStatus() map[tgframe.MemberStatus]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[tgframe.MemberStatus]int{}
	for e := range maps.Values(t.members) {
		counts[e.Status]++
	}
	return counts
}
