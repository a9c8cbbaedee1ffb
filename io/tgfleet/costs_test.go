package tgfleet

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcost"
)

// Guards against an entry that asks its peers for what they have learned all the time, and against one that asks a peer
// that knows nothing either and then no other.
func TestCostsArePulledAfterTheStart(t *testing.T) {
	started := time.Unix(1000, 0)
	var p costsPull
	for _, test := range []struct {
		name  string
		vm    string
		after time.Duration
		want  bool
	}{
		{name: "first peer", vm: "a", want: true},
		{name: "same peer again", vm: "a", after: time.Second},
		{name: "second peer", vm: "b", after: time.Second, want: true},
		{name: "long after the start", vm: "c", after: time.Minute},
		{name: "third peer", vm: "c", after: 2 * time.Second, want: true},
		{name: "too many peers", vm: "d", after: 2 * time.Second},
	} {
		assert.Equal(t, p.due(test.vm, started, started.Add(test.after)), test.want, test.name)
	}
}

// Guards against summaries that a peer sends in another form than it reads them.
func TestCostsSurviveTheTransfer(t *testing.T) {
	peer, own := tgcost.NewEstimator(), tgcost.NewEstimator()
	now := time.Unix(1000, 0)
	for range 100 {
		peer.Observe(tgcost.Request{Hint: 50, Route: "r"}, tgcost.Estimate{}, 300, now)
	}
	ctx := &fasthttp.RequestCtx{}
	(&Exchange{Costs: peer}).HandleCosts(ctx)
	var list []tgcost.Summary
	assert.NilError(t, cbor.Unmarshal(ctx.Response.Body(), &list))
	assert.Equal(t, own.Merge(list, now), 1)
	assert.Equal(t, own.Estimate(tgcost.Request{Route: "r"}, now).Basis, tgcost.BasisRoute)
}
