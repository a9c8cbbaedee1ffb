package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagergrade/io/tghttp"
)

// engine is a model engine that is in no group. A request with the deadly part ends it once it has begun to write the
// answer: after deadlyEvents events.
type engine struct {
	deadlyEvents  int
	events        int // of a stream
	eventInterval time.Duration
	id            string
	onCrash       func()
	onRun         func(id string) // called when the engine begins to work on a request; may be nil

	mu       sync.Mutex // guards the fields below
	conns    map[net.Conn]bool
	down     bool
	listener net.Listener
}

// serve serves a listener until a crash ends it.
func (e *engine) serve(l net.Listener) {
	e.mu.Lock()
	e.conns, e.down, e.listener = map[net.Conn]bool{}, false, l
	e.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.down {
			_ = conn.Close()
		} else {
			e.conns[conn] = true
			go e.serveConn(conn)
		}
		e.mu.Unlock()
	}
}

// crash ends the listener and all connections, as the end of the process does, and starts the engine again at the same
// address after restartTime.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	addr := e.listener.Addr().String()
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
	time.AfterFunc(restartTime, func() {
		if l, err := net.Listen("tcp", addr); err == nil { //nolint:noctx // ends with the process
			e.serve(l)
		}
	})
}

func (e *engine) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, conn)
	}()
	br := bufio.NewReader(conn)
	for {
		r, err := tghttp.ReadRequest(br, maxHead)
		if err != nil {
			return
		}
		if _, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(maxBody); err != nil {
			return
		}
		if !e.answer(conn, r) {
			return
		}
	}
}

// answer answers a request with a stream and reports whether the connection can serve another one.
func (e *engine) answer(conn net.Conn, r *tghttp.Request) bool {
	id := r.Header.Get("Tanagergrade-Attempt-Id")
	if target := r.Header.Get("Tanagergrade-Target-Instance"); target != e.id {
		return writeAll(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nTanagergrade-Attempt-Id: %s\r\n"+
			"Content-Length: 0\r\n\r\n", id))
	}
	if e.onRun != nil {
		e.onRun(id)
	}
	deadly := strings.Contains(r.Header.Get("Tanagergrade-Prompt-Prefix"), deadlyPart+":")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: %s.%s\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	if !writeAll(conn, head) {
		return false
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= e.events; i++ {
		time.Sleep(e.eventInterval)
		if deadly && i == first+e.deadlyEvents {
			e.onCrash()
			e.crash()
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		if !writeAll(conn, string(tghttp.AppendChunk(nil, []byte(event)))) {
			return false
		}
	}
	return writeAll(conn, tghttp.LastChunk)
}

func writeAll(conn net.Conn, s string) bool {
	_, err := conn.Write([]byte(s))
	return err == nil
}
