package tgfleet

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcost"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgguard"
)

// CostsPath is the path of the admin server at which an entry that has just started pulls what a peer knows of the lengths
// of answers.
const CostsPath = "/costs"

const (
	costsPullPeriod = 10 * time.Second // after the start; later, an entry knows enough by itself
	maxCostsPulls   = 3                // peers that are asked until one of them knows something
)

// costsPull is the state of the pull of what peers know of the lengths of answers. It is used by receive only.
type costsPull struct {
	asked map[string]bool // VMs of the peers that were asked
}

// due reports whether a peer is to be asked now, and if so notes that it was.
func (p *costsPull) due(vm string, started, now time.Time) bool {
	if now.Sub(started) > costsPullPeriod || len(p.asked) >= maxCostsPulls || p.asked[vm] {
		return false
	}
	if p.asked == nil {
		p.asked = map[string]bool{}
	}
	p.asked[vm] = true
	return true
}

// startCostsPull pulls what a peer knows of the lengths of answers, if that is due.
func (x *Exchange) startCostsPull(vm string, from netip.AddrPort, now time.Time) {
	if x.Costs == nil || !x.costsPull.due(vm, x.started, now) {
		return
	}
	go func() {
		if err := tgguard.Handle(func() { x.pullCosts(vm, from) }); err != nil {
			x.Log.Dependency("peer "+vm, "panic", err)
		}
	}()
}

func (x *Exchange) pullCosts(vm string, from netip.AddrPort) {
	status, body, err := x.client.GetTimeout(nil, "http://"+from.String()+CostsPath, pullTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Newf("status %d", status)
	}
	var list []tgcost.Summary
	if err == nil {
		err = cbor.Unmarshal(body, &list)
	}
	if err != nil {
		x.Log.Dependency("peer "+vm, "costsPullFailed", err)
		return
	}
	if used := x.Costs.Merge(list, time.Now()); used > 0 {
		x.Log.ViewChange("peer "+vm, "costs", tgview.Change{Key: strconv.Itoa(used) + " routes", Outcome: "learned"})
	}
}

// HandleCosts answers the pull of a peer that has just started.
func (x *Exchange) HandleCosts(ctx *fasthttp.RequestCtx) {
	data, err := cbor.Marshal(x.Costs.Summaries())
	if err != nil {
		ctx.Error("encode costs", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}
