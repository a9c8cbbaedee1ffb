package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	straysSent  = 30 // requests of the case
	strayPause  = 50 * time.Millisecond
	serviceRead = "ledger-app"
	serviceDraw = "draft-llm"
)

// configServices writes a configuration with a route to each of two services, like those of slrc-collect.
func (d *deployment) configServices() {
	d.put("keyed.op", "config", map[string]any{
		"limits": limits(), "version": 7,
		"routes": []any{
			map[string]any{
				"host": routeHost, "kind": "non_idempotent", "maxAttempts": 2, "name": "promise-post", "pathPrefix": "/promise/",
				"priority": 1, "service": serviceRead, "targetLatencyMs": 100, "timeoutMs": 1000,
			},
			map[string]any{
				"host": routeHost, "itlTargetMs": 120, "kind": "streaming", "maxAttempts": 2, "name": "hardship-letter",
				"pathPrefix": "/letter/", "priority": 1, "resumable": true, "service": serviceDraw, "sticky": true,
				"targetLatencyMs": 500, "timeoutMs": 8000,
			},
		},
		"services": []any{
			map[string]any{"healthPath": "/healthz", "maxConnections": 110, "name": serviceRead},
			map[string]any{"healthPath": "/healthz", "maxConnections": 418, "name": serviceDraw},
		},
		"tenants": []any{map[string]any{"apiKeys": []string{key}, "name": tenant}},
	})
}

// playStrayEntry lets another writer write one entry, without four of its fields, under the key of an engine.
func playStrayEntry(d *deployment, trouble bool) (broken bool, err error) {
	d.configServices()
	ledger, err := d.startEngine(100, "i-ledger", serviceRead)
	if err != nil {
		return false, err
	}
	draft, err := d.startEngine(101, "i-draft", serviceDraw)
	if err != nil {
		return false, err
	}
	_, clients, err := d.startEntry(10)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	c, err := d.dial(clients)
	if err != nil {
		return false, err
	}
	defer c.close()
	draft.awaitHeartbeat()
	if trouble {
		d.rec.linef("another writer writes servers/%s without version, coldRemainingMs, seq and born", draft.id)
		d.put("keyed.servers", draft.id, map[string]any{
			"address": draft.addr, "service": serviceRead, "slots": 12, "state": "ready", "zone": "bkk-a",
		})
	}
	for i := range straysSent {
		time.Sleep(strayPause)
		id := fmt.Sprintf("promise-%d", i)
		a := c.do(request{deadline: time.Second, id: id, method: http.MethodPost, path: "/promise/1"})
		if a.err != nil {
			return false, fmt.Errorf("%s was not answered: %w", id, a.err)
		}
		if draft.ran(id) > 0 {
			broken = true
			d.rec.linef("%s, a request to %s, was run by the engine %s of %s", id, serviceRead, draft.id, serviceDraw)
		}
		if a.status == http.StatusOK && !strings.Contains(a.body, serviceRead) {
			d.rec.linef("%s was answered %q", id, a.body)
		}
	}
	d.rec.linef("%s ran %d requests, %s ran %d", ledger.id, ledger.total(), draft.id, draft.total())
	return broken, nil
}
