package tglogclient_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

// Guards against an answer of the log service with a status that HTTP does not have which counts as a success: 000 became
// 200, so an append that may not have been done counted as done.
func TestInvalidStatus(t *testing.T) {
	for _, code := range tgstandin.InvalidStatuses {
		for _, body := range []string{"", `{"offset":5}`, `{"offset":5,"next":6,"records":[]}`} {
			s, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, body), true)
			assert.NilError(t, err)
			c := tglogclient.New(s.Address())
			_, err = c.Append(t.Context(), "stream", []tgrecord.Record{{}})
			assert.Assert(t, err != nil, "append with status %q", code)
			_, err = c.Read(t.Context(), "stream", 0, 0)
			assert.Assert(t, err != nil, "read with status %q", code)
			assert.NilError(t, s.Close())
		}
	}
}
