package tgadmin

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgkey"
	"tanagergrade/io/tgstandin"
)

// Guards against a daemon's answer with a malformed field name which operators get as its state.
func TestClientRefusesInvalidFieldName(t *testing.T) {
	const body = "{}"
	tlsConfig, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	call := func(server netip.AddrPort) error {
		_, err := NewClient(tlsConfig).Status(t.Context(), serveTLS(t, tlsConfig, server))
		return err
	}
	accepted, err := tgstandin.AcceptedReplies(tgstandin.RepliesWithInvalidField(body), call)
	assert.NilError(t, err)
	assert.Equal(t, len(accepted), 0, "%q", accepted)
	whole := tgstandin.RepliesWithFieldLine("X: 1", body)
	accepted, err = tgstandin.AcceptedReplies(whole, call)
	assert.NilError(t, err)
	assert.DeepEqual(t, accepted, whole)
}
