package tgproxy

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"tanagergrade/io/tghttp"
)

const (
	maxPromptPartBytes = 64 // a longer ID is replaced by its digest
	partDigestBytes    = 16
)

// promptHeader returns the value of the prompt header, of all its lines if there are several.
func promptHeader(h tghttp.Header, name string) string {
	if h.Count(name) < 2 {
		return h.Get(name)
	}
	var values []string
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			values = append(values, f.Value)
		}
	}
	return strings.Join(values, ",")
}

// sharedParts returns the IDs of the parts in a prompt header, each once and without leading zeros. It leaves out the last
// part, which belongs to the request or its session alone. The size of a request's head bounds their number.
func sharedParts(header string) []string {
	list := strings.Split(header, ",")
	var parts []string
	seen := map[string]struct{}{}
	for _, item := range list[:len(list)-1] {
		id := partID(item)
		if _, ok := seen[id]; id == "" || ok {
			continue
		}
		seen[id] = struct{}{}
		parts = append(parts, id)
	}
	return parts
}

// partID returns the ID of an item of a prompt header, or "" if it has none.
func partID(item string) string {
	id, _, _ := strings.Cut(item, ":")
	id = strings.ToLower(strings.TrimSpace(id))
	if trimmed := strings.TrimLeft(id, "0"); trimmed != "" || id == "" {
		id = trimmed
	} else {
		id = "0"
	}
	if len(id) <= maxPromptPartBytes {
		return strings.Clone(id) // the table keeps it longer than the header
	}
	digest := sha256.Sum256([]byte(id))
	return "sha256-" + hex.EncodeToString(digest[:partDigestBytes])
}
