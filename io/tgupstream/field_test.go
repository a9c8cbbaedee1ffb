package tgupstream_test

import (
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// Guards against an upstream's answer with a malformed field name which callers get, or with a body that is not the
// upstream's.
func TestInvalidFieldName(t *testing.T) {
	assert.NilError(t, tgstandin.CheckInvalidFieldNames("body", func(server netip.AddrPort) error {
		return tgupstream.New(server).Do(t.Context(), request(fasthttp.MethodGet), &recorder{})
	}))
}
