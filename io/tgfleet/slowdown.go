package tgfleet

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// EngineSlowdown is the slowdown of an engine.
type EngineSlowdown struct {
	Engine   netip.AddrPort `cbor:"1,keyasint"`
	Slowdown float64        `cbor:"2,keyasint"` // factor by which its work takes longer than usual
}

// SlowdownNotice is the datagram with which the leader of the rank groups reports all slow engines to the entries.
type SlowdownNotice struct {
	Slow []EngineSlowdown `cbor:"21,keyasint"` // not nil, which distinguishes a notice from other datagrams
}

// SendSlowdowns sends a notice with the slowdown factors of all slow engines to the entries.
func SendSlowdowns(conn *net.UDPConn, entries []Member, factors map[netip.AddrPort]float64) error {
	n := SlowdownNotice{Slow: make([]EngineSlowdown, 0, len(factors))}
	for addr, factor := range factors {
		n.Slow = append(n.Slow, EngineSlowdown{Engine: addr, Slowdown: factor})
	}
	data, err := cbor.Marshal(n)
	if err != nil {
		return err
	}
	for _, m := range entries {
		// A datagram that cannot be sent is treated like a lost one; the next one follows soon.
		_, _ = conn.WriteToUDPAddrPort(data, m.Address)
	}
	return nil
}

const slowdownTTL = 1200 * time.Millisecond // validity of a notice; the leader repeats it while engines are slow

// Slowdowns holds the slow engines of the leader's last notice. It is safe for concurrent use.
type Slowdowns struct {
	expires time.Time // when factors expire
	factors map[netip.AddrPort]float64
	mu      sync.Mutex
}

// Update applies a notice and returns the engines that became slow and those that are no longer slow, both sorted.
func (p *Slowdowns) Update(n SlowdownNotice, now time.Time) (slow, recovered []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	factors := make(map[netip.AddrPort]float64, len(n.Slow))
	for _, e := range n.Slow {
		if _, ok := p.factors[e.Engine]; !ok {
			slow = append(slow, e.Engine)
		}
		factors[e.Engine] = e.Slowdown
	}
	for addr := range p.factors {
		if _, ok := factors[addr]; !ok {
			recovered = append(recovered, addr)
		}
	}
	p.factors, p.expires = factors, now.Add(slowdownTTL)
	slices.SortFunc(slow, netip.AddrPort.Compare)
	slices.SortFunc(recovered, netip.AddrPort.Compare)
	return slow, recovered
}

// Expire drops the last notice once it has expired, because the leader no longer repeats it, and returns its engines,
// sorted.
func (p *Slowdowns) Expire(now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.factors) == 0 || !now.After(p.expires) {
		return nil
	}
	expired := make([]netip.AddrPort, 0, len(p.factors))
	for addr := range p.factors {
		expired = append(expired, addr)
	}
	p.factors = nil
	slices.SortFunc(expired, netip.AddrPort.Compare)
	return expired
}

// Factor returns the factor by which the work of the engine at addr takes longer than usual; 1 if it is not known to be
// slow.
func (p *Slowdowns) Factor(addr netip.AddrPort, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.expires) {
		return 1
	}
	return max(1, p.factors[addr])
}
