package tgview

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a configuration that counts as current for seconds too long after the time of day was set back: the entry
// answers 404 for routes that it has not heard of. The text of a time shows whether it has a monotonic reading.
func TestConfirmationIgnoresTimeOfDay(t *testing.T) {
	v := NewView(Codec{})
	v.Confirm(time.Now())
	assert.Assert(t, strings.Contains(v.confirmed.Load().String(), " m="), v.confirmed.Load())
}
