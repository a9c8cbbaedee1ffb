// Package tggossip selects the peers that a daemon contacts and tracks the log offsets that peers have reported.
package tggossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"tanagergrade/core/tgframe"
)

const (
	// ReadersPerDataCentre is the number of daemons of each data centre that read the log and the VM list directly.
	ReadersPerDataCentre = 3
	// neighbourRings is the number of hash rings, each of which gives one fixed neighbour in this daemon's data centre. Fixed
	// neighbours keep connections few: a TLS handshake with a new peer costs more bytes than a second of all other
	// control traffic.
	neighbourRings = 4
)

// Peers selects the peers of one daemon.
type Peers struct {
	isReader   bool             // this daemon reads the log directly
	local      []tgframe.Member // all peers in this daemon's data centre
	mu         sync.Mutex
	neighbours []tgframe.Member            // fixed neighbours in this daemon's data centre
	next       map[string]int              // position of Next by data centre, modulo the number of peers
	offsets    map[string]uint64           // highest log offset that each peer has reported as applied
	remote     map[string][]tgframe.Member // peers of other data centres
	self       tgframe.Member
}

// NewPeers returns the peers of a daemon that knows no other member.
func NewPeers(self tgframe.Member) *Peers {
	return &Peers{
		isReader: true, next: map[string]int{}, offsets: map[string]uint64{}, remote: map[string][]tgframe.Member{}, self: self,
	}
}

// Update replaces the known peers by the members that may be contacted.
func (p *Peers) Update(members []tgframe.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local, p.remote = nil, map[string][]tgframe.Member{}
	offsets := make(map[string]uint64, len(members))
	for _, m := range members {
		if offset, ok := p.offsets[m.Name]; ok {
			offsets[m.Name] = offset
		}
		if m.DataCentre == p.self.DataCentre {
			p.local = append(p.local, m)
		} else {
			p.remote[m.DataCentre] = append(p.remote[m.DataCentre], m)
		}
	}
	for _, peers := range p.remote {
		slices.SortFunc(peers, func(a, b tgframe.Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	p.offsets = offsets
	p.neighbours = successors(p.self, p.local)
	p.isReader = isReader(p.self, p.local)
}

// successors returns the next member after self on each of several hash rings. Together the rings form a graph in which
// each daemon also has about as many predecessors, which probe it.
func successors(self tgframe.Member, members []tgframe.Member) []tgframe.Member {
	var chosen []tgframe.Member
	for ring := range neighbourRings {
		salt := strconv.Itoa(ring) + "\x00"
		own := xxhash.Sum64String(salt + self.Name)
		var best tgframe.Member
		distance, found := uint64(0), false
		for _, m := range members {
			if contains(chosen, m.Name) {
				continue
			}
			// The difference wraps around, as positions on a ring do.
			if d := xxhash.Sum64String(salt+m.Name) - own; !found || d < distance {
				best, distance, found = m, d, true
			}
		}
		if found {
			chosen = append(chosen, best)
		}
	}
	return chosen
}

func contains(members []tgframe.Member, name string) bool {
	return slices.ContainsFunc(members, func(m tgframe.Member) bool { return m.Name == name })
}

// isReader reports whether self is among the first ReadersPerDataCentre of its data centre by rendezvous hashing.
func isReader(self tgframe.Member, members []tgframe.Member) bool {
	own, before := readerScore(self.Name), 0
	for _, m := range members {
		usable := m.Status == tgframe.MemberAlive || m.Status == tgframe.MemberListed
		if usable && readerScore(m.Name) > own {
			before++
		}
	}
	return before < ReadersPerDataCentre
}

// Writer returns the daemon that gathers the records of this data centre for the log, by rendezvous hashing, and
// whether it is this one. It does no harm if daemons disagree: the log's order decides and repeated IDs are ignored.
func (p *Peers) Writer() (member tgframe.Member, self bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, self := p.self, true
	for _, m := range p.local {
		usable := m.Status == tgframe.MemberAlive || m.Status == tgframe.MemberListed
		if usable && writerScore(m.Name) > writerScore(best.Name) {
			best, self = m, false
		}
	}
	return best, self
}

func writerScore(name string) uint64 { return xxhash.Sum64String("writer\x00" + name) }

func readerScore(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }

// IsReader reports whether this daemon reads the log directly.
func (p *Peers) IsReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isReader
}

// Neighbours returns the fixed neighbours in this daemon's data centre.
func (p *Peers) Neighbours() []tgframe.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.neighbours)
}

// DataCentres returns the other data centres that have known members, sorted.
func (p *Peers) DataCentres() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.remote))
	for name := range p.remote {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Next returns the peer to contact in dataCentre: the neighbours in turn, or the same representative of another data
// centre until SkipRepresentative is called. One representative keeps connections few: with eight in turn, keepalives
// alone cost 2 KB/s.
func (p *Peers) Next(dataCentre string) (tgframe.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := p.remote[dataCentre]
	if dataCentre == p.self.DataCentre {
		peers = p.neighbours
	}
	if len(peers) == 0 {
		return tgframe.Member{}, false
	}
	if _, ok := p.next[dataCentre]; !ok {
		p.next[dataCentre] = rand.IntN(len(peers)) // daemons that start together begin with different peers
	}
	chosen := peers[p.next[dataCentre]%len(peers)]
	if dataCentre == p.self.DataCentre {
		p.next[dataCentre]++
	}
	return chosen, true
}

// SkipRepresentative makes Next return another representative of dataCentre.
func (p *Peers) SkipRepresentative(dataCentre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if dataCentre != p.self.DataCentre {
		p.next[dataCentre]++
	}
}

// LocalPeerCount returns the number of known peers in this daemon's data centre.
func (p *Peers) LocalPeerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.local)
}

// Random returns up to count peers in this daemon's data centre other than the excluded one.
func (p *Peers) Random(count int, excluded string) []tgframe.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []tgframe.Member
	for range 2 * count {
		if len(p.local) == 0 || len(chosen) == count {
			break
		}
		m := p.local[rand.IntN(len(p.local))]
		if m.Name != excluded && !contains(chosen, m.Name) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// RecordOffset records an offset that a peer has reported; lower ones than before are ignored.
func (p *Peers) RecordOffset(name string, offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offsets[name] = max(p.offsets[name], offset)
}

// PeerOffset returns the highest offset that a peer has reported; 0 if it has reported none.
func (p *Peers) PeerOffset(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offsets[name]
}

// Lagging returns those of peers that have not reported offset or a higher one.
func (p *Peers) Lagging(peers []tgframe.Member, offset uint64) []tgframe.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lagging []tgframe.Member
	for _, m := range peers {
		if p.offsets[m.Name] < offset {
			lagging = append(lagging, m)
		}
	}
	return lagging
}

// Ahead returns the known peers that have reported an offset above applied, the highest first.
func (p *Peers) Ahead(applied uint64) []tgframe.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ahead []tgframe.Member
	for _, m := range p.local {
		if p.offsets[m.Name] > applied {
			ahead = append(ahead, m)
		}
	}
	for _, peers := range p.remote {
		for _, m := range peers {
			if p.offsets[m.Name] > applied {
				ahead = append(ahead, m)
			}
		}
	}
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] })
	slices.SortStableFunc(ahead, func(a, b tgframe.Member) int { return cmp.Compare(p.offsets[b.Name], p.offsets[a.Name]) })
	return ahead
}
