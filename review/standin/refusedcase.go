package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"tanagergrade/io/tghttp"
)

const (
	ledgers        = 8 // services, with one engine in each zone
	ledgerDown     = time.Second
	entryDown      = 1200 * time.Millisecond
	lapseTime      = 3600 * time.Millisecond // three heartbeats, after which the platform removes an entry
	postsPerLedger = 40
	postInterval   = 10 * time.Millisecond
)

// refusedCase is the state of the case "refused".
type refusedCase struct {
	d       *deployment
	entry   string    // in the zone that loses power
	ledgers []*ledger // in that zone

	mu      sync.Mutex     // guards the fields below
	answers int            // of all engines since the disruption
	copies  int            // answers that were sent twice
	faulty  bool           // an engine sends a second copy of an answer
	runs    map[string]int // by attempt
}

// ledger is an engine of a service of its own.
type ledger struct {
	addr    string
	c       *refusedCase
	service string
	zone    string

	mu    sync.Mutex // guards the fields below
	conns map[net.Conn]bool
	id    string
	l     net.Listener
}

// runRefusedCase plays a loss of power of a zone: its engines start again at their addresses under new ids, and its entry
// starts while the platform still lists the old ones. One engine sends one of its answers twice, late.
func runRefusedCase(d *deployment, trouble bool) (verdict, error) {
	c := &refusedCase{d: d, runs: map[string]int{}}
	for i := range ledgers {
		for z, zone := range zones {
			id := fmt.Sprintf("i-old%d", i)
			if z > 0 {
				id = fmt.Sprintf("i-other%d", i)
			}
			g := &ledger{c: c, conns: map[net.Conn]bool{}, id: id, service: fmt.Sprintf("ledger%d", i), zone: zone}
			addr, err := d.listen(d.ip(3+z, i), g.serve)
			if err != nil {
				return verdictNotRun, err
			}
			g.addr = addr
			g.register(g.id)
			if z == 0 {
				c.ledgers = append(c.ledgers, g)
			}
		}
	}
	c.publish()
	var err error
	if c.entry, err = d.startEntry(0); err != nil {
		return verdictNotRun, err
	}
	if _, err := d.startEntryIn(zones[1], 1); err != nil {
		return verdictNotRun, err
	}
	if !c.waitForService() {
		return verdictNotRun, errors.New("the entry did not serve")
	}
	if trouble {
		if err := c.losePower(); err != nil {
			return verdictNotRun, err
		}
	}
	if !c.waitForReady() {
		return verdictNotRun, errors.New("the entry did not become ready again")
	}
	v := c.judge(c.post("p", postsPerLedger))
	c.mu.Lock()
	defer c.mu.Unlock()
	if trouble && c.copies == 0 {
		return verdictNotRun, errors.New("no request went to an old id, so no answer was sent twice")
	}
	return v, nil
}

// publish writes the configuration: a route for each service, whose requests must not run twice.
func (c *refusedCase) publish() {
	routes, services := make([]any, 0, len(c.ledgers)), make([]any, 0, len(c.ledgers))
	attempts := 2
	if n, err := strconv.Atoi(os.Getenv("ATTEMPTS")); err == nil && n > 0 {
		attempts = n // to compare
	}
	for _, g := range c.ledgers {
		routes = append(routes, map[string]any{
			"host": routeHost, "kind": "non_idempotent", "maxAttempts": attempts, "name": g.service, "priority": 1,
			"pathPrefix": "/" + g.service + "/", "service": g.service, "targetLatencyMs": 100, "timeoutMs": 1000,
		})
		services = append(services, map[string]any{"healthPath": "/healthz", "maxConnections": 110, "name": g.service})
	}
	c.d.put(topicOperator, configKey, map[string]any{
		"limits": map[string]any{
			"headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "maxBodyBytes": 4 << 20, "maxHeaderBytes": 16 << 10,
		},
		"routes": routes, "services": services,
		"tenants": []any{map[string]any{"apiKeys": []string{clientKey}, "name": "tenant"}}, "version": 1,
	})
}

func (g *ledger) register(id string) {
	g.c.d.put(topicEngines, id, map[string]any{
		"address": g.addr, "born": time.Now().UnixMilli(), "coldRemainingMs": 0, "seq": time.Now().UnixMilli(),
		"service": g.service, "slots": 6, "state": "ready", "version": "1", "zone": g.zone,
	})
}

// losePower ends the entry and all engines and starts them again.
func (c *refusedCase) losePower() error {
	lost := time.Now()
	c.d.process("entry-0").signal(syscall.SIGKILL)
	for _, g := range c.ledgers {
		g.stop()
	}
	c.d.rec.linef("zone dc-0 loses power: its entry and its %d engines end", len(c.ledgers))
	c.mu.Lock()
	c.faulty = true
	c.mu.Unlock()
	time.Sleep(time.Until(lost.Add(ledgerDown)))
	for i, g := range c.ledgers {
		old := fmt.Sprintf("i-old%d", i)
		if err := g.restart(fmt.Sprintf("i-new%d", i)); err != nil {
			return err
		}
		time.AfterFunc(time.Until(lost.Add(lapseTime)), func() { c.d.store.Put(topicEngines, old, nil) })
	}
	c.d.rec.linef("the engines are back at their addresses, with new ids")
	time.Sleep(time.Until(lost.Add(entryDown)))
	_, err := c.d.startEntry(0)
	return err
}

func (c *refusedCase) waitForReady() bool {
	s := stopCase{d: c.d, entry: c.entry}
	return s.waitUntilReady()
}

func (c *refusedCase) waitForService() bool {
	for range 60 {
		if status, err := exchange(c.entry, postRequest(c.ledgers[0].service, "probe")); err == nil && status == http.StatusOK {
			return true
		}
		if !c.d.sleep(100 * time.Millisecond) {
			return false
		}
	}
	return false
}

// post sends n requests to each service and returns the statuses of the answers by attempt.
func (c *refusedCase) post(prefix string, n int) map[string]int {
	var mu sync.Mutex
	statuses := map[string]int{}
	var wg sync.WaitGroup
	for i, g := range c.ledgers {
		wg.Go(func() {
			for k := range n {
				id := fmt.Sprintf("%s%d%03x", prefix, i, k)
				status, err := exchange(c.entry, postRequest(g.service, id))
				if err != nil {
					status = 0
				}
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				c.d.sleep(postInterval)
			}
		})
	}
	wg.Wait()
	return statuses
}

// postRequest returns a request that must not run twice.
func postRequest(service, id string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Deadline-Ms: 1000\r\n"+
		"Tanagergrade-Key: %s\r\nContent-Length: 2\r\n\r\n{}", service, routeHost, id, clientKey)
}

// judge checks the rules REFUSED and TWICE.
func (c *refusedCase) judge(statuses map[string]int) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	byStatus := map[int]int{}
	broken := 0
	for id, status := range statuses {
		byStatus[status]++
		if status == http.StatusServiceUnavailable && c.runs[id] > 0 || c.runs[id] > 1 {
			broken++
			c.d.rec.linef("request %s: the client got %d, and it ran %d times", id, status, c.runs[id])
		}
	}
	c.d.rec.linef("%d requests, answers by status: %v; engines gave %d answers and sent %d of them twice", len(statuses), byStatus,
		c.answers, c.copies)
	if broken > 0 {
		return verdictBroken
	}
	return verdictHeld
}

func (g *ledger) serve(l net.Listener) {
	g.mu.Lock()
	g.l = l
	g.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		g.conns[conn] = true
		g.mu.Unlock()
		go g.serveConn(conn)
	}
}

func (g *ledger) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.l.Close()
	for conn := range g.conns {
		_ = conn.Close()
	}
}

// restart starts the engine again at its address.
func (g *ledger) restart(id string) error {
	l, err := net.Listen("tcp", g.addr) //nolint:noctx // closed at the end of the case
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.id = id
	g.mu.Unlock()
	g.c.d.listeners = append(g.c.d.listeners, l)
	go g.serve(l)
	g.register(id)
	return nil
}

func (g *ledger) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, conn)
	}()
	br := bufio.NewReader(conn)
	last := ""
	for {
		r, err := tghttp.ReadRequest(br, maxHead)
		if err != nil {
			return
		}
		if _, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(maxBody); err != nil {
			return
		}
		if g.sendsCopy(last) && !writeAll(conn, last) {
			return
		}
		if last = g.answer(r); !writeAll(conn, last) {
			return
		}
	}
}

// sendsCopy reports whether a second copy of the last answer on a connection is sent when the next request has come.
func (g *ledger) sendsCopy(last string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	if !g.c.faulty || g.c.copies > 0 || len(last) < len(misdirected) || last[:len(misdirected)] != misdirected {
		return false
	}
	g.c.copies++
	g.c.d.rec.linef("engine %s sends a second copy of its last answer, late", g.id)
	return true
}

const misdirected = "HTTP/1.1 421 "

// answer runs a request, unless it is meant for another engine, and returns the answer.
func (g *ledger) answer(r *tghttp.Request) string {
	g.mu.Lock()
	self := g.id
	g.mu.Unlock()
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	g.c.answers++
	id, target := r.Header.Get("Tanagergrade-Attempt-Id"), r.Header.Get("Tanagergrade-Target-Instance")
	if target != self {
		g.c.d.rec.linef("engine %s answers 421 to request %s, meant for %s", self, id, target)
		return fmt.Sprintf("%sMisdirected Request\r\nTanagergrade-Attempt-Id: %s\r\nAt-Server: %s\r\nContent-Length: 0\r\n\r\n",
			misdirected, id, self)
	}
	g.c.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Response-Signature: %s.%s\r\n"+
		"Content-Length: 2\r\n\r\nok", id, self, id)
}
