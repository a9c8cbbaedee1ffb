package tgcommand

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a daemon's answer with a status that HTTP does not have which operators get as its state: 000 became 200.
func TestFetchRefusesInvalidStatus(t *testing.T) {
	for _, code := range tgstandin.InvalidStatuses {
		s, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, "{}"), true)
		assert.NilError(t, err)
		body, err := fetch(s.Address(), dumpPath)
		assert.Assert(t, err != nil, "status %q brought %q", code, body)
		assert.NilError(t, s.Close())
	}
}
