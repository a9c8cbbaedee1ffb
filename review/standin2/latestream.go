package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	streamDeadline = 8 * time.Second
	shortEvents    = 8
	longEvents     = 56
	lateAfter      = 3300 * time.Millisecond // from SIGTERM to the late request
)

// configStreams writes a configuration with one route of streams, like those of slrc-collect.
func (d *deployment) configStreams() {
	d.put("keyed.op", "config", map[string]any{
		"limits": limits(), "version": 7,
		"routes": []any{map[string]any{
			"host": routeHost, "itlTargetMs": 120, "kind": "streaming", "maxAttempts": 2, "name": "letter", "pathPrefix": "/letter/",
			"priority": 1, "resumable": true, "service": "draft", "sticky": true, "targetLatencyMs": 500, "timeoutMs": 8000,
		}},
		"services": []any{map[string]any{
			"coldPerS": 36, "coldStartS": 3, "engine": map[string]any{"per_seq_ms": 0.905, "slots": 12, "step_ms": 4.55, "stride": 4},
			"healthPath": "/healthz", "maxConnections": 418, "name": "draft",
		}},
		"tenants": []any{map[string]any{"apiKeys": []string{key}, "name": tenant}},
	})
}

func limits() map[string]any {
	return map[string]any{"headerTimeoutMs": 5000, "idleTimeoutMs": 15000, "maxBodyBytes": 4 << 20, "maxHeaderBytes": 16 << 10}
}

// playLateStream sends a long stream on an open connection after SIGTERM, when the answers of the last half minute were short.
func playLateStream(d *deployment, trouble bool) (broken bool, err error) {
	d.configStreams()
	engines := make([]*engine, 3)
	for i := range engines {
		if engines[i], err = d.startEngine(100+i, fmt.Sprintf("i-%d", i), "draft"); err != nil {
			return false, err
		}
	}
	p, clients, err := d.startEntry(10)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	plan := func(id string, events int) {
		for _, e := range engines {
			e.plan(id, events)
		}
	}
	c, err := d.dial(clients)
	if err != nil {
		return false, err
	}
	defer c.close()
	for i := range 6 {
		id := fmt.Sprintf("short-%d", i)
		plan(id, shortEvents+i%3)
		a := c.do(request{deadline: streamDeadline, id: id, method: http.MethodPost, path: "/letter/1", usage: "714,240"})
		if a.status != http.StatusOK || !a.complete {
			return false, fmt.Errorf("%s was not answered before the disruption", id)
		}
	}
	late, err := d.dial(clients)
	if err != nil {
		return false, err
	}
	defer late.close()
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		d.signal(p, syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(lateAfter)))
	plan("late", longEvents)
	a := late.do(request{deadline: streamDeadline, id: "late", method: http.MethodPost, path: "/letter/1", usage: "714,240"})
	ran := 0
	for _, e := range engines {
		ran += e.ran("late")
	}
	return ran > 0 && !a.complete, nil
}
