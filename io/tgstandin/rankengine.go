package tgstandin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgtwophase"
)

// RankEngine is a stand-in of the engine of one rank. Its HTTP interface, in JSON:
//
//	GET  /v1/rank/state      tgtwophase.State
//	POST /v1/rank/orders     {"message": tgtwophase.Message, "placement": for stage} answers tgtwophase.Reply
//	GET  /v1/rank/loads      {"loads": tokens per step on its replicas, "steps": steps since the last read}
//	GET  /v1/rank/placements [{"id", "placement"}] of the maps whose weights it holds
//
// A stage order starts to load the weights; the state shows the map as staged once they are loaded. Orders carry a
// fencing token, and the engine refuses an order whose token is lower than the highest it has seen.
type RankEngine struct {
	group        *RankGroup
	index        int
	delay        time.Duration // of each answer; this and all further fields are guarded by group.mu
	disconnected bool
	loading      tgtwophase.ID // map whose weights are being loaded; zero if none
	machine      *tgtwophase.Rank
	placements   map[tgtwophase.ID]*tgexpert.Placement
	stalled      bool
	steps        int // since the last read of the loads
}

type rankOrder struct {
	Message   tgtwophase.Message  `json:"message"`
	Placement *tgexpert.Placement `json:"placement"`
}

type rankLoads struct {
	Loads tgexpert.Loads `json:"loads"`
	Steps int            `json:"steps"`
}

type rankPlacement struct {
	ID        tgtwophase.ID       `json:"id"`
	Placement *tgexpert.Placement `json:"placement"`
}

func newRankEngine(g *RankGroup, index int) *RankEngine {
	r := &RankEngine{group: g, index: index, placements: map[tgtwophase.ID]*tgexpert.Placement{}}
	r.machine = tgtwophase.NewRank(index)
	r.machine.LearnToken(0)
	return r
}

// SetDisconnected makes the engine close the connection of each request without an answer; it still runs steps.
func (r *RankEngine) SetDisconnected(disconnected bool) {
	r.update(func() { r.disconnected = disconnected })
}

// SetDelay delays each answer by d; an order takes effect before the delay.
func (r *RankEngine) SetDelay(d time.Duration) { r.update(func() { r.delay = d }) }

// SetStalled keeps the rank from entering steps; it still answers requests.
func (r *RankEngine) SetStalled(stalled bool) { r.update(func() { r.stalled = stalled }) }

// Restart drops all state but the fencing token, which the companion would send again.
func (r *RankEngine) Restart() {
	r.update(func() {
		r.machine.RestartEngine()
		r.loading = tgtwophase.ID{}
		clear(r.placements)
	})
}

// update calls f with group.mu locked.
func (r *RankEngine) update(f func()) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	f()
}

// Handle serves the engine's HTTP interface.
func (r *RankEngine) Handle(ctx *fasthttp.RequestCtx) {
	r.group.mu.Lock()
	disconnected, delay := r.disconnected, r.delay
	r.group.mu.Unlock()
	if disconnected {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
		return
	}
	switch string(ctx.Path()) {
	case "/v1/rank/loads":
		writeJSON(ctx, r.readLoads())
	case "/v1/rank/orders":
		r.handleOrder(ctx)
	case "/v1/rank/placements":
		writeJSON(ctx, r.readPlacements())
	case "/v1/rank/state":
		r.group.mu.Lock()
		state := r.machine.State
		r.group.mu.Unlock()
		writeJSON(ctx, state)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	time.Sleep(delay)
}

func (r *RankEngine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o rankOrder
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	reply := r.machine.Receive(o.Message)
	if o.Message.Kind == tgtwophase.KindStage && reply.Refusal == "" {
		r.startStaging(o)
		reply.State = r.machine.State
	}
	writeJSON(ctx, reply)
}

// startStaging starts to load the weights that the rank does not hold already for the map in use.
func (r *RankEngine) startStaging(o rankOrder) {
	id := o.Message.Map
	if id == r.machine.Map || id == r.machine.Staged || id == r.loading || o.Placement == nil {
		return
	}
	r.loading = id
	for old := range r.placements {
		if old != r.machine.Map && old != r.machine.Armed {
			delete(r.placements, old)
		}
	}
	r.placements[id] = o.Placement
	present := r.placements[r.machine.Map]
	moves := len(o.Placement.Experts) / max(o.Placement.Ranks, 1)
	if present != nil && present.Ranks == o.Placement.Ranks {
		moves = o.Placement.Moves(present) / o.Placement.Ranks // the share of one rank in the moves of the group
	}
	bytes := float64(moves) * r.group.BytesPerExpert
	go func() {
		if r.group.store.Fetch(context.Background(), bytes) != nil {
			return
		}
		r.update(func() {
			if r.loading == id {
				r.loading = tgtwophase.ID{}
				r.machine.MarkStaged(id)
			}
		})
	}()
}

// readLoads returns the loads of the replicas on this rank, and resets the count of steps.
func (r *RankEngine) readLoads() rankLoads {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	answer := rankLoads{Loads: tgexpert.NewLoads(r.group.loads.Layers, r.group.loads.Experts), Steps: r.steps}
	r.steps = 0
	p, position := r.placements[r.machine.Map], 0
	if p == nil {
		return answer
	}
	for i := range r.index {
		if r.machine.Members&(1<<uint(i)) != 0 {
			position++
		}
	}
	for layer := range p.Layers {
		tokens, expected := answer.Loads.Layer(layer), r.group.loads.Layer(layer)
		base := (layer*p.Ranks + position) * p.Slots
		for i, e := range p.Experts[base : base+p.Slots] {
			if e != tgexpert.EmptySlot {
				tokens[e] += p.Weights[base+i] * expected[e]
			}
		}
	}
	return answer
}

func (r *RankEngine) readPlacements() []rankPlacement {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	list := []rankPlacement{}
	for id, p := range r.placements {
		if id == r.machine.Map || id == r.machine.Staged {
			list = append(list, rankPlacement{ID: id, Placement: p})
		}
	}
	return list
}
