package tgproxy

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
)

// Guards against parts of prompts that are missed or taken for different ones because of how a caller writes them, and
// against a header that takes much memory: IDs over 64 bytes are kept as digests.
func TestSharedParts(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		want   string
	}{
		"empty":        {},
		"lastOnly":     {header: "5c1e:800"},
		"leadingZeros": {header: "005C1e:800,1:2", want: "5c1e"},
		"malformed":    {header: ",:,0:1,a,b:x, c :1,d:1", want: "0 a b c"},
		"many":         {header: strings.Repeat("a:1,", 3) + manyParts(100), want: "a " + strings.Join(partIDs(99), " ")},
		"three":        {header: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", want: "5c1e07a2 91bd3f06"},
		"long":         {header: strings.Repeat("a", 64) + ":1,b:1,c:1", want: strings.Repeat("a", 64) + " b"},
		"tooLong":      {header: strings.Repeat("a", 65) + ":1,b:1,c:1", want: "sha256-635361c48bb9eab14198e76ea8ab7f1a b"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, strings.Join(sharedParts(c.header), " "), c.want)
		})
	}
}

func partIDs(n int) []string {
	ids := make([]string, 0, n)
	for i := range n {
		ids = append(ids, fmt.Sprintf("p%d", i))
	}
	return ids
}

// Guards against a deadly part that is never suspect because it stands in a second line of the header.
func TestPromptHeader(t *testing.T) {
	h := tghttp.Header{{Name: "Prompt", Value: "a:1,b:2"}, {Name: "Other", Value: "c:1"}, {Name: "prompt", Value: "d:1"}}
	assert.Equal(t, promptHeader(h, "Prompt"), "a:1,b:2,d:1")
	assert.Equal(t, promptHeader(h, "Other"), "c:1")
	assert.Equal(t, promptHeader(h, "None"), "")
}

func manyParts(n int) string { return strings.Join(partIDs(n), ":1,") + ":1" }
