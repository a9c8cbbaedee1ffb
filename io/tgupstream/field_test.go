package tgupstream_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// Guards against an upstream's answer with a malformed field name which callers get, or with a body that is not the
// upstream's.
func TestInvalidFieldName(t *testing.T) {
	const body = "body"
	call := func(server netip.AddrPort) error {
		return tgupstream.New(server).Do(t.Context(), request(fasthttp.MethodGet), &recorder{})
	}
	accepted, err := tgstandin.AcceptedReplies(tgstandin.RepliesWithInvalidField(body), call)
	assert.NilError(t, err)
	assert.Equal(t, len(accepted), 0, "%q", accepted)
	whole := slices.DeleteFunc(tgstandin.RepliesWithFieldLine("X: 1", body), func(reply string) bool {
		return !strings.Contains(reply, "Content-Length") && !strings.Contains(reply, "chunked") // those are refused
	})
	accepted, err = tgstandin.AcceptedReplies(whole, call)
	assert.NilError(t, err)
	assert.DeepEqual(t, accepted, whole)
}
