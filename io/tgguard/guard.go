// Package tgguard keeps an unexpected fault in the handling of one input from ending the process.
package tgguard

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// Handle calls f, which handles one message, and returns a panic in it as an error with its stack.
func Handle(f func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	f()
	return nil
}
