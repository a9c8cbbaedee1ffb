package tgcommand

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against an explanation that misses lines of a request or takes those of another one that merely names its ID.
func TestPlatformExplain(t *testing.T) {
	for name, args := range map[string][]string{
		"answered": {"a1", "testdata/entry.log"},
		"json":     {"a1", "testdata/entry.log", "--output", "json"},
		"refused":  {"b2", "testdata/entry.log"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, Main(append([]string{"platform", "explain"}, args...), &out, &errs), 0, errs.String())
			golden.Assert(t, out.String(), "platform-explain-"+name+".golden")
		})
	}
	t.Run("unknown", func(t *testing.T) {
		var out, errs bytes.Buffer
		assert.Equal(t, Main([]string{"platform", "explain", "c3", "testdata/entry.log"}, &out, &errs), 1)
		assert.Equal(t, errs.String(), "tanagergrade: no line of the logs is about request \"c3\"\n")
	})
}
