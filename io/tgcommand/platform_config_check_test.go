package tgcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// writeConfig writes the configuration of testdata after replacements to a file in the current directory, which is a
// temporary one, and returns its name.
func writeConfig(t *testing.T, replacements ...string) string {
	t.Helper()
	data, err := os.ReadFile("../../platform/testdata/config.json")
	assert.NilError(t, err)
	t.Chdir(t.TempDir())
	const name = "next.json"
	text := strings.NewReplacer(replacements...).Replace(string(data))
	assert.NilError(t, os.WriteFile(filepath.Join(".", name), []byte(text), 0o600))
	return name
}

// Guards against faults of a configuration that show only once it is in force, and against an exit code that hides them
// from a script.
func TestPlatformConfigCheck(t *testing.T) {
	for _, test := range []struct {
		name         string
		replacements []string
		code         int
	}{
		{name: "contradictions", replacements: []string{
			`"targetLatencyMs": 500`, `"targetLatencyMs": 9000`, `"maxConnections": 418`, `"maxConnections": 6`,
			`"maxAttempts": 1`, `"maxAttempts": 3`,
		}},
		{name: "duplicate", replacements: []string{`"/s/deep/"`, `"/s/"`, `"k3"`, `"k1"`}, code: 1},
		{name: "neverMatches", replacements: []string{
			`"weight": 10`, `"weight": 0`, `"a.example"`, `"a.example:80"`, `"k3"`, ``,
		}, code: 1},
		{name: "otherType", replacements: []string{`"maxAttempts": 1`, `"maxAttempts": "1"`}, code: 1},
		{name: "sound"},
		{name: "syntax", replacements: []string{`"maxAttempts": 1,`, `"maxAttempts": 1,,`}, code: 1},
		{name: "unknownPool", replacements: []string{`"service": "p2",
      "maxAttempts"`, `"service": "p9",
      "maxAttempts"`}, code: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir, err := os.Getwd()
			assert.NilError(t, err)
			name := writeConfig(t, test.replacements...)
			var out, errs bytes.Buffer
			code := Main([]string{"platform", "config", "check", name}, &out, &errs)
			t.Chdir(dir)
			assert.Equal(t, code, test.code, errs.String())
			golden.Assert(t, out.String()+errs.String(), "platform-config-check-"+test.name+".golden")
		})
	}
}

// Guards against a version that the store takes but that entries ignore, because a higher one is in force, and against a
// change that the operator does not see before it is sent.
func TestPlatformConfigCheckAgainstEntry(t *testing.T) {
	address := serveEntry(t, func(s string) string { return s })
	dir, err := os.Getwd()
	assert.NilError(t, err)
	name := writeConfig(t, `"timeoutMs": 8000`, `"timeoutMs": 6000`)
	var out, errs bytes.Buffer
	code := Main([]string{"platform", "config", "check", name, address}, &out, &errs)
	t.Chdir(dir)
	assert.Equal(t, code, 1)
	golden.Assert(t, out.String()+errs.String(), "platform-config-check-against.golden")
}
