package tgcommand

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"tanagergrade/core/tglogtable"
	"tanagergrade/io/tgfleet"
	"tanagergrade/io/tgreport"
	tgplatform "tanagergrade/platform"
)

// serveEntry serves the admin interface of an entry and returns its address. The entry has the configuration of testdata
// after edit, or none if edit is nil.
func serveEntry(t *testing.T, edit func(record string) string) string {
	t.Helper()
	s, err := tgplatform.LoadSettings("../../platform/testdata/settings.json")
	assert.NilError(t, err)
	d := &platformDaemon{peers: tgfleet.NewPeers(s.VM), report: tgreport.NewReporter(s.VM, io.Discard), settings: s}
	t.Cleanup(func() { _ = d.report.Close() })
	e := newPlatformEntry(d, newEntryFlags())
	if edit != nil {
		data, err := os.ReadFile("../../platform/testdata/config.json")
		assert.NilError(t, err)
		e.applyOperator([]tglogtable.Record{{Key: "config", Offset: 1, Value: []byte(edit(string(data)))}})
	}
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = fasthttp.Serve(l, e.handleAdmin) }() // ends with the listener
	return l.Addr().String()
}

// Guards against a difference between the configurations of two entries that the commands do not show, and against keys
// of accounts in the output.
func TestPlatformConfig(t *testing.T) {
	first := serveEntry(t, func(s string) string { return s })
	second := serveEntry(t, func(s string) string {
		return strings.NewReplacer(`"version": 7`, `"version": 9`, `"timeoutMs": 8000`, `"timeoutMs": 6000`, `"k3"`, `"k4"`).Replace(s)
	})
	for name, args := range map[string][]string{
		"diff":     {"diff", first, second},
		"diffJSON": {"diff", first, second, "--output", "json"},
		"show":     {"show", first},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, Main(append([]string{"platform", "config"}, args...), &out, &errs), 0, errs.String())
			golden.Assert(t, out.String(), "platform-config-"+name+".golden")
		})
	}
	t.Run("same", func(t *testing.T) {
		var out, errs bytes.Buffer
		assert.Equal(t, Main([]string{"platform", "config", "diff", first, first}, &out, &errs), 0, errs.String())
		assert.Equal(t, out.String(), "")
	})
	t.Run("noConfiguration", func(t *testing.T) {
		var out, errs bytes.Buffer
		assert.Assert(t, Main([]string{"platform", "config", "show", serveEntry(t, nil)}, &out, &errs) != 0)
		assert.Assert(t, strings.Contains(errs.String(), errNoConfig.Error()), errs.String())
	})
}
