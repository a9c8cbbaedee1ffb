package tghttp

import "strconv"

// AppendField appends a header line.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendRequestLine appends the first line of a request.
func AppendRequestLine(b []byte, method, target string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendStatusLine appends the first line of a response.
func AppendStatusLine(b []byte, status int, reason string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, "\r\n"...)
}

// AppendContentLength appends the Content-Length header of a body of n bytes and the empty line that ends the head.
func AppendContentLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n\r\n"...)
}

// AppendChunk appends data as one chunk; data must not be empty, because an empty chunk ends the body.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body without a trailer.
const LastChunk = "0\r\n\r\n"
