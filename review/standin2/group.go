package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Shape of the rank groups of the stand-ins.
const (
	groupSets       = 2
	groupExperts    = 36
	groupPlaces     = 12
	groupMaxNew     = 3
	passTime        = 30 * time.Millisecond
	choicesPerPass  = 400
	passesPerDemand = 40 // after so many passes the requests choose other experts
)

// rankGroup is a group of engines that begin each pass together.
type rankGroup struct {
	d *deployment

	mu     sync.Mutex // guards the fields below
	broken bool
	epoch  int64
	orders int // that came to ranks
	ranks  []*rankState
	step   int64
}

// rankState is what an engine of a group has got by orders since the group was formed.
type rankState struct {
	armedStep, armedVersion int64
	counts                  []uint64
	fence                   int64
	held                    int64
	highest                 int64
	maps                    map[int64][][]int // experts of the rank by version and set
	prepared                int64
	seq                     int64
	version                 int64
}

// rankEngine is an engine of a group; while it is dark, it answers nothing.
type rankEngine struct {
	addr  string
	born  int64
	group *rankGroup
	rank  int

	mu   sync.Mutex // guards dark
	dark chan struct{}
}

func (d *deployment) newGroup(n int) *rankGroup {
	g := &rankGroup{d: d}
	g.form(n)
	go g.run()
	return g
}

// form forms the group anew with n ranks, in a new epoch and with map 0.
func (g *rankGroup) form(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken, g.step = false, 0
	g.epoch++
	g.ranks = make([]*rankState, n)
	for i := range g.ranks {
		own := make([][]int, groupSets)
		for s := range own {
			for e := i; e < groupExperts; e += n {
				own[s] = append(own[s], e)
			}
		}
		g.ranks[i] = &rankState{counts: make([]uint64, groupSets*groupExperts), maps: map[int64][][]int{0: own}}
	}
	g.d.rec.linef("the group forms with %d ranks, epoch %d", n, g.epoch)
}

// stall makes the group run no passes until it is formed anew.
func (g *rankGroup) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
}

// awaitHold waits until a rank holds a pass, as in each change of the map, and reports whether one did in time.
func (g *rankGroup) awaitHold(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		g.mu.Lock()
		held := slices.ContainsFunc(g.ranks, func(k *rankState) bool { return k.held != 0 })
		g.mu.Unlock()
		if held {
			return true
		}
	}
	return false
}

// awaitOrders waits until a rank gets an order, and returns how many have come meanwhile.
func (g *rankGroup) awaitOrders(timeout time.Duration) int {
	count := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.orders
	}
	before := count()
	for end := time.Now().Add(timeout); time.Now().Before(end) && count() == before; {
		time.Sleep(10 * time.Millisecond)
	}
	return count() - before
}

func (g *rankGroup) run() {
	t := time.NewTicker(passTime)
	defer t.Stop()
	for {
		select {
		case <-g.d.ctx.Done():
			return
		case <-t.C:
			g.pass()
		}
	}
}

func (g *rankGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	if g.broken || slices.ContainsFunc(g.ranks, func(k *rankState) bool { return k.held == next }) {
		return
	}
	g.step = next
	for _, k := range g.ranks {
		if k.armedVersion != 0 && k.armedStep == next {
			k.version, k.armedVersion, k.armedStep, k.prepared = k.armedVersion, 0, 0, 0
		}
		liked := int(next/passesPerDemand) * 7
		for s := range groupSets {
			for i := range 4 {
				k.counts[s*groupExperts+(liked+i)%groupExperts] += choicesPerPass >> (2 * i)
			}
		}
	}
}

// startRank starts the engine of a rank.
func (d *deployment) startRank(host int, g *rankGroup, rank int) (*rankEngine, error) {
	e := &rankEngine{born: time.Now().UnixMilli(), group: g, rank: rank}
	server := &http.Server{Handler: e, IdleTimeout: 20 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	addr, err := d.listen(d.ip(host), func(l net.Listener) { _ = server.Serve(l) })
	e.addr = addr
	return e, err
}

// setDark makes the engine silent, or lets it answer again; calls that came meanwhile are lost.
func (e *rankEngine) setDark(dark bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dark != nil {
		close(e.dark)
		e.dark = nil
	}
	if dark {
		e.dark = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (e *rankEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	dark := e.dark
	e.mu.Unlock()
	if dark != nil {
		select {
		case <-dark:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, reply := e.group.call(e, r.Method+" "+r.URL.Path, r.URL.RawQuery != "", body)
	data, err := json.Marshal(reply)
	if err != nil {
		panic(err) // all replies can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (g *rankGroup) call(e *rankEngine, name string, lists bool, body []byte) (status int, reply any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.rank >= len(g.ranks) { // in no group
		return http.StatusOK, map[string]any{"born": e.born, "busy": false, "phase": "unified", "seq": 0}
	}
	k := g.ranks[e.rank]
	switch name {
	case "GET /v1/report":
		return http.StatusOK, g.report(e, k)
	case "GET /v1/picked":
		if lists {
			return http.StatusOK, map[string]any{"mapping": map[string]any{"experts": k.maps[k.version], "version": k.version}}
		}
		return http.StatusOK, map[string]any{"counts": k.counts, "epoch": g.epoch, "step": g.step}
	case "POST /v1/order":
		return g.order(e.rank, k, body), map[string]any{}
	default:
		return http.StatusNotFound, map[string]any{}
	}
}

func (g *rankGroup) report(e *rankEngine, k *rankState) map[string]any {
	state := "open"
	if g.broken {
		state = "broken"
	}
	report := map[string]any{
		"active": 1, "born": e.born, "busy": false, "mapping": k.version, "pace": 1, "phase": "unified", "queued": 0, "seq": k.seq,
		"group": map[string]any{"epoch": g.epoch, "name": "g0-0", "rank": e.rank, "state": state}, "size": len(g.ranks), "step": g.step,
	}
	if k.prepared != 0 {
		report["preloaded"] = k.prepared
	}
	if k.armedVersion != 0 {
		report["enabled"] = map[string]any{"step": k.armedStep, "version": k.armedVersion}
	}
	if k.held != 0 {
		report["held"] = k.held
	}
	return report
}

// rankOrder is the body of an order.
type rankOrder struct {
	Epoch        *int64    `json:"epoch"`
	FencingToken int64     `json:"fencingToken"`
	Mapping      [][][]int `json:"mapping"`
	Operation    string    `json:"operation"`
	Step         int64     `json:"step"`
	Version      int64     `json:"version"`
}

func (g *rankGroup) order(rank int, k *rankState, body []byte) (status int) {
	var o rankOrder
	switch {
	case json.Unmarshal(body, &o) != nil:
		return http.StatusBadRequest
	case o.FencingToken < k.fence:
		return http.StatusPreconditionFailed
	}
	k.fence = o.FencingToken
	g.orders++
	if o.Epoch != nil && *o.Epoch != g.epoch {
		return http.StatusConflict
	}
	if status = g.carryOut(rank, k, &o); status == http.StatusAccepted {
		k.seq++
	}
	return status
}

func (g *rankGroup) carryOut(rank int, k *rankState, o *rankOrder) (status int) {
	if o.Operation == "prepare" {
		return g.prepare(rank, k, o)
	}
	var conflict bool
	switch o.Operation {
	case "arm":
		conflict = k.prepared != o.Version || o.Step <= g.step
		if !conflict {
			k.armedVersion, k.armedStep = o.Version, o.Step
		}
	case "disarm":
		conflict = k.version == o.Version
		if k.armedVersion == o.Version {
			k.armedVersion, k.armedStep = 0, 0
		}
	case "retention":
		return k.hold(o.Step, g.step)
	case "go":
		conflict = k.held != o.Step || o.Step == 0
		if !conflict {
			k.held = 0
		}
	default:
		return http.StatusBadRequest
	}
	if conflict {
		return http.StatusConflict
	}
	return http.StatusAccepted
}

// hold keeps the group from beginning a pass; newest is the last pass that has begun.
func (k *rankState) hold(step, newest int64) (status int) {
	if step <= newest || k.held != 0 && k.held != step {
		return http.StatusConflict
	}
	k.held = step
	return http.StatusAccepted
}

func (g *rankGroup) prepare(rank int, k *rankState, o *rankOrder) (status int) {
	if k.prepared == o.Version {
		return http.StatusOK
	}
	if o.Version <= k.highest || k.armedVersion != 0 || len(o.Mapping) != groupSets {
		return http.StatusConflict
	}
	own := make([][]int, groupSets)
	for s, ranks := range o.Mapping {
		if len(ranks) != len(g.ranks) || len(ranks[rank]) > groupPlaces {
			return http.StatusConflict
		}
		own[s] = ranks[rank]
	}
	k.highest, k.prepared, k.maps[o.Version] = o.Version, o.Version, own
	return http.StatusAccepted
}
