package tgcontrol

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against an answer to a control call with a malformed field name which counts as one of the engine.
func TestInvalidFieldName(t *testing.T) {
	const body = "{}"
	call := func(server netip.AddrPort) error {
		c := New(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr.String())
		})
		_, _, err := c.Do(server, Call{Target: "/v1/report", Timeout: time.Second})
		return err
	}
	accepted, err := tgstandin.AcceptedReplies(tgstandin.RepliesWithInvalidField(body), call)
	assert.NilError(t, err)
	assert.Equal(t, len(accepted), 0, "%q", accepted)
	whole := tgstandin.RepliesWithFieldLine("X: 1", body)
	accepted, err = tgstandin.AcceptedReplies(whole, call)
	assert.NilError(t, err)
	assert.DeepEqual(t, accepted, whole)
}
