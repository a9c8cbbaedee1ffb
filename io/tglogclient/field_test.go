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
	assert.NilError(t, tgstandin.CheckFieldNames(`{"offset":5}`, func(server netip.AddrPort) error {
		_, err := tglogclient.New(server).Append(t.Context(), "stream", []tgrecord.Record{{}})
		return err
	}))
}
