package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"tanagergrade/io/tghttp"
)

// arrival is a request that an engine has read and did not turn away with 421.
type arrival struct {
	at time.Time
	id string
}

// engine is a sound engine of a plain service: it answers each request with its body after a time.
type engine struct {
	id      string
	prints  bool // to the output what it runs
	service string

	mu       sync.Mutex // guards the fields below
	answer   func(e *engine, conn net.Conn, r *tghttp.Request, id string) bool
	arrivals []arrival
	body     []byte
	born     int64 // Unix milliseconds
	conns    map[net.Conn]bool
	listener net.Listener
	seq      int64
	state    string
	work     time.Duration
}

// newEngine starts an engine and registers it as ready.
func (f *fleet) newEngine(id, service string, born time.Time) (*engine, error) {
	l, err := f.listen()
	if err != nil {
		return nil, err
	}
	e := &engine{
		body: []byte("answer of " + id), born: born.UnixMilli(), conns: map[net.Conn]bool{}, id: id, listener: l, service: service,
		state: "ready",
	}
	f.engines = append(f.engines, e)
	go e.accept(l)
	e.register(f)
	go e.beat(f)
	return e, nil
}

// beat writes the registration again and again until the case ends.
func (e *engine) beat(f *fleet) {
	for f.ctx.Err() == nil {
		time.Sleep(beat)
		e.register(f)
	}
}

// register writes the registration, unless the engine is down.
func (e *engine) register(f *fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.seq++
	f.put("keyed.servers", e.id, map[string]any{
		"address": e.listener.Addr().String(), "born": e.born, "coldRemainingMs": 0, "seq": e.seq, "service": e.service,
		"slots": 8, "state": e.state, "version": "1", "zone": zone,
	})
}

// setState changes the state that the engine reports and reports it; it returns when the store has accepted that.
func (e *engine) setState(f *fleet, state string) time.Time {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.register(f)
	return time.Now()
}

// crash ends the engine's connections and its listener.
func (e *engine) crash() (addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addr = e.listener.Addr().String()
	_ = e.listener.Close()
	e.listener = nil
	for c := range e.conns {
		_ = c.Close()
	}
	return addr
}

// restart starts the engine again under its ID and at its address.
func (e *engine) restart(f *fleet, addr string, born time.Time) error {
	var lc net.ListenConfig
	l, err := lc.Listen(f.ctx, "tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.born, e.seq, e.state = l, born.UnixMilli(), 0, "ready"
	e.mu.Unlock()
	go e.accept(l)
	e.register(f)
	return nil
}

// setAnswer sets how the engine answers.
func (e *engine) setAnswer(answer func(e *engine, conn net.Conn, r *tghttp.Request, id string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

// setBody sets the body of the answers.
func (e *engine) setBody(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.body = body
}

// setWork sets how long the engine works on a request.
func (e *engine) setWork(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = d
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		_ = e.listener.Close()
	}
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := tghttp.ReadRequest(br, 64<<10)
		if err != nil {
			return
		}
		if _, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(8 << 20); err != nil {
			return
		}
		id := r.Header.Get("Tanagergrade-Attempt-Id")
		if target := r.Header.Get("Tanagergrade-Target-Instance"); target != "" && target != e.id {
			head := fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nTanagergrade-Attempt-Id: %s\r\nAt-Server: %s\r\nContent-Length: 0\r\n\r\n",
				id, e.id)
			if _, err := c.Write([]byte(head)); err != nil {
				return
			}
			continue
		}
		if !e.run(c, r, id) {
			return
		}
	}
}

// run runs a request and answers it; it reports whether the connection can carry another one.
func (e *engine) run(c net.Conn, r *tghttp.Request, id string) bool {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), id: id})
	body, work, answer := e.body, e.work, e.answer
	e.mu.Unlock()
	time.Sleep(work)
	if answer != nil {
		return answer(e, c, r, id)
	}
	_, err := c.Write(append([]byte(e.head(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...))
	return err == nil
}

// head returns the head of a success up to the headers that frame the body.
func (e *engine) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: %s.%s\r\n", id, e.id, id)
}

// runs returns the requests that the engine has run.
func (e *engine) runs() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
