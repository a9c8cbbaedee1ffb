package tgcontrol

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/io/tghttp"
)

// Guards against an answer to a control call that never ends and fills the memory of the daemon: the engine goes on until the
// client closes.
func TestEndlessAnswers(t *testing.T) {
	t.Parallel()
	const (
		head     = "HTTP/1.1 200 OK\r\n"
		maxTaken = maxAnswerBytes + 64<<10 // bytes, with the head and what is left in the buffer
	)
	for name, c := range map[string]struct{ start, repeated string }{
		"chunk":         {start: head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", repeated: "x"},
		"chunks":        {start: head + "Transfer-Encoding: chunked\r\n\r\n", repeated: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"garbage":       {repeated: "x"},
		"head line":     {start: head + "A: ", repeated: "x"},
		"head lines":    {start: head, repeated: "A: x\r\n"},
		"informational": {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"length":        {start: head + "Content-Length: 9223372036854775807\r\n\r\n", repeated: "x"},
		"no length":     {start: head + "\r\n", repeated: "x"},
		"trailer":       {start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			taken := make(chan int, 1)
			client := New(func(context.Context, netip.AddrPort) (net.Conn, error) {
				near, far := net.Pipe()
				go func() { taken <- writeEndlessly(far, c.start, c.repeated) }()
				return near, nil
			})
			_, _, err := client.Do(netip.AddrPort{}, Call{Target: "/v1/report", Timeout: time.Minute})
			assert.Assert(t, err != nil)
			n := <-taken // the client has closed the connection
			assert.Assert(t, n <= maxTaken, "%d bytes were taken", n)
		})
	}
}

// writeEndlessly answers a call without end and returns how many bytes were taken.
func writeEndlessly(conn net.Conn, start, repeated string) (taken int) {
	if _, err := tghttp.ReadRequest(bufio.NewReader(conn), 4<<10); err != nil {
		return 0
	}
	block := []byte(strings.Repeat(repeated, 1+1024/len(repeated)))
	n, err := conn.Write([]byte(start))
	for taken = n; err == nil; taken += n {
		n, err = conn.Write(block)
	}
	return taken
}
