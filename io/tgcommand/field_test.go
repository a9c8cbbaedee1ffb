package tgcommand

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a daemon's answer with a malformed field name which operators get as its state.
func TestFetchRefusesInvalidFieldName(t *testing.T) {
	assert.NilError(t, tgstandin.CheckFieldNames("{}", func(server netip.AddrPort) error {
		_, err := fetch(server, dumpPath)
		return err
	}))
}
