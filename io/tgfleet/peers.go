package tgfleet

import (
	"net/netip"
	"sync"
	"time"

	"tanagergrade/core/tglogtable"
)

const (
	// An entry that is frozen or cut off may return at any time and keeps what it holds meanwhile, such as connections:
	// for this time after its last datagram it still counts when the shared limits are divided among the entries.
	servingTTL = 2 * time.Minute
	// A registration may belong to a VM that is long gone: an entry that has sent no datagram counts for a shorter time.
	registrationTTL = 20 * time.Second
	streamsTTL      = 2 * time.Second  // for which the streams of an entry's last datagram count
	peerTTL         = 10 * time.Minute // a peer that has been silent for longer gets no more datagrams
	// Each request needs the counts over the entries, so these are cached for this time.
	countsTTL = 20 * time.Millisecond
)

// peer is another daemon.
type peer struct {
	Member
	lastHeard time.Time      // time of the last datagram; earlier than the registration if there was none
	streams   map[string]int // in progress, by pool
}

// Peers is the set of other daemons, known from their registrations in the store and from their datagrams. It is safe
// for concurrent use.
type Peers struct {
	counts entryCounts
	mu     sync.Mutex      // guards counts and peers
	peers  map[string]peer // by VM
	self   string          // VM of this daemon
}

// entryCounts are cached counts over the other entries.
type entryCounts struct {
	at      time.Time      // when they were counted
	serving int            // entries that may be serving callers
	streams map[string]int // in progress, by pool
}

// NewPeers returns the peers of the daemon on the VM self.
func NewPeers(self string) *Peers { return &Peers{peers: map[string]peer{}, self: self} }

// Apply applies changed registrations and returns an error for each that cannot be decoded.
func (p *Peers) Apply(records []tglogtable.Record, now time.Time) (failed []error) {
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
		heard := now.Add(registrationTTL - servingTTL) // without a datagram, the entry counts for registrationTTL
		if last := p.peers[r.Key].lastHeard; last.After(heard) {
			heard = last
		}
		p.peers[r.Key] = peer{Member: m, lastHeard: heard}
	}
	return failed
}

// RecordGossip records a datagram of an entry with its streams by pool; the entry may not be known yet.
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

// heardPrecision is that of the times noted by Heard, which is called for each report of a companion.
const heardPrecision = time.Second

// Heard records that a known peer lives. Companions send no gossip.
func (p *Peers) Heard(vm string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.peers[vm]; ok && now.Sub(k.lastHeard) >= heardPrecision {
		k.lastHeard = now
		p.peers[vm] = k
	}
}

// List returns the peers with a role that are still sent datagrams.
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

// ServingEntries returns how many entries may be serving callers, this one included.
func (p *Peers) ServingEntries(now time.Time) int { return 1 + p.count(now).serving }

// RemoteStreams returns how many streams the other entries have in progress in a pool.
func (p *Peers) RemoteStreams(pool string, now time.Time) int { return p.count(now).streams[pool] }

// count returns counts that are at most countsTTL old.
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
	if p.counts.serving == 0 { // this entry is more likely to be cut off than all others to be gone
		p.counts.serving = known
	}
	return p.counts
}
