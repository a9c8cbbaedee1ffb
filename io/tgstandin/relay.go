package tgstandin

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Relay forwards UDP packets between clients and a target and keeps state for each flow, like a NAT or a stateful firewall.
type Relay struct {
	front *net.UDPConn // on the side of the clients

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flow // by client address and port
	target netip.AddrPort
}

type flow struct {
	back       *net.UDPConn // to the target
	blackholed bool         // packets of this flow are dropped in both directions from now on
}

const maxPacketBytes = 64 << 10

// NewRelay returns a relay to target on a free loopback port.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	r := &Relay{flows: map[netip.AddrPort]*flow{}, front: front, target: target}
	go r.forwardPackets()
	return r, nil
}

// Address returns the address that clients send to.
func (r *Relay) Address() netip.AddrPort {
	address, _ := r.front.LocalAddr().(*net.UDPAddr)
	return address.AddrPort()
}

// BlackholeFlows makes the relay drop all further packets of the flows that are open now, and returns the number of open
// flows. New flows are forwarded.
func (r *Relay) BlackholeFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.blackholed = true
	}
	return len(r.flows)
}

// Close closes the sockets of the relay.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.back.Close()
	}
	return errors.Wrap(r.front.Close(), "close relay")
}

func (r *Relay) forwardPackets() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, client, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flow(client); f != nil {
			_, _ = f.back.Write(buf[:n])
		}
	}
}

// flow returns the flow of a client, or nil if its packets are dropped.
func (r *Relay) flow(client netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[client]; ok {
		if f.blackholed {
			return nil
		}
		return f
	}
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	f := &flow{back: back}
	r.flows[client] = f
	go r.returnPackets(client, f)
	return f
}

func (r *Relay) returnPackets(client netip.AddrPort, f *flow) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := f.back.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		blackholed := f.blackholed
		r.mu.Unlock()
		if !blackholed {
			_, _ = r.front.WriteToUDPAddrPort(buf[:n], client)
		}
	}
}
