package main

import (
	"fmt"

	"tanagergrade/platform/tgemulator"
)

// Names in the configuration of the cases.
const (
	routeHost    = "review.example"
	poolModel    = "model"
	poolPlain    = "plain"
	clientKey    = "key-of-the-review"
	streamRoute  = "stream"
	postRoute    = "post"
	readRoute    = "read"
	routeTimeout = 8000 // milliseconds
)

// publishConfig writes a configuration with a streaming route to the model pool and two routes to the plain pool.
func (d *deployment) publishConfig(shape tgemulator.Shape) {
	route := func(name, kind, service string, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"host": routeHost, "kind": kind, "maxAttempts": attempts, "name": name, "pathPrefix": "/" + name + "/",
			"priority": 1, "service": service, "targetLatencyMs": 500, "timeoutMs": routeTimeout,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	engine := map[string]any{
		"expertMb": 10, "expertRatio": 0.85, "experts": shape.Experts, "form_ms": 600, "linkMbps": 100000,
		"maxNewExperts": shape.NewExpertsPerSet, "per_seq_ms": 0.1, "placements": shape.ExpertSlotsPerRank,
		"report_lag_ms": 20, "sets": shape.Sets, "slots": 12, "step_ms": 1, "stride": 1,
	}
	d.put(topicOperator, configKey, map[string]any{
		"limits": map[string]any{
			"headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "maxBodyBytes": 4 << 20, "maxHeaderBytes": 16 << 10,
		},
		"routes": []any{
			route(streamRoute, "streaming", poolModel, 2, map[string]any{"itlTargetMs": 120, "resumable": true}),
			route(postRoute, "non_idempotent", poolPlain, 1, nil),
			route(readRoute, "idempotent", poolPlain, 2, nil),
		},
		"services": []any{
			map[string]any{"engine": engine, "healthPath": "/healthz", "maxConnections": 418, "name": poolModel},
			map[string]any{"healthPath": "/healthz", "maxConnections": 110, "name": poolPlain},
		},
		"tenants": []any{map[string]any{"apiKeys": []string{clientKey}, "name": "tenant"}},
		"version": 1,
	})
}

// streamRequest returns a request for a stream.
func streamRequest(id string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nTanagergrade-Attempt-Id: %s\r\nTanagergrade-Deadline-Ms: %d\r\n"+
		"Tanagergrade-Key: %s\r\nTanagergrade-Model: m\r\nTanagergrade-Token-Usage: 100,40\r\n"+
		"Tanagergrade-Prompt-Prefix: a1:40,%s:60\r\nContent-Length: 2\r\n\r\n{}",
		streamRoute, routeHost, id, routeTimeout, clientKey, id)
}
