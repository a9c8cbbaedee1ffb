package tghttp

import (
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
