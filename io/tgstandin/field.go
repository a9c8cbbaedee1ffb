package tgstandin

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// InvalidFieldLines are header lines whose field names hold a blank or a control byte, are empty or missing, as a server in
// trouble may send them.
var InvalidFieldLines = []string{
	"Content-Length : 1", "Content Length: 1", "Transfer-Encoding : chunked", "X : 1", "X Y: 1", " X: 1", "\tX: 1", "X\t: 1",
	"X\x00: 1", "\x01X: 1", "X\x0b: 1", "X\x1f: 1", "X\x7f: 1", "X\r: 1", ": 1", "X",
}

// RepliesWithFieldLine returns replies with status 200 and body that hold a header line, which need not be valid, in each
// place where lines may stand. The last one has neither a length nor chunks and ends with its connection.
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
		status + chunked + line + "\r\n" + chunks + "\r\n",
		status + chunked + "\r\n" + chunks + line + "\r\n",
		status + chunked + "\r\n" + chunks + "A: b\r\n" + line + "\r\n",
		"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + status + length + "\r\n" + body,
		status + "A: b\r\n" + line + "C: d\r\n\r\n" + body,
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

// CheckInvalidFieldNames returns an error if a client, which call runs, takes a reply with a malformed field name.
func CheckInvalidFieldNames(body string, call func(server netip.AddrPort) error) error {
	for _, reply := range RepliesWithInvalidField(body) {
		if err := callServer(reply, call); err == nil {
			return errors.Newf("the client takes %q", reply)
		}
	}
	return nil
}

// CheckFieldNames is like CheckInvalidFieldNames and also returns an error if the client refuses a reply without such a name.
func CheckFieldNames(body string, call func(server netip.AddrPort) error) error {
	for _, reply := range RepliesWithFieldLine("X: 1", body) {
		if err := callServer(reply, call); err != nil {
			return errors.Wrapf(err, "the client refuses %q", reply)
		}
	}
	return CheckInvalidFieldNames(body, call)
}

// callServer calls a server that answers each request with reply and closes the connection.
func callServer(reply string, call func(server netip.AddrPort) error) error {
	s, err := NewFixedReplyServer(reply, false)
	if err != nil {
		return err
	}
	err = call(s.Address())
	return errors.CombineErrors(err, s.Close())
}
