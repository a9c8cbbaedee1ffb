package tgfleet

import (
	"net/netip"
	"sync"
	"time"

	"tanagergrade/core/tgfold"
)

const (
	// An entry that is frozen or cut off may be back at any time and holds what it has: it goes on counting for its part
	// of the limits that all entries keep together.
	servingTTL = 2 * time.Minute
	// A registration may be of a VM that is long gone: until a datagram comes, its entry counts for less long.
	registrationTTL = 20 * time.Second
	streamsTTL      = 2 * time.Second  // its streams count for so long
	peerTTL         = 10 * time.Minute // a peer that was not heard for so long is not written to any more
	// Each request asks for the counts of the entries; the peers are counted once in this time.
	countsTTL = 20 * time.Millisecond
)

// peer is another daemon.
type peer struct {
	Member
	lastHeard time.Time
	streams   map[string]int // in progress, by pool
}

// Peers is the set of other daemons, from the store and from their datagrams. It is safe for concurrent use.
type Peers struct {
	counts entryCounts
	mu     sync.Mutex
	peers  map[string]peer // by VM
	self   string
}

// entryCounts are counts over the other entries.
type entryCounts struct {
	at      time.Time
	serving int            // entries
	streams map[string]int // in progress, by pool
}

// NewPeers returns the peers of the daemon on the VM self.
func NewPeers(self string) *Peers { return &Peers{peers: map[string]peer{}, self: self} }

// Apply takes changed registrations.
func (p *Peers) Apply(records []tgfold.Record, now time.Time) (failed []error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		if r.Key == p.self {
			continue
		}
		if len(r.Value) == 0 {
			delete(p.peers, r.Key)
			continue
		}
		m, err := DecodeMember(r)
		if err != nil {
			failed = append(failed, err)
			continue
		}
		heard := now.Add(registrationTTL - servingTTL)
		if last := p.peers[r.Key].lastHeard; last.After(heard) {
			heard = last
		}
		p.peers[r.Key] = peer{Member: m, lastHeard: heard}
	}
	return failed
}

// RecordGossip notes a datagram of an entry with its streams by pool; the entry may not be known yet.
func (p *Peers) RecordGossip(vm string, addr netip.AddrPort, streams map[string]int, now time.Time) {
	if vm == p.self || vm == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.peers[vm]
	if !ok || k.Address != addr {
		k = peer{Member: Member{Address: addr, Role: RoleEntry, VM: vm}}
	}
	k.lastHeard, k.streams = now, streams
	p.peers[vm] = k
}

// List returns the peers with a role that are still written to.
func (p *Peers) List(role Role, now time.Time) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []Member
	for _, k := range p.peers {
		if k.Role == role && now.Sub(k.lastHeard) < peerTTL {
			members = append(members, k.Member)
		}
	}
	return members
}

// ServingEntries returns how many entries may serve callers, the own one included.
func (p *Peers) ServingEntries(now time.Time) int { return 1 + p.count(now).serving }

// RemoteStreams returns how many streams the other entries have in progress in a pool.
func (p *Peers) RemoteStreams(pool string, now time.Time) int { return p.count(now).streams[pool] }

// count returns counts that are at most countedFor old.
func (p *Peers) count(now time.Time) entryCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if age := now.Sub(p.counts.at); age >= 0 && age < countsTTL {
		return p.counts
	}
	p.counts = entryCounts{at: now, streams: map[string]int{}}
	known := 0
	for _, k := range p.peers {
		if k.Role != RoleEntry {
			continue
		}
		age := now.Sub(k.lastHeard)
		if age < peerTTL {
			known++
		}
		if age < servingTTL {
			p.counts.serving++
		}
		if age < streamsTTL {
			for pool, n := range k.streams {
				p.counts.streams[pool] += max(0, n)
			}
		}
	}
	if p.counts.serving == 0 { // this entry is cut off, rather than all others gone
		p.counts.serving = known
	}
	return p.counts
}
