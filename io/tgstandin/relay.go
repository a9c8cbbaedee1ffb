package tgstandin

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Relay passes UDP packets to a target, as a middlebox that keeps track of flows.
type Relay struct {
	front *net.UDPConn

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flow // by client address and port
	target netip.AddrPort
}

type flow struct {
	back       *net.UDPConn
	blackholed bool // packets of this flow are dropped for good
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

// BlackholeFlows makes the relay drop all packets of the flows that are open now; new flows work.
func (r *Relay) BlackholeFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.blackholed = true
	}
	return len(r.flows)
}

// Close ends the relay.
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
