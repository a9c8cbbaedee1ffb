package tgcommand

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// serveDump serves dump, with STARTED replaced by the time 90 s ago, and returns its address.
func serveDump(t *testing.T, dump string) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	started := time.Now().Add(-90 * time.Second).Format(time.RFC3339Nano)
	handler := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.ReplaceAll(dump, "STARTED", started)) }
	go func() { _ = fasthttp.Serve(l, handler) }() // ends with the listener
	return l.Addr().String()
}

// Guards against a status that does not show that a daemon failed to answer, that a configuration is unconfirmed or which
// companion leads.
func TestPlatformStatus(t *testing.T) {
	entry := serveDump(t, `{"started":"STARTED","settings":{"VM":"entry-1"},"store":{"era":4,"rises":1},"view":{"current":false,"version":7},`+
		`"proxy":{"callers":3,"pools":{"p":{"inFlight":12,"limit":20.4}}}}`)
	companion := serveDump(t, `{"started":"STARTED","settings":{"VM":"companion-1"},"rank":{"leader":"companion-1","leads":true,"token":4}}`)
	malformed := serveDump(t, `no dump`)
	var out, errOut bytes.Buffer
	code := Main([]string{"platform", "status", entry, companion, malformed, "127.0.0.1:1"}, &out, &errOut)
	assert.Assert(t, code != 0)
	text := out.String()
	for name, addr := range map[string]string{"ENTRY": entry, "COMPANION": companion, "MALFORMED": malformed} {
		text = strings.ReplaceAll(text, addr, name+strings.Repeat("-", len(addr)-len(name)))
	}
	golden.Assert(t, padPorts(text), "platform-status.golden")
	assert.Assert(t, strings.Contains(errOut.String(), "2 of 4 daemons did not answer"), "%s", errOut.String())
}

// padPorts removes dashes and repeated spaces: column widths depend on the number of digits of the test's ports.
func padPorts(text string) string {
	lines := strings.Split(text, "\n")
	for i, l := range lines {
		lines[i] = strings.Join(strings.Fields(strings.ReplaceAll(l, "-", "")), " ")
	}
	return strings.Join(lines, "\n")
}
