package tglink_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tgstandin"
)

// startPair returns a transport, and the address of another one that serves handler.
func startPair(t *testing.T, handler tglink.Handler) (*tglink.Transport, netip.AddrPort) {
	t.Helper()
	cfg, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	client, err := tglink.Listen(loopback, cfg)
	assert.NilError(t, err)
	server, err := tglink.Listen(loopback, cfg)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, handler) })
	t.Cleanup(func() {
		assert.NilError(t, client.Close())
		cancel()
		wg.Wait()
		assert.NilError(t, server.Close())
	})
	return client, server.Address()
}

// Guards against frames that are truncated or merged, and against an exchange that does not end after its last frame.
func TestExchange(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 1<<20)
	client, address := startPair(t, func(ctx context.Context, x tglink.Exchange) {
		f, err := x.Receive(ctx)
		for i := uint64(0); err == nil && i < 3; i++ {
			err = x.Send(ctx, tgframe.Frame{Chunk: &tgframe.Chunk{Data: f.Execute.Body, Sequence: i}, Kind: tgframe.KindChunk})
		}
	})
	for _, body := range [][]byte{{}, []byte("small"), large} {
		x, err := client.Open(t.Context(), address)
		assert.NilError(t, err)
		assert.NilError(t, x.Send(t.Context(), tgframe.Frame{Execute: &tgframe.Execute{Body: body}, Kind: tgframe.KindExecute}))
		for i := range uint64(3) {
			f, err := x.Receive(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, f.Chunk.Sequence, i)
			assert.Assert(t, bytes.Equal(f.Chunk.Data, body))
		}
		_, err = x.Receive(t.Context())
		assert.ErrorIs(t, err, io.EOF)
		_ = x.Close() // the other side has closed already
	}
}

// Guards against a Receive that goes on waiting after its context has ended, during the call or before it.
func TestReceiveEndsWithContext(t *testing.T) {
	client, address := startPair(t, func(ctx context.Context, x tglink.Exchange) { _, _ = x.Receive(ctx) })
	x, err := client.Open(t.Context(), address)
	assert.NilError(t, err)
	defer x.Close()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	for range 2 {
		_, err = x.Receive(ctx)
		assert.ErrorIs(t, err, context.Canceled)
	}
}

// Guards against retiring a connection that cuts off its open exchanges, against new exchanges over a retired connection,
// and against retiring a replacement that is younger than a second.
func TestRetireConnectionKeepsExchanges(t *testing.T) {
	client, address := startPair(t, func(ctx context.Context, x tglink.Exchange) {
		for {
			if _, err := x.Receive(ctx); err != nil || x.Send(ctx, tgframe.Frame{Kind: tgframe.KindAccepted}) != nil {
				return
			}
		}
	})
	old, err := client.Open(t.Context(), address)
	assert.NilError(t, err)
	defer old.Close()
	echo := func() {
		assert.NilError(t, old.Send(t.Context(), tgframe.Frame{Kind: tgframe.KindAttach}))
		f, err := old.Receive(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, f.Kind, tgframe.KindAccepted)
	}
	echo()
	time.Sleep(1100 * time.Millisecond) // a connection is not retired in its first second
	before := client.DialCount()
	client.RetireConnection(address)
	client.RetireConnection(address)
	replacement, err := client.Open(t.Context(), address)
	assert.NilError(t, err)
	defer replacement.Close()
	client.RetireConnection(address) // has no effect, because the new connection is too young
	again, err := client.Open(t.Context(), address)
	assert.NilError(t, err)
	defer again.Close()
	assert.Equal(t, client.DialCount()-before, 1)
	echo()
}

// Guards against a replacement that uses the same socket as the connection that went silent: a device between the two ends
// that has lost the state of that flow drops its packets for good.
func TestRetireConnectionUsesNewSocket(t *testing.T) {
	client, address := startPair(t, func(ctx context.Context, x tglink.Exchange) {
		for {
			f, err := x.Receive(ctx)
			if err != nil || x.Send(ctx, f) != nil {
				return
			}
		}
	})
	relay, err := tgstandin.NewRelay(address)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, relay.Close()) })
	echo := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		x, err := client.Open(ctx, relay.Address())
		if err != nil {
			return err
		}
		defer x.Close()
		if err := x.Send(ctx, tgframe.Frame{Kind: tgframe.KindAccepted}); err != nil {
			return err
		}
		_, err = x.Receive(ctx)
		return err
	}
	assert.NilError(t, echo())
	assert.Equal(t, relay.BlackholeFlows(), 1)
	assert.Assert(t, echo() != nil, "the silent connection still works")
	client.RetireConnection(relay.Address())
	assert.NilError(t, echo())
}
