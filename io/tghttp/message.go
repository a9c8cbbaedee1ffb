// Package tghttp reads and writes HTTP/1.1 messages byte for byte: names, paths and bodies pass unchanged, nothing is
// sent twice, and a message whose end is in doubt is an error.
package tghttp

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Field is one header line.
type Field struct {
	Name  string
	Value string
}

// Header is the header lines of a message in their order.
type Header []Field

// Get returns the first value of a name, in any case.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns how many lines have a name.
func (h Header) Count(name string) int {
	n := 0
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Framing says how the end of a body is found.
type Framing string

// Framings.
const (
	FramingChunked Framing = "chunked"
	FramingClose   Framing = "close" // the body ends with the connection
	FramingLength  Framing = "length"
	FramingNone    Framing = "none"
)

// SyntaxError says that a message breaks the protocol; Status is the answer that a caller gets.
type SyntaxError struct {
	Message string
	Status  int
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Message }

// Statuses of syntax errors.
const (
	statusBadRequest     = 400
	statusTooLarge       = 413
	statusHeaderTooLarge = 431
	statusNotImplemented = 501
)

func syntaxError(status int, format string, args ...any) error {
	return &SyntaxError{Message: errors.Newf(format, args...).Error(), Status: status}
}

// Request is a request head.
type Request struct {
	Framing   Framing // chunked, length or none
	Header    Header
	Host      string
	KeepAlive bool // whether the caller may send another request on the connection
	Length    int64
	Method    string
	Minor     int // minor version of HTTP/1
	Target    string
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a response head.
type Response struct {
	Framing   Framing
	Header    Header
	KeepAlive bool // whether the connection serves another request afterwards
	Length    int64
	Reason    string
	Status    int
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = map[string]bool{
	"connection": true, "content-length": true, "keep-alive": true, "proxy-authenticate": true,
	"proxy-authorization": true, "proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "expect": true,
}

// IsHopByHop reports whether a header concerns one connection only, by its name or because a Connection header names it.
func (h Header) IsHopByHop(name string) bool {
	lower := strings.ToLower(name)
	if hopHeaders[lower] {
		return true
	}
	for i := range h {
		if strings.EqualFold(h[i].Name, "Connection") && hasToken(h[i].Value, lower) {
			return true
		}
	}
	return false
}

// hasToken reports whether a comma-separated list has a token; token is in lower case.
func hasToken(list, token string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}
