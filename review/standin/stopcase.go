package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagergrade/io/tghttp"
	"tanagergrade/platform/tgemulator"
)

const (
	stopEngines     = 3
	stopConnections = 12
	stopEvents      = 55                     // of a stream; the sheets of the sites have up to 60
	stopInterval    = 100 * time.Millisecond // between events; the sheets allow pauses of 120 ms
	openBefore      = 2 * time.Second        // from the connections of the clients to SIGTERM
	firstSend       = 3100 * time.Millisecond
	sendInterval    = 40 * time.Millisecond // between the requests of two clients
	grace           = 8 * time.Second       // graceS of the settings, after which the platform sends SIGKILL
	excusedSend     = 3 * time.Second       // from the pages: requests sent later than this after SIGTERM count
)

// stopCase is the state of the case "stop".
type stopCase struct {
	d       *deployment
	entry   string
	stopped time.Time // when SIGTERM was sent, or would be

	mu   sync.Mutex           // guards the fields below
	lost int                  // requests that count for the rule
	runs map[string]time.Time // when an engine began to work on a request
}

// runStopCase plays a planned stop of an entry. Clients have opened connections to it before, on which they send their
// first requests a little later than 3 s after SIGTERM.
func runStopCase(d *deployment, trouble bool) (verdict, error) {
	c := &stopCase{d: d, runs: map[string]time.Time{}}
	for i := range stopEngines {
		e := &engine{events: stopEvents, eventInterval: stopInterval, id: fmt.Sprintf("i-%d", i), onRun: c.recordRun}
		addr, err := d.listen(d.ip(3, i), e.serve)
		if err != nil {
			return verdictNotRun, err
		}
		d.registerEngine(e.id, addr)
	}
	d.publishConfig(tgemulator.Shape{})
	var err error
	if c.entry, err = d.startEntry(0); err != nil {
		return verdictNotRun, err
	}
	if !c.waitUntilReady() {
		return verdictNotRun, errors.New("the entry did not become ready")
	}
	conns, err := c.open()
	if err != nil {
		return verdictNotRun, err
	}
	d.sleep(openBefore)
	c.stopped = time.Now()
	if trouble {
		d.process("entry-0").signal(syscall.SIGTERM)
		d.rec.linef("SIGTERM to entry-0")
	}
	c.play(conns, trouble)
	d.rec.linef("%d requests were read and passed on, sent later than %v after SIGTERM, and have no complete answer", c.lost,
		excusedSend)
	if c.lost > 0 {
		return verdictBroken, nil
	}
	return verdictHeld, nil
}

// waitUntilReady waits until the platform's question finds the entry ready.
func (c *stopCase) waitUntilReady() bool {
	for range 100 {
		if c.askReady() == http.StatusOK {
			return true
		}
		if !c.d.sleep(100 * time.Millisecond) {
			return false
		}
	}
	return false
}

// askReady returns the status of the readiness probe, or 0 if there is no answer.
func (c *stopCase) askReady() int {
	host, _, err := net.SplitHostPort(c.entry)
	if err != nil {
		return 0
	}
	url := "http://" + net.JoinHostPort(host, strconv.Itoa(readyPort)) + "/v1/readyz"
	req, err := http.NewRequestWithContext(c.d.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// open opens the clients' connections.
func (c *stopCase) open() ([]net.Conn, error) {
	conns := make([]net.Conn, 0, stopConnections)
	for range stopConnections {
		conn, err := net.DialTimeout("tcp", c.entry, time.Second) //nolint:noctx // has a timeout
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
	}
	c.d.rec.linef("%d clients have opened connections", len(conns))
	return conns, nil
}

// play sends one request on each connection and waits for the answers. The platform asks the entry once a second whether
// it is ready, and ends it after its grace period.
func (c *stopCase) play(conns []net.Conn, trouble bool) {
	var wg sync.WaitGroup
	for i, conn := range conns {
		wg.Go(func() {
			time.Sleep(time.Until(c.stopped.Add(firstSend + time.Duration(i)*sendInterval)))
			c.request(fmt.Sprintf("c%03x", i), conn)
		})
	}
	for second := range int(grace / time.Second) {
		time.Sleep(time.Until(c.stopped.Add(time.Duration(second)*time.Second + time.Second/2)))
		c.d.rec.linef("the entry's answer to the platform's question: %d", c.askReady())
	}
	time.Sleep(time.Until(c.stopped.Add(grace)))
	if trouble {
		c.d.process("entry-0").signal(syscall.SIGKILL) // without effect if it has ended
	}
	wg.Wait()
}

// request sends a request and judges its answer.
func (c *stopCase) request(id string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	after := sent.Sub(c.stopped)
	_ = conn.SetDeadline(sent.Add(routeTimeout * time.Millisecond)) // fails only with the connection
	if _, err := conn.Write([]byte(streamRequest(id))); err != nil {
		c.d.rec.linef("request %s, sent %.2f s after SIGTERM: not sent: %v", id, after.Seconds(), err)
		return
	}
	br := bufio.NewReader(conn)
	r, err := tghttp.ReadResponse(br, http.MethodPost)
	if err != nil {
		c.d.rec.linef("request %s, sent %.2f s after SIGTERM: no answer: %v", id, after.Seconds(), err)
		c.count(id, after)
		return
	}
	body, err := tghttp.NewBody(br, r.Framing, r.Length).ReadAll(maxBody)
	result := "complete"
	if err != nil {
		result = "cut off: " + err.Error()
	}
	c.d.rec.linef("request %s, sent %.2f s after SIGTERM: status %d, %d of %d events, %s, after %.2f s", id, after.Seconds(),
		r.Status, strings.Count(string(body), "\n\n"), stopEvents, result, time.Since(sent).Seconds())
	if err != nil {
		c.count(id, after)
	}
}

// count counts a request without a complete answer if the rule does: it was passed on to an engine, and it was sent too
// late to be excused by the end of the grace period.
func (c *stopCase) count(id string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ran := c.runs[id]; ran && after > excusedSend {
		c.lost++
	}
}

func (c *stopCase) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = time.Now()
	c.d.rec.linef("an engine begins to work on request %s", id)
}
