package tglogclient_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

// Guards against an answer of the log service with a malformed field name which counts as a success.
func TestInvalidFieldName(t *testing.T) {
	const body = `{"offset":5}`
	call := func(server netip.AddrPort) error {
		_, err := tglogclient.New(server).Append(t.Context(), "stream", []tgrecord.Record{{}})
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
