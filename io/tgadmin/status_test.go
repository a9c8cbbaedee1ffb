package tgadmin

import (
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgkey"
	"tanagergrade/io/tgstandin"
)

// Guards against a daemon's answer with a status that HTTP does not have which operators get as its state: 000 became 200.
func TestClientRefusesInvalidStatus(t *testing.T) {
	tlsConfig, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	for _, code := range append([]string{"200"}, tgstandin.InvalidStatuses...) {
		raw, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, `{}`), true)
		assert.NilError(t, err)
		front := serveTLS(t, tlsConfig, raw.Address())
		_, err = NewClient(tlsConfig).Status(t.Context(), front)
		assert.Equal(t, err == nil, code == "200", "status %q: %v", code, err)
		assert.NilError(t, raw.Close())
	}
}

// serveTLS returns an address at which connections are passed on to a server without TLS.
func serveTLS(t *testing.T, tlsConfig *tls.Config, server netip.AddrPort) netip.AddrPort {
	t.Helper()
	l, err := tls.Listen("tcp4", "127.0.0.1:0", withHTTPProtocol(tlsConfig))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp4", server.String()) //nolint:noctx // it ends with its server
			if err != nil {
				_ = near.Close()
				continue
			}
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}
