package tgdemo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgexpert"
	"tanagergrade/io/tggroup"
	"tanagergrade/io/tgstandin"
)

const (
	bytesPerExpert = 1 << 20
	groupTokenTime = 2 * time.Microsecond
	stepInterval   = 5 * time.Millisecond
	storeRate      = 100 << 20 // bytes/s
)

// startGroup starts a rank group; each of its engines serves requests as well as orders to its rank.
func (d *Demo) startGroup(ctx context.Context) error {
	d.group = tgstandin.NewRankGroup(groupRanks, stepInterval, hotExperts(0), tgstandin.NewWeightStore(storeRate))
	d.group.BytesPerExpert = bytesPerExpert
	group := tgconfig.Group{
		BytesPerExpert: bytesPerExpert, Experts: groupExperts, Layers: groupLayers, Pool: groupPool, Slots: groupSlots,
		StoreRate: storeRate, TokenTime: groupTokenTime,
	}
	for i := range groupRanks {
		engine := tgstandin.NewEngine(fmt.Sprintf("rank-%d", i+1), tokenInterval)
		rank := d.group.Rank(i)
		server, err := tgstandin.Serve(func(ctx *fasthttp.RequestCtx) {
			if strings.HasPrefix(string(ctx.Path()), "/v1/rank/") {
				rank.Handle(ctx)
				return
			}
			engine.Handle(ctx)
		})
		if err != nil {
			return err
		}
		if err := d.startCompanion(ctx, engine.Name, groupPool, dataCentreName(0), server.Address()); err != nil {
			return err
		}
		group.Ranks = append(group.Ranks, engine.Name)
	}
	d.cfg.Groups = map[string]tgconfig.Group{groupName: group}
	d.wg.Go(func() { d.group.Run(ctx) })
	return nil
}

// hotExperts returns loads in which the experts first and first+1 of each layer are hot.
func hotExperts(first int) tgexpert.Loads {
	const cold, hot = 100, 2000 // tokens per step
	loads := tgexpert.NewLoads(groupLayers, groupExperts)
	for i := range loads.Tokens {
		loads.Tokens[i] = cold
		if e := i % groupExperts; e == first || e == first+1 {
			loads.Tokens[i] = hot
		}
	}
	return loads
}

// controllerStatus returns the status of the controller that has made a decision with the highest fencing token. Its
// Changes is the sum over all controllers.
func (d *Demo) controllerStatus() tggroup.Status {
	var last tggroup.Status
	changes := 0
	for _, c := range d.companions {
		g := c.GroupState()
		if g == nil {
			continue
		}
		changes += g.Controller.Changes
		if g.Controller.LastDecision.Reason != "" && g.Controller.Token >= last.Token {
			last = g.Controller
		}
	}
	last.Changes = changes
	return last
}
