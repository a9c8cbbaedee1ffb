package tghttp

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// readLine reads one line and returns it without its CRLF; remaining is the number of bytes that the head may still
// have, and is reduced by those of the line.
func readLine(br *bufio.Reader, remaining *int) (string, error) {
	var long []byte
	for {
		part, err := br.ReadSlice('\n')
		*remaining -= len(part)
		if *remaining < 0 {
			return "", syntaxError(statusHeaderTooLarge, "message head exceeds the size limit")
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
		if err == nil && long == nil {
			return trimLine(part)
		}
		long = append(long, part...)
		if err == nil {
			return trimLine(long)
		}
	}
}

func trimLine(line []byte) (string, error) {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return "", syntaxError(statusBadRequest, "line does not end with CRLF")
	}
	if bytes.ContainsAny(line, "\r\x00") {
		return "", syntaxError(statusBadRequest, "line contains a CR or NUL character")
	}
	return string(line), nil
}

// maxHeaderFields bounds the lines of a header. A line of 4 bytes takes more than ten times as much memory.
const maxHeaderFields = 256

func readHeader(br *bufio.Reader, remaining *int) (Header, error) {
	var h Header
	for {
		if len(h) > maxHeaderFields {
			return nil, syntaxError(statusHeaderTooLarge, "message has more than %d header lines", maxHeaderFields)
		}
		line, err := readLine(br, remaining)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, errFieldName()
		}
		h = append(h, Field{Name: name, Value: strings.Trim(value, " \t")})
	}
}

// isToken reports whether s is a token in the sense of RFC 9110, as header names and methods must be.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	}
}

func errFieldName() error {
	return syntaxError(statusBadRequest, "header line has no valid field name")
}

// ReadRequest reads a request head of at most maxBytes and determines the framing of its body.
func ReadRequest(br *bufio.Reader, maxBytes int) (*Request, error) {
	remaining := maxBytes
	line, err := readLine(br, &remaining)
	if err != nil {
		return nil, err
	}
	r := &Request{}
	if err := r.parseLine(line); err != nil {
		return nil, err
	}
	if r.Header, err = readHeader(br, &remaining); err != nil {
		return nil, err
	}
	if r.Framing, r.Length, err = bodyFraming(r.Header); err != nil {
		return nil, err
	}
	if r.Framing == FramingChunked && r.Minor == 0 {
		return nil, syntaxError(statusBadRequest, "chunked body in HTTP/1.0")
	}
	if n := r.Header.Count("Host"); n > 1 || n == 0 && r.Minor > 0 {
		return nil, syntaxError(statusBadRequest, "request has %d Host headers", n)
	}
	r.Host = r.Header.Get("Host")
	r.KeepAlive = isKeepAlive(r.Header, r.Minor)
	return r, nil
}

func (r *Request) parseLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) {
		return syntaxError(statusBadRequest, "malformed request line")
	}
	if !strings.HasPrefix(target, "/") {
		return syntaxError(statusBadRequest, "request target is not an absolute path")
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f || target[i] == '#' {
			return syntaxError(statusBadRequest, "request target contains a control character, a space or a fragment")
		}
	}
	switch version {
	case "HTTP/1.0":
	case "HTTP/1.1":
		r.Minor = 1
	default:
		return syntaxError(statusBadRequest, "HTTP version is neither 1.0 nor 1.1")
	}
	r.Method, r.Target = method, target
	return nil
}

func isKeepAlive(h Header, minor int) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, "Connection") {
			continue
		}
		if hasToken(h[i].Value, "close") {
			return false
		}
		if minor == 0 && hasToken(h[i].Value, "keep-alive") {
			return true
		}
	}
	return minor > 0
}

// bodyFraming returns the framing and the length of a body as the headers declare them. Headers that two readers could
// interpret differently are errors, because that allows request smuggling.
func bodyFraming(h Header) (Framing, int64, error) {
	coding, lengths := "", []string(nil)
	for i := range h {
		switch {
		case strings.EqualFold(h[i].Name, "Transfer-Encoding"):
			if coding != "" {
				return "", 0, syntaxError(statusBadRequest, "more than one Transfer-Encoding header")
			}
			coding = h[i].Value
			if coding == "" {
				return "", 0, syntaxError(statusBadRequest, "empty Transfer-Encoding")
			}
		case strings.EqualFold(h[i].Name, "Content-Length"):
			lengths = append(lengths, h[i].Value)
		}
	}
	switch {
	case coding != "" && len(lengths) > 0:
		return "", 0, syntaxError(statusBadRequest, "both Transfer-Encoding and Content-Length")
	case coding != "" && !isChunked(coding):
		return "", 0, syntaxError(statusNotImplemented, "transfer coding is not supported")
	case coding != "":
		return FramingChunked, -1, nil
	case len(lengths) == 0:
		return FramingNone, 0, nil
	case len(lengths) > 1:
		return "", 0, syntaxError(statusBadRequest, "more than one Content-Length header")
	}
	n, err := parseLength(lengths[0])
	if err != nil {
		return "", 0, err
	}
	if n == 0 {
		return FramingNone, 0, nil
	}
	return FramingLength, n, nil
}

func isChunked(coding string) bool { return strings.EqualFold(coding, "chunked") }

func parseLength(s string) (int64, error) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, syntaxError(statusBadRequest, "Content-Length is not a number")
		}
	}
	n, err := strconv.ParseInt(s, 10, 63)
	if err != nil {
		return 0, syntaxError(statusBadRequest, "Content-Length is not a number")
	}
	return n, nil
}

const (
	maxResponseHeadBytes   = 32 << 10
	maxInformational       = 5 // 1xx responses before the final one
	maxStatusInformational = 199
	statusNoContent        = 204
	statusNotModified      = 304
)

// ReadResponse reads the head of the final response to a request with the given method; it skips informational ones.
func ReadResponse(br *bufio.Reader, method string) (*Response, error) {
	for range maxInformational {
		r, err := readResponse(br, method)
		if err != nil || r.Status > maxStatusInformational {
			return r, err
		}
	}
	return nil, syntaxError(statusBadRequest, "too many informational responses")
}

func readResponse(br *bufio.Reader, method string) (*Response, error) {
	remaining := maxResponseHeadBytes
	line, err := readLine(br, &remaining)
	if err != nil {
		return nil, err
	}
	version, status, reason, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	r := &Response{Reason: reason, Status: status}
	if r.Header, err = readHeader(br, &remaining); err != nil {
		return nil, err
	}
	minor := 0
	if version == "HTTP/1.1" {
		minor = 1
	}
	r.KeepAlive = isKeepAlive(r.Header, minor)
	return r, r.setFraming(method)
}

// setFraming sets how the body of a response ends; without a declared length it ends with the connection.
func (r *Response) setFraming(method string) error {
	if method == "HEAD" || r.Status == statusNoContent || r.Status == statusNotModified || r.Status <= maxStatusInformational {
		r.Framing = FramingNone
		return nil
	}
	framing, n, err := bodyFraming(r.Header)
	if err != nil {
		return err
	}
	if framing == FramingNone && r.Header.Count("Content-Length") == 0 {
		framing, r.KeepAlive = FramingClose, false
	}
	r.Framing, r.Length = framing, n
	return nil
}
