package tgfleet

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// EngineSlowdown says how slow an engine is.
type EngineSlowdown struct {
	Engine   netip.AddrPort `cbor:"1,keyasint"`
	Slowdown float64        `cbor:"2,keyasint"` // times as long as usual that its work takes
}

// SlowdownNotice is the datagram by which the leader of the rank groups tells entries of engines that are slow.
type SlowdownNotice struct {
	Slow []EngineSlowdown `cbor:"21,keyasint"` // not nil in a notice
}

// SendSlowdowns tells entries of engines that are slow.
func SendSlowdowns(conn *net.UDPConn, entries []Member, paces map[netip.AddrPort]float64) error {
	n := SlowdownNotice{Slow: make([]EngineSlowdown, 0, len(paces))}
	for addr, pace := range paces {
		n.Slow = append(n.Slow, EngineSlowdown{Engine: addr, Slowdown: pace})
	}
	data, err := cbor.Marshal(n)
	if err != nil {
		return err
	}
	for _, m := range entries {
		// A datagram that cannot be sent is as good as lost; the next one follows soon.
		_, _ = conn.WriteToUDPAddrPort(data, m.Address)
	}
	return nil
}

const slowdownTTL = 1200 * time.Millisecond // a notice holds for so long; the leader repeats it while engines are slow

// Slowdowns is what the leader told of slow engines. It is safe for concurrent use.
type Slowdowns struct {
	expires time.Time // when paces lapse
	factors map[netip.AddrPort]float64
	mu      sync.Mutex
}

// Update takes a notice and returns the engines that became slow and those that are no longer, in order.
func (p *Slowdowns) Update(n SlowdownNotice, now time.Time) (slow, usual []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paces := make(map[netip.AddrPort]float64, len(n.Slow))
	for _, e := range n.Slow {
		if _, ok := p.factors[e.Engine]; !ok {
			slow = append(slow, e.Engine)
		}
		paces[e.Engine] = e.Slowdown
	}
	for addr := range p.factors {
		if _, ok := paces[addr]; !ok {
			usual = append(usual, addr)
		}
	}
	p.factors, p.expires = paces, now.Add(slowdownTTL)
	slices.SortFunc(slow, netip.AddrPort.Compare)
	slices.SortFunc(usual, netip.AddrPort.Compare)
	return slow, usual
}

// Expire returns the engines that are no longer known to be slow, in order, because the leader repeats its notice no
// more.
func (p *Slowdowns) Expire(now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.factors) == 0 || !now.After(p.expires) {
		return nil
	}
	usual := make([]netip.AddrPort, 0, len(p.factors))
	for addr := range p.factors {
		usual = append(usual, addr)
	}
	p.factors = nil
	slices.SortFunc(usual, netip.AddrPort.Compare)
	return usual
}

// Factor returns how many times as long as usual the engine at an address takes for its work.
func (p *Slowdowns) Factor(addr netip.AddrPort, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.expires) {
		return 1
	}
	return max(1, p.factors[addr])
}
