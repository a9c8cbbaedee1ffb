package tglogclient_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

// Guards against a part of an answer of the log service that counts as the whole one, because the connection is reset while a
// long append is still being written.
func TestEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	records := []tgrecord.Record{{Writer: string(make([]byte, tgstandin.LongRequestBytes))}}
	assert.NilError(t, tgstandin.CheckEarlyReset("HTTP/1.1 200 OK\r\n\r\n{\"offset\":5}", func(server netip.AddrPort) error {
		_, err := tglogclient.New(server).Append(t.Context(), "stream", records)
		return err
	}))
}
