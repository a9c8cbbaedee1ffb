package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagergrade/io/tghttp"
)

const (
	pieceCount    = 40
	pieceInterval = 50 * time.Millisecond
	crashAfter    = 825 * time.Millisecond // from the start of the requests to the crash, between two pieces
	crashRequests = 30
	engineCommand = "engine"
)

// serveUnframed is an engine as a process of its own. Its answers have neither a length nor chunks and end with their
// connections; it prints the IDs of the requests that it runs and of those that it has answered in full.
func serveUnframed(id string) int {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // lives as long as the process
	if err != nil {
		return exitNotRun
	}
	fmt.Fprintln(os.Stdout, "address", l.Addr())
	e := &engine{answer: answerUnframed, conns: map[net.Conn]bool{}, id: id, prints: true}
	e.accept(l)
	return exitHeld
}

// answerUnframed writes pieceCount pieces and ends the connection.
func answerUnframed(e *engine, c net.Conn, r *tghttp.Request, id string) bool {
	if e.prints {
		fmt.Fprintln(os.Stdout, "runs", id)
	}
	kind := "text/plain"
	if strings.HasPrefix(r.Target, "/stream/") {
		kind = "text/event-stream"
	}
	_, err := c.Write([]byte(e.head(id) + "Content-Type: " + kind + "\r\nConnection: close\r\n\r\n"))
	for i := 1; i <= pieceCount && err == nil; i++ {
		time.Sleep(pieceInterval)
		_, err = c.Write([]byte(piece(i)))
	}
	if err == nil && e.prints {
		fmt.Fprintln(os.Stdout, "answered", id)
	}
	return false
}

// piece returns a piece of an answer, which is an event of a stream.
func piece(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i, i, pieceCount) }

// playCrash plays an engine that is killed while it writes answers that end with their connections. The rules are ORDER and
// MIXED.
func playCrash(f *fleet, trouble bool) (broken bool, err error) {
	f.configure([]any{
		route("stream", "streaming", "model", map[string]any{"itlTargetMs": 500, "resumable": true}),
		route("once", "non_idempotent", "model", nil), route("any", "idempotent", "other", nil),
	}, "model", "other")
	if _, err := f.newEngine("i-other", "other", time.Now().Add(-time.Hour)); err != nil {
		return false, err
	}
	for i := range soundOnes {
		e, err := f.newEngine(fmt.Sprintf("i-sound-%d", i), "model", time.Now().Add(-time.Hour))
		if err != nil {
			return false, err
		}
		e.setAnswer(answerUnframed)
	}
	kill, err := f.startEngineProcess("i-crash", "model")
	if err != nil {
		return false, err
	}
	defer kill()
	p, err := f.newEntry(usualMemory)
	if err != nil {
		return false, err
	}
	if err := f.awaitServing(p); err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second)
	answers := make(chan answer, crashRequests)
	for i := range crashRequests {
		go func() { answers <- f.askForPieces(p, i%2 == 0) }()
	}
	if trouble {
		time.Sleep(crashAfter)
		kill()
		f.record.linef("the engine is killed")
	}
	for range crashRequests {
		a := <-answers
		n := bytes.Count(a.body, []byte("\n\n"))
		f.record.linef("%s: status %d, looks complete %t, %d of %d pieces, signature %q, %v", a.id, a.status, a.complete, n, pieceCount,
			a.header.Get("Tanagergrade-Response-Signature"), a.err)
		broken = broken || a.status == statusOK && a.complete && n < pieceCount
	}
	time.Sleep(time.Second)
	f.recordMetric(p, "crashedAttempts")
	return broken, nil
}

// startEngineProcess starts an engine as a process of its own and registers it. The returned function kills the process.
func (f *fleet) startEngineProcess(id, service string) (kill func(), err error) {
	cmd := exec.Command(os.Args[0], engineCommand, id) //nolint:noctx // ended by its id
	cmd.SysProcAttr = endsWithParent()
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	kill = sync.OnceFunc(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		kill()
		return nil, errors.New("the engine does not start")
	}
	address := strings.TrimPrefix(lines.Text(), "address ")
	go func() {
		for lines.Scan() {
			f.record.linef("engine: %s", lines.Text())
		}
	}()
	f.put("keyed.servers", id, map[string]any{
		"address": address, "born": time.Now().UnixMilli(), "coldRemainingMs": 0, "seq": 1, "service": service, "slots": 8,
		"state": "ready", "version": "1", "zone": zone,
	})
	return kill, nil
}

// askForPieces sends a request to the engine, for a stream or for a plain answer.
func (f *fleet) askForPieces(p *process, stream bool) answer {
	q := newRequest("POST", "/once/x", []byte("body"))
	if stream {
		q = newRequest("POST", "/stream/x", []byte("body"))
		q.headers = []string{
			"Tanagergrade-Model: m", "Tanagergrade-Token-Usage: 100,160", "Tanagergrade-Prompt-Prefix: 0a:40," + q.id[1:] + ":60",
		}
	}
	a := f.send(p.callers, q)
	a.id = q.id + " " + q.path
	return a
}

// recordMetric records a counter of an entry.
func (f *fleet) recordMetric(p *process, name string) {
	host, _, err := net.SplitHostPort(p.callers)
	if err != nil {
		return
	}
	conn, err := f.dial(net.JoinHostPort(host, "9464"))
	if err != nil {
		f.record.linef("no metrics: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	a := exchange(conn, bufio.NewReader(conn), newRequest("GET", "/metrics", nil))
	for part := range strings.SplitSeq(string(a.body), ", ") {
		if strings.Contains(part, name) {
			f.record.linef("metric of %s: %s", p.name, part)
		}
	}
}
