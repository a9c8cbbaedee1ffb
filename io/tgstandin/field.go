package tgstandin

import (
	"fmt"
	"net/netip"
	"slices"
)

// InvalidFieldLines are header lines whose field names hold a blank or a control byte, are empty or missing, as a server in
// trouble may send them.
var InvalidFieldLines = []string{
	"Content-Length : 1", "Content Length: 1", "Transfer-Encoding : chunked", "X : 1", "X Y: 1", " X: 1", "\tX: 1", "X\t: 1",
	"X\x00: 1", "\x01X: 1", "X\x0b: 1", "X\x1f: 1", "X\x7f: 1", "X\r: 1", ": 1", "X",
}

// RepliesWithFieldLine returns replies with status 200 and body that hold a header line, which need not be valid, in each
// place where lines may stand. The end of the connection ends some of them.
func RepliesWithFieldLine(line, body string) []string {
	const (
		chunked = "Transfer-Encoding: chunked\r\n"
		status  = "HTTP/1.1 200 OK\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	line += "\r\n"
	chunks := "0\r\n"
	if body != "" {
		chunks = fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	}
	return []string{
		status + line + length + "\r\n" + body,
		status + length + line + "\r\n" + body,
		status + "A: b\r\n" + line + "C: d\r\n\r\n" + body,
		status + chunked + line + "\r\n" + chunks + "\r\n",
		status + chunked + "\r\n" + chunks + line + "\r\n",
		status + chunked + "\r\n" + chunks + "A: b\r\n" + line + "\r\n",
		"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + status + length + "\r\n" + body,
	}
}

// RepliesWithInvalidField returns such replies for all of InvalidFieldLines.
func RepliesWithInvalidField(body string) []string {
	var replies []string
	for _, line := range InvalidFieldLines {
		replies = slices.Concat(replies, RepliesWithFieldLine(line, body))
	}
	return replies
}

// AcceptedReplies calls a server that answers with each of the replies in turn, and returns those for which call returned no
// error.
func AcceptedReplies(replies []string, call func(server netip.AddrPort) error) (accepted []string, err error) {
	for _, reply := range replies {
		s, err := NewFixedReplyServer(reply, false)
		if err != nil {
			return nil, err
		}
		if call(s.Address()) == nil {
			accepted = append(accepted, reply)
		}
		if err := s.Close(); err != nil {
			return nil, err
		}
	}
	return accepted, nil
}
