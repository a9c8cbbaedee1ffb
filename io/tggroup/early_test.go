package tggroup

import (
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tgstandin"
)

// Guards against a part of a rank's answer that counts as the whole one, because the connection is reset while a long order is
// still being written.
func TestAgentRefusesEarlyAnswerCutOff(t *testing.T) {
	t.Parallel()
	order := strings.Repeat("x", tgstandin.LongRequestBytes)
	assert.NilError(t, tgstandin.CheckEarlyReset("HTTP/1.1 200 OK\r\n\r\n{}", func(server netip.AddrPort) error {
		var answer struct{}
		return NewAgent(0, server, LeaseName("g"), nil).callEngine(t.Context(), "/v1/order", order, &answer)
	}))
}
