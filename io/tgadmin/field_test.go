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
	tlsConfig, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	assert.NilError(t, tgstandin.CheckFieldNames("{}", func(server netip.AddrPort) error {
		_, err := NewClient(tlsConfig).Status(t.Context(), serveTLS(t, tlsConfig, server))
		return err
	}))
}
