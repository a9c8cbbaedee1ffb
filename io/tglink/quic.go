package tglink

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
)

const (
	idleTimeout        = 15 * time.Second
	keepAlivePeriod    = 5 * time.Second
	maxIncomingStreams = 4096 // exchanges that are open at the same time over one connection

	connCodeReplaced quic.ApplicationErrorCode = 0
	connCodeStopped  quic.ApplicationErrorCode = 1
)

// Transport opens and serves exchanges over one UDP socket.
type Transport struct {
	dials     atomic.Int64
	mu        sync.Mutex
	peers     map[netip.AddrPort]*peer
	tlsConfig *tls.Config
	transport *quic.Transport
	udp       *net.UDPConn
}

// Listen opens a transport over a new UDP socket at address.
func Listen(address netip.AddrPort, tlsConfig *tls.Config) (*Transport, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Transport{
		peers:     map[netip.AddrPort]*peer{},
		tlsConfig: tlsConfig,
		transport: &quic.Transport{Conn: udp},
		udp:       udp,
	}, nil
}

// Address returns the local address of the socket.
func (t *Transport) Address() netip.AddrPort {
	address, _ := t.udp.LocalAddr().(*net.UDPAddr)
	return address.AddrPort()
}

// Close closes all connections and the socket.
func (t *Transport) Close() error {
	err := t.transport.Close()
	return errors.CombineErrors(errors.Wrap(err, "close QUIC transport"), t.udp.Close())
}

// DialCount returns the number of dials, failed ones included.
func (t *Transport) DialCount() int { return int(t.dials.Load()) }

// RetireConnection implements Dialer.
func (t *Transport) RetireConnection(address netip.AddrPort) { t.peer(address).retireCurrent() }

// Open implements Dialer.
func (t *Transport) Open(ctx context.Context, address netip.AddrPort) (Exchange, error) {
	p := t.peer(address)
	c, err := p.acquire(ctx, func() (*quic.Conn, error) {
		t.dials.Add(1)
		if p.needsOwnSocket() {
			return t.dialFromNewSocket(ctx, address)
		}
		return t.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), t.tlsConfig, quicConfig())
	})
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		p.release(c)
		p.retireCurrent()
		return nil, errors.Wrapf(err, "open stream to %s", address)
	}
	return newExchange(stream, func() { p.release(c) }), nil
}

// dialFromNewSocket makes a connection from a new local port. A device between the two ends that has lost the state of a
// flow (a pair of addresses and ports) keeps dropping its packets, whichever QUIC connection they belong to.
func (t *Transport) dialFromNewSocket(ctx context.Context, address netip.AddrPort) (*quic.Conn, error) {
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(t.Address().Addr(), 0))
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	transport := &quic.Transport{Conn: udp}
	closeSocket := func() {
		_ = transport.Close()
		_ = udp.Close()
	}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(address), t.tlsConfig, quicConfig())
	if err != nil {
		closeSocket()
		return nil, err
	}
	context.AfterFunc(conn.Context(), closeSocket)
	return conn, nil
}

func (t *Transport) peer(address netip.AddrPort) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[address]
	if !ok {
		p = newPeer()
		t.peers[address] = p
	}
	return p
}

// Serve implements Server.
func (t *Transport) Serve(ctx context.Context, handler Handler) error {
	listener, err := t.transport.Listen(t.tlsConfig, quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for QUIC connections")
	}
	defer listener.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept connection")
		}
		wg.Go(func() { serveConn(ctx, conn, handler) })
	}
}

func serveConn(ctx context.Context, conn *quic.Conn, handler Handler) {
	var wg conc.WaitGroup
	// Closing the connection tells the other side immediately that it is no longer served.
	defer conn.CloseWithError(connCodeStopped, "stopped") //nolint:errcheck // the connection may be gone already
	defer wg.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		wg.Go(func() {
			x := newExchange(stream, func() {})
			defer x.Close()
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			handler(ctx, x)
		})
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:    keepAlivePeriod,
		MaxIdleTimeout:     idleTimeout,
		MaxIncomingStreams: maxIncomingStreams,
	}
}
