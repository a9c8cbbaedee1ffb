package tgcontrol

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against an answer to a control call with a status that HTTP does not have which counts as one of the engine: an
// order would be taken for refused, or an engine for another one.
func TestInvalidStatus(t *testing.T) {
	for _, code := range tgstandin.InvalidStatuses {
		s, err := tgstandin.NewFixedReplyServer(tgstandin.ReplyWithStatus(code, "{}"), true)
		assert.NilError(t, err)
		c := newTestClient()
		for _, do := range []func(netip.AddrPort, Call) (int, []byte, error){c.Do, c.DoCertain} {
			for _, body := range [][]byte{nil, []byte("{}")} {
				status, _, err := do(s.Address(), Call{Body: body, Target: "/v1/order", Timeout: time.Second})
				assert.Assert(t, err != nil, "status %q became %d", code, status)
			}
		}
		assert.Equal(t, s.Conns.Load(), s.Requests.Load(), "a connection was used again")
		assert.NilError(t, s.Close())
	}
}
