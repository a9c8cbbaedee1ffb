package tgflag

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a misspelt value of a flag that is taken for the default.
func TestEnum(t *testing.T) {
	e := NewEnum("auto", []string{"auto", "own"})
	assert.Equal(t, e.String(), "auto")
	assert.NilError(t, e.Set("own"))
	assert.ErrorContains(t, e.Set("Auto"), "auto, own")
	assert.Equal(t, e.Value, "own")
}
