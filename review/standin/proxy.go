package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"tanagergrade/io/tghttp"
)

const (
	maxHead = 64 << 10
	maxBody = 8 << 20
)

// engineProxy stands before an engine. It passes on all connections; calls to the engine's control interface pass one by
// one, so that their answers can be disturbed as a faulty engine would do.
type engineProxy struct {
	answered func(call controlCall, status int) // called for each call that the engine has answered
	disturb  func(call controlCall) disturbance // decides what becomes of a call
	engine   string                             // address
	rank     int
}

// controlCall is a call to the control interface.
type controlCall struct {
	body     []byte
	hasLast  bool // an answer was sent on this connection before
	method   string
	order    orderBody // of a POST to /v1/order
	rank     int
	received time.Time
	target   string
}

// orderBody is the part of an order that the record shows.
type orderBody struct {
	FencingToken int64  `json:"fencingToken"`
	Operation    string `json:"operation"`
	Step         int64  `json:"step"`
	Version      int64  `json:"version"`
}

// disturbance is what the faulty engine does with a call.
type disturbance string

const (
	undisturbed  disturbance = ""
	answerTwice  disturbance = "twice" // a second copy of the answer follows it, and the engine closes the connection
	carryOutLate disturbance = "late"  // a second copy of the answer before comes late; the call is carried out late, unanswered
)

// lateOrder is the time after which an unanswered order is carried out; the pages say 2 to 12 s.
const lateOrder = 2500 * time.Millisecond

// extraDelay is the time from an answer to its second copy.
const extraDelay = 2 * time.Millisecond

func (p *engineProxy) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

func (p *engineProxy) serveConn(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.engine) //nolint:noctx // ends with the client's connection
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	br := bufio.NewReader(client)
	first, err := br.Peek(len("POST /v1/"))
	if err != nil {
		return
	}
	if strings.Contains(string(first), " /v1/") {
		p.serveControl(client, br, server)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(server, br)
		closeBoth(client, server)
	})
	wg.Go(func() {
		_, _ = io.Copy(client, server)
		closeBoth(client, server)
	})
	wg.Wait()
}

// closeBoth resets both connections, so that neither side takes a part for the whole.
func closeBoth(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// serveControl passes on calls and answers until the connection ends.
func (p *engineProxy) serveControl(client net.Conn, br *bufio.Reader, server net.Conn) {
	serverReader := bufio.NewReader(server)
	var last []byte // answer sent last on this connection
	for {
		call, raw, err := p.readCall(br)
		if err != nil {
			return
		}
		call.hasLast = last != nil
		d := p.disturb(call)
		if d == carryOutLate {
			time.AfterFunc(lateOrder, func() { p.carryOut(call, raw) })
			if _, err := client.Write(last); err != nil {
				return
			}
			continue
		}
		if _, err := server.Write(raw); err != nil {
			return
		}
		status, answer, err := readAnswer(serverReader, call.method)
		if err != nil {
			return
		}
		p.answered(call, status)
		if _, err := client.Write(answer); err != nil {
			return
		}
		if d == answerTwice {
			time.Sleep(extraDelay)
			_, _ = client.Write(answer) // the client may be gone
			return
		}
		last = answer
	}
}

// readCall reads a call and returns it together with its bytes.
func (p *engineProxy) readCall(br *bufio.Reader) (controlCall, []byte, error) {
	r, err := tghttp.ReadRequest(br, maxHead)
	if err != nil {
		return controlCall{}, nil, err
	}
	body, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(maxBody)
	if err != nil {
		return controlCall{}, nil, err
	}
	call := controlCall{body: body, method: r.Method, rank: p.rank, received: time.Now(), target: r.Target}
	if r.Target == orderTarget {
		_ = json.Unmarshal(body, &call.order) // a malformed order is recorded without its fields
	}
	raw := tghttp.AppendRequestLine(nil, r.Method, r.Target)
	for _, f := range r.Header {
		if !strings.EqualFold(f.Name, "Content-Length") && !strings.EqualFold(f.Name, "Transfer-Encoding") {
			raw = tghttp.AppendField(raw, f.Name, f.Value)
		}
	}
	return call, append(tghttp.AppendContentLength(raw, len(body)), body...), nil
}

// Targets of control calls.
const (
	orderTarget  = "/v1/order"
	reportTarget = "/v1/report"
)

// readAnswer reads an answer and returns its status and its bytes.
func readAnswer(br *bufio.Reader, method string) (int, []byte, error) {
	r, err := tghttp.ReadResponse(br, method)
	if err != nil {
		return 0, nil, err
	}
	body, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(maxBody)
	if err != nil {
		return 0, nil, err
	}
	raw := tghttp.AppendStatusLine(nil, r.Status, r.Reason)
	for _, f := range r.Header {
		if !strings.EqualFold(f.Name, "Content-Length") && !strings.EqualFold(f.Name, "Transfer-Encoding") {
			raw = tghttp.AppendField(raw, f.Name, f.Value)
		}
	}
	return r.Status, append(tghttp.AppendContentLength(raw, len(body)), body...), nil
}

// carryOut sends a call that was not answered to the engine.
func (p *engineProxy) carryOut(call controlCall, raw []byte) {
	conn, err := net.Dial("tcp", p.engine) //nolint:noctx // has a deadline
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second)) // fails only with the connection
	if _, err := conn.Write(raw); err != nil {
		return
	}
	if status, _, err := readAnswer(bufio.NewReader(conn), call.method); err == nil {
		p.answered(call, status)
	}
}

// String describes an order for the record.
func (c controlCall) String() string {
	o := c.order
	return fmt.Sprintf("order %s to rank %d: version %d (change %d of token %d), step %d, fencing token %d",
		o.Operation, c.rank, o.Version, o.Version&(1<<20-1), o.Version>>20, o.Step, o.FencingToken)
}
