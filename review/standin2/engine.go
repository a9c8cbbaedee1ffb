package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerAttempt   = "Tanagergrade-Attempt-Id"
	headerSignature = "Tanagergrade-Response-Signature"
	headerTarget    = "Tanagergrade-Target-Instance"
	headerUsage     = "Tanagergrade-Token-Usage"
)

// engine is a sound engine: it runs what names it as the target and answers 421 to anything else.
type engine struct {
	addr    string
	born    int64
	d       *deployment
	gap     time.Duration // between two events of a stream
	id      string
	renewed chan struct{} // receives a value after a renewal if somebody waits
	service string
	work    time.Duration
	zone    string

	mu     sync.Mutex // guards the fields below
	events map[string]int
	runs   map[string]int // by attempt
}

// startEngine starts an engine that registers itself and renews that each heartbeat.
func (d *deployment) startEngine(host int, id, service string) (*engine, error) {
	e := &engine{
		born: time.Now().UnixMilli(), d: d, events: map[string]int{}, gap: 80 * time.Millisecond, id: id, renewed: make(chan struct{}), runs: map[string]int{},
		service: service, work: 15 * time.Millisecond, zone: "bkk-a",
	}
	server := &http.Server{Handler: e, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	addr, err := d.listen(d.ip(host), func(l net.Listener) { _ = server.Serve(l) })
	if err != nil {
		return nil, err
	}
	e.addr = addr
	e.register()
	go e.renew()
	return e, nil
}

// entry returns the engine's record in the store.
func (e *engine) entry() map[string]any {
	return map[string]any{
		"address": e.addr, "born": e.born, "coldRemainingMs": 0, "seq": time.Now().UnixMilli(), "service": e.service, "slots": 12,
		"state": "ready", "version": "v1", "zone": e.zone,
	}
}

func (e *engine) register() { e.d.put("keyed.servers", e.id, e.entry()) }

func (e *engine) renew() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-e.d.ctx.Done():
			return
		case <-t.C:
			e.register()
			select {
			case e.renewed <- struct{}{}:
			default:
			}
		}
	}
}

// awaitHeartbeat waits until the engine has renewed its registration.
func (e *engine) awaitHeartbeat() { <-e.renewed }

// plan sets the number of events of the streams to come, by attempt.
func (e *engine) plan(attempt string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events[attempt] = events
}

// ran returns how often the engine ran an attempt.
func (e *engine) ran(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// total returns the number of runs.
func (e *engine) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if r.Header.Get(headerTarget) != e.id {
		e.d.rec.linef("%s answers 421 to %s for %s", e.id, id, r.Header.Get(headerTarget))
		w.Header().Set("At-Server", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	events := e.events[id]
	e.mu.Unlock()
	e.d.rec.linef("%s (%s) runs %s %s of tenant %q", e.id, e.service, id, r.URL.Path, r.Header.Get("Tanagergrade-Tenant"))
	w.Header().Set(headerSignature, e.id+"."+id)
	time.Sleep(e.work)
	if r.Header.Get(headerUsage) == "" {
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprintf(w, "answer of %s to %s", e.service, id)
		return
	}
	e.stream(w, r, id, events)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, events int) {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			e.d.rec.linef("%s stops %s after event %d: its connection has closed", e.id, id, i-1)
			return
		case <-time.After(e.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 65))
		if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return
		}
	}
	e.d.rec.linef("%s has ended the stream %s after event %d", e.id, id, events)
}
