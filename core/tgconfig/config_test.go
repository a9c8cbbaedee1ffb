package tgconfig

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against pools with nested path prefixes that get each other's requests, depending on the order of a map.
func TestPlainPool(t *testing.T) {
	c := &Config{Pools: map[string]Pool{
		"ledger":   {Kind: PlainPool, PathPrefix: "/ledger/"},
		"model":    {Kind: ModelPool},
		"noPrefix": {Kind: PlainPool},
		"promises": {Kind: PlainPool, PathPrefix: "/ledger/promises/"},
	}}
	for _, tc := range []struct{ path, want string }{
		{"/ledger/balance", "ledger"},
		{"/ledger/promises/1", "promises"},
		{"/other", ""},
	} {
		for range 20 { // the order of a map differs from run to run
			name, ok := c.PlainPool(tc.path)
			assert.Equal(t, name, tc.want, tc.path)
			assert.Equal(t, ok, tc.want != "", tc.path)
		}
	}
}
