package tgupstream_test

import (
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// Guards against an upstream's answer with a status that HTTP does not have which callers get as a success: 000 became 200.
func TestInvalidStatus(t *testing.T) {
	for _, code := range tgstandin.InvalidStatuses {
		s := startFaultServer(t, tgstandin.ReplyWithStatus(code, "body"), true)
		client, got := tgupstream.New(s.Address()), &recorder{}
		for range 2 {
			err := client.Do(t.Context(), request(fasthttp.MethodGet), got)
			assert.Assert(t, err != nil, "status %q became %d", code, got.head.Status)
		}
		assert.Equal(t, got.head.Status, 0)
		assert.Equal(t, s.Conns.Load(), int64(2), "the connection was used again")
	}
}

// Guards against a check of the status on the first answer of a connection only.
func TestInvalidStatusOnUsedConnection(t *testing.T) {
	replies := []string{tgstandin.ReplyWithStatus("200", "ok"), tgstandin.ReplyWithStatus("000", "ok")}
	s, err := tgstandin.NewRepliesServer(replies)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	client := tgupstream.New(s.Address())
	first, second := &recorder{}, &recorder{}
	assert.NilError(t, client.Do(t.Context(), request(fasthttp.MethodGet), first))
	assert.Equal(t, first.head.Status, fasthttp.StatusOK)
	assert.Assert(t, client.Do(t.Context(), request(fasthttp.MethodGet), second) != nil)
	assert.Equal(t, second.head.Status, 0)
	assert.Equal(t, s.Conns.Load(), int64(1))
}
