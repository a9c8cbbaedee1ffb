package tgnode

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tgstandin"
)

const datagramOverhead = 28 // IPv4 and UDP headers

// relay forwards datagrams between one client and a server and counts their bytes.
type relay struct {
	client     atomic.Pointer[net.UDPAddr]
	byteCount  atomic.Int64
	clientSide *net.UDPConn
	serverSide *net.UDPConn
}

func newRelay(tb testing.TB, server netip.AddrPort) *relay {
	tb.Helper()
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(tb, err)
	serverSide, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server))
	assert.NilError(tb, err)
	r := &relay{clientSide: clientSide, serverSide: serverSide}
	go r.forward(func(data []byte) (int, error) {
		n, from, err := clientSide.ReadFromUDP(data)
		r.client.Store(from)
		return n, err
	}, serverSide.Write)
	go r.forward(serverSide.Read, func(data []byte) (int, error) { return clientSide.WriteToUDP(data, r.client.Load()) })
	tb.Cleanup(func() { _ = clientSide.Close(); _ = serverSide.Close() })
	return r
}

func (r *relay) forward(read, write func([]byte) (int, error)) {
	data := make([]byte, 65536)
	for {
		n, err := read(data)
		if err != nil {
			return
		}
		r.byteCount.Add(int64(n + datagramOverhead))
		if _, err := write(data[:n]); err != nil {
			return
		}
	}
}

// BenchmarkWire measures gossip over QUIC on loopback: the bytes in both directions of each exchange, of the handshake
// and of a second of an idle connection, and the processor time of each exchange, which includes both sides and the
// relay.
func BenchmarkWire(b *testing.B) {
	keys, err := tgkey.NewMemoryConfig()
	assert.NilError(b, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	newNodeOverQUIC := func(name string) (*Node, *tglink.Transport) {
		transport, err := tglink.Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys)
		assert.NilError(b, err)
		b.Cleanup(func() { _ = transport.Close() })
		settings := Settings{DataCentre: "data-centre-a", LinkAddress: transport.Address(), Name: name}
		log := tgstandin.DirectLog{Log: tgstandin.NewLog(time.Hour)}
		return newNode(settings, transport, log, logger), transport
	}
	client, _ := newNodeOverQUIC("companion-upstream-00001")
	server, transport := newNodeOverQUIC("companion-upstream-00002")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(ctx, server.serve)
	}()
	defer func() { cancel(); <-done }()
	r := newRelay(b, transport.Address())
	peer := tgframe.Member{Address: r.clientSideAddress(), DataCentre: "data-centre-a", Name: server.Settings.Name}
	assert.NilError(b, client.exchangeGossip(ctx, peer))
	time.Sleep(3 * time.Second) // long enough for path MTU discovery, which counts as part of the handshake
	handshake := r.byteCount.Load()
	const idle = 20 * time.Second
	time.Sleep(idle)
	idleBytes := float64(r.byteCount.Load()-handshake) / idle.Seconds()
	before, cpu := r.byteCount.Load(), processorTime()
	exchanges := 0
	for b.Loop() {
		assert.NilError(b, client.exchangeGossip(ctx, peer))
		time.Sleep(100 * time.Millisecond) // so that delayed acknowledgements do not fall into the next exchange
		exchanges++
	}
	b.ReportMetric(float64(r.byteCount.Load()-before)/float64(exchanges), "B/exchange")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(exchanges), "cpu-us/exchange")
	const connections = 50
	heap := heapBytes()
	for range connections {
		other, _ := newNodeOverQUIC("companion-upstream-00003")
		direct := peer
		direct.Address = transport.Address()
		assert.NilError(b, other.exchangeGossip(ctx, direct))
	}
	b.ReportMetric((heapBytes()-heap)/connections, "heapB/connection")
	b.ReportMetric(float64(handshake), "B/handshake")
	b.ReportMetric(idleBytes, "idleB/s")
	b.ReportMetric(0, "ns/op")
}

func (r *relay) clientSideAddress() netip.AddrPort {
	address, _ := r.clientSide.LocalAddr().(*net.UDPAddr)
	return address.AddrPort()
}
