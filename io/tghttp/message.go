// Package tghttp is an HTTP/1.1 codec that keeps messages byte for byte: header names, paths and bodies pass unchanged,
// nothing is sent twice, and a message whose end is ambiguous is an error.
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

// Header holds the header lines of a message in their original order.
type Header []Field

// Get returns the value of the first line with the name, compared without regard to case, or "" if there is none.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns how many lines have the name, compared without regard to case.
func (h Header) Count(name string) int {
	n := 0
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Framing is the way in which the end of a body is found.
type Framing string

// The framings of bodies.
const (
	FramingChunked Framing = "chunked"
	FramingClose   Framing = "close" // the body ends with the connection
	FramingLength  Framing = "length"
	FramingNone    Framing = "none"
)

// SyntaxError reports a message that violates the protocol or a size limit; Status is the status to answer a caller with.
type SyntaxError struct {
	Message string
	Status  int
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Message }

// Statuses that a SyntaxError may carry.
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
	KeepAlive bool  // whether the caller may send another request on the connection
	Length    int64 // of the body in bytes; -1 if it is chunked
	Method    string
	Minor     int    // minor version of HTTP/1
	Target    string // path and query as sent
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
	KeepAlive bool  // whether the connection can serve another request afterwards
	Length    int64 // of the body in bytes if Framing is length
	Reason    string
	Status    int
}

// hopHeaders are the hop-by-hop headers, in lower case: they concern one connection and are not forwarded.
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
