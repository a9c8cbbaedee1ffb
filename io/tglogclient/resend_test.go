package tglogclient_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

// Guards against the HTTP library retrying an append or a read when the log service closes the connection; a retried append
// would be a second record.
func TestCallIsSentOnce(t *testing.T) {
	for name, row := range map[string]struct {
		reply string
		ok    bool // an append succeeds
	}{
		"closed after reply":    {reply: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":1}", ok: true},
		"closed before reply":   {},
		"closed in body":        {reply: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"off"},
		"closed in chunk":       {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{\"off"},
		"closed in head":        {reply: "HTTP/1.1 200 OK\r\nContent-Le"},
		"closed in status line": {reply: "HTTP/1."},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := tgstandin.NewFixedReplyServer(row.reply, false)
			assert.NilError(t, err)
			defer s.Close() //nolint:errcheck // end of the test
			_, err = tglogclient.New(s.Address()).Append(t.Context(), "s", nil)
			assert.Equal(t, err == nil, row.ok, "error %v", err)
			assert.Equal(t, s.Requests.Load(), int64(1))
			_, err = tglogclient.New(s.Address()).Read(t.Context(), "s", 0, time.Millisecond)
			assert.Equal(t, err == nil, row.ok, "error %v", err)
			assert.Equal(t, s.Requests.Load(), int64(2))
		})
	}
}
