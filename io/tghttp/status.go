package tghttp

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	minStatus               = 100 // RFC 9110, section 15: codes from 100 to 599 are valid
	maxStatus               = 599
	statusCodeDigits        = 3
	statusSwitchingProtocol = 101
)

// parseStatusLine returns the parts of the first line of a response. The status is one that HTTP has, and not 101.
func parseStatusLine(line string) (version string, status int, reason string, err error) {
	version, rest, ok := strings.Cut(line, " ")
	if !ok || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", 0, "", syntaxError(statusBadRequest, "malformed status line")
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	switch {
	case err != nil, len(code) != statusCodeDigits, status < minStatus, status > maxStatus:
		return "", 0, "", syntaxError(statusBadRequest, "status code %q is not one of HTTP", code)
	case status == statusSwitchingProtocol: // nobody asks for it, so what follows is in no known protocol
		return "", 0, "", syntaxError(statusBadRequest, "answer switches protocols")
	}
	return version, status, reason, nil
}

// scanState is the part of an answer that a StatusScanner is in.
type scanState string

const (
	scanStatusLine    scanState = ""                // the next line is a status line
	scanInformational scanState = "informational"   // the head of a response that another one follows
	scanDone          scanState = "finalStatusRead" // nothing is left to check
)

// maxScannedBytes is how much of a line a StatusScanner keeps: more than a version, a status and the spaces around it.
const maxScannedBytes = 32

// StatusScanner checks the status lines of the answers to a request. It stands before parsers that accept statuses which
// HTTP does not have: fasthttp takes 000 for 200. The zero value is for a first request.
type StatusScanner struct {
	line  []byte // of the present line, maxScannedBytes at most
	state scanState
}

// Reset prepares the scanner for the answer to the next request.
func (s *StatusScanner) Reset() { s.line, s.state = s.line[:0], scanStatusLine }

// Scan checks the next bytes of the answer. It returns a SyntaxError at the bytes that end an invalid status line.
func (s *StatusScanner) Scan(b []byte) error {
	for s.state != scanDone {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		s.line = append(s.line, line[:min(len(line), maxScannedBytes-len(s.line))]...)
		if !ended {
			return nil
		}
		b = rest
		if err := s.endLine(strings.TrimSuffix(string(s.line), "\r")); err != nil {
			return err
		}
		s.line = s.line[:0]
	}
	return nil
}

// endLine checks a line, which may be cut after maxScannedBytes.
func (s *StatusScanner) endLine(line string) error {
	if line == "" { // before a status line, fasthttp skips it
		s.state = scanStatusLine
		return nil
	}
	if s.state == scanInformational {
		return nil
	}
	_, status, _, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	s.state = scanDone
	if status <= maxStatusInformational {
		s.state = scanInformational
	}
	return nil
}
