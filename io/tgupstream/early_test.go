package tgupstream_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// Guards against a part of an answer that counts as the whole one, and against a request that counts as not sent: the upstream
// answers a long request before it has read it and resets the connection while it is still being written.
func TestEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	const runs = 20
	for _, head := range []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			s, err := tgstandin.NewEarlyResetServer("HTTP/1.1 200 OK\r\n"+head+"\r\n4\r\n", delay)
			assert.NilError(t, err)
			for range runs {
				e := request(fasthttp.MethodPost)
				e.Body = make([]byte, tgstandin.LongRequestBytes)
				err := tgupstream.New(s.Address()).Do(t.Context(), e, &recorder{})
				assert.Assert(t, err != nil, "%q, reset after %v", head, delay)
				var notSent *tgupstream.NotSentError
				assert.Assert(t, !errors.As(err, &notSent), "%q, reset after %v: %v", head, delay, err)
			}
			assert.NilError(t, s.Close())
		}
	}
}
