package tgcatalog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that take a route with a shorter prefix than the longest that matches, or another host's route.
func TestRoute(t *testing.T) {
	c := NewConfig(1, []Route{
		{Host: "a.example", Name: "short", PathPrefix: "/x/"},
		{Host: "a.example", Name: "long", PathPrefix: "/x/y/"},
		{Host: "b.example", Name: "other", PathPrefix: "/"},
	})
	for target, want := range map[string]string{
		"a.example /x/":         "short",
		"a.example /x/y":        "short",
		"a.example /x/y/z":      "long",
		"a.example /z":          "",
		"A.Example:8080 /x/y/z": "long",
		"b.example /x/y/z":      "other",
		"c.example /x/":         "",
	} {
		var host, path string
		for i := range target {
			if target[i] == ' ' {
				host, path = target[:i], target[i+1:]
			}
		}
		r, ok := c.Route(host, path)
		assert.Equal(t, ok, want != "", target)
		if ok {
			assert.Equal(t, r.Name, want, target)
		}
	}
}

// Guards against pools that get a share of a route's requests other than their weight.
func TestPoolByWeight(t *testing.T) {
	r := Route{Targets: []Target{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 0}, {Pool: "r", Weight: 10}}}
	for random, want := range map[float64]string{0: "p", 0.89: "p", 0.91: "r", 0.9999: "r"} {
		assert.Equal(t, r.ChoosePool(random), want)
	}
}

// Guards against a second run of requests that are not idempotent and of streams that cannot be resumed.
func TestRepeatable(t *testing.T) {
	for want, routes := range map[bool][]Route{
		false: {{Kind: KindNonIdempotent}, {Kind: KindStreaming}, {Kind: KindNonIdempotent, Resumable: true}},
		true:  {{Kind: KindIdempotent}, {Kind: KindStreaming, Resumable: true}},
	} {
		for _, r := range routes {
			assert.Equal(t, r.Repeatable(), want, string(r.Kind))
		}
	}
}

// Guards against pools whose streams are taken to differ in priority because of requests of another kind or another pool.
func TestRanksStreams(t *testing.T) {
	route := func(kind RouteKind, priority int, pools ...string) Route {
		r := Route{Kind: kind, Priority: priority}
		for _, pool := range pools {
			r.Targets = append(r.Targets, Target{Pool: pool, Weight: 1})
		}
		return r
	}
	c := NewConfig(1, []Route{
		route(KindStreaming, 0, "a", "b"), route(KindStreaming, 1, "b"), route(KindIdempotent, 2, "a"), route(KindStreaming, 0, "a"),
	})
	assert.Assert(t, c.RanksStreams("b") && !c.RanksStreams("a") && !c.RanksStreams("unknown"))
}
