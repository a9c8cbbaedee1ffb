package tgcommand

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a daemon's answer with a malformed field name which operators get as its state.
func TestFetchRefusesInvalidFieldName(t *testing.T) {
	const body = "{}"
	call := func(server netip.AddrPort) error {
		_, err := fetch(server, dumpPath)
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
