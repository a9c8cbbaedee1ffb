package tgentry

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

// Guards against a companion of another version that passes on an upstream's answer with a status that HTTP does not have:
// callers got it as the answer.
func TestAcceptHeadRefusesInvalidStatus(t *testing.T) {
	for status, want := range map[int]bool{
		-1: false, 0: false, 1: false, 99: false, 100: false, 199: false, 200: true, 404: true, 599: true, 600: false, 999: false,
	} {
		l := &call{attempt: &attempt{}, execute: &tgframe.Execute{}}
		failure := l.acceptHead(&tgframe.Head{Status: status})
		assert.Equal(t, failure == nil, want, "status %d", status)
		assert.Equal(t, l.head != nil, want, "status %d", status)
		if failure != nil {
			assert.Equal(t, failure.Outcome, tgcall.Unknown)
		}
	}
}
