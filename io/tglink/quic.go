package tglink

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
)

const (
	idleTimeout     = 15 * time.Second
	keepAlivePeriod = 5 * time.Second
	maxStreams      = 4096 // exchanges at once over one connection
)

// Transport opens and serves exchanges over one UDP socket.
type Transport struct {
	conns     map[netip.AddrPort]*quic.Conn
	mu        sync.Mutex
	tlsConfig *tls.Config
	transport *quic.Transport
	udp       *net.UDPConn
}

// Listen opens the UDP socket at address.
func Listen(address netip.AddrPort, tlsConfig *tls.Config) (*Transport, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Transport{
		conns:     map[netip.AddrPort]*quic.Conn{},
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

// Forget drops the connection to address.
func (t *Transport) Forget(address netip.AddrPort) {
	t.mu.Lock()
	conn := t.conns[address]
	delete(t.conns, address)
	t.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "replaced")
	}
}

// Open opens an exchange with the daemon at address.
func (t *Transport) Open(ctx context.Context, address netip.AddrPort) (Exchange, error) {
	conn, err := t.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.Forget(address)
		return nil, errors.Wrapf(err, "open stream to %s", address)
	}
	return newExchange(stream), nil
}

func (t *Transport) conn(ctx context.Context, address netip.AddrPort) (*quic.Conn, error) {
	t.mu.Lock()
	conn := t.conns[address]
	t.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := t.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), t.tlsConfig, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.conns[address]; old != nil && old.Context().Err() == nil {
		_ = conn.CloseWithError(0, "duplicate")
		return old, nil
	}
	t.conns[address] = conn
	return conn, nil
}

// Serve serves exchanges that other daemons open until ctx ends; it returns after all handlers have.
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
	defer wg.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		wg.Go(func() {
			x := newExchange(stream)
			defer x.Close()
			handler(ctx, x)
		})
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:    keepAlivePeriod,
		MaxIdleTimeout:     idleTimeout,
		MaxIncomingStreams: maxStreams,
	}
}
