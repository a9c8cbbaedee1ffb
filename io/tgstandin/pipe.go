package tgstandin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// PipeEngine is a stand-in of an upstream over in-memory connections, with injected faults. It needs no network, so that
// its delays follow the fake clock of testing/synctest.
type PipeEngine struct {
	Aborted         atomic.Int64  // answers whose connection the client closed before the end
	DisconnectAfter int           // tokens of an answer after which the engine closes the connection; 0 for no limit
	Executions      atomic.Int64  // requests received completely
	Interval        time.Duration // between tokens
	NonStreaming    bool          // answers with a Content-Length body of one byte per token instead of an event stream
	Status          int           // HTTP status of the answers; 0 for 200
	Tokens          int           // in each answer
}

// Dial returns a new connection to the engine, which serves one request.
func (e *PipeEngine) Dial(context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	go e.serve(server)
	return client, nil
}

func (e *PipeEngine) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // in memory
	r := bufio.NewReader(c)
	var req fasthttp.Request
	if req.Read(r) != nil {
		return
	}
	e.Executions.Add(1)
	from, _ := strconv.Atoi(string(req.Header.Peek("X-Resume-From")))
	if err := e.writeAnswer(c, from); err != nil {
		e.Aborted.Add(1)
	}
}

func (e *PipeEngine) writeAnswer(w io.Writer, from int) error {
	contentType, length := "text/event-stream", "Transfer-Encoding: chunked"
	if e.NonStreaming {
		contentType, length = "application/json", fmt.Sprintf("Content-Length: %d", e.Tokens)
	}
	status := max(e.Status, fasthttp.StatusOK)
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nContent-Type: %s\r\n%s\r\nConnection: close\r\n\r\n", status, contentType, length)
	for i := from; i < e.Tokens && err == nil; i++ {
		time.Sleep(e.Interval)
		if e.DisconnectAfter > 0 && i-from >= e.DisconnectAfter {
			return nil
		}
		err = e.writeToken(w, PipeEvent(i))
	}
	if err == nil && !e.NonStreaming {
		err = e.writeToken(w, "data: [DONE]\n\n")
	}
	if err == nil && !e.NonStreaming {
		_, err = io.WriteString(w, "0\r\n\r\n")
	}
	return err
}

// PipeEvent returns the server-sent event of the token with number i.
func PipeEvent(i int) string { return fmt.Sprintf("data: %d\n\n", i) }

func (e *PipeEngine) writeToken(w io.Writer, event string) error {
	if e.NonStreaming {
		_, err := io.WriteString(w, "1")
		return err
	}
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
	return err
}
