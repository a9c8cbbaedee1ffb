package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	groupRanks    = 12 // as on the site
	ranksLost     = 3  // a quarter
	groupCycles   = 14
	ordersAwaited = 20 * time.Second // without an order; before, one comes each second
	renewalTime   = time.Second      // in which the leader renews its lease
)

// playSmallerGroup lets the engines with the last ranks go dark during a change of the map; the platform forms the group
// without them, and with them when they are back. The case ends when the leader orders nothing more, or after all cycles.
func playSmallerGroup(d *deployment, trouble bool) (broken bool, err error) {
	var votes election
	if d.storeAt, err = d.watchElection(&votes); err != nil {
		return false, err
	}
	d.configGroup()
	g := d.newGroup(groupRanks)
	engines, procs := make([]*rankEngine, groupRanks), map[string]*daemon{}
	for i := range engines {
		if engines[i], err = d.startRank(100+i, g, i); err != nil {
			return false, err
		}
		p, err := d.start("companion", 10+i, d.companionSettings(10+i, engines[i].addr))
		if err != nil {
			return false, err
		}
		procs[companionName(10+i)] = p
	}
	time.Sleep(5 * time.Second)
	for range groupCycles {
		if n := g.awaitOrders(ordersAwaited); n == 0 {
			return true, d.showHang(&votes, procs)
		}
		if !g.awaitHold(ordersAwaited) {
			return false, fmt.Errorf("no change of the map in %s, though orders came", ordersAwaited)
		}
		if trouble {
			d.loseRanks(g, engines[groupRanks-ranksLost:])
		}
		time.Sleep(time.Second)
	}
	if g.awaitOrders(ordersAwaited) == 0 {
		return true, d.showHang(&votes, procs)
	}
	return false, nil
}

// loseRanks lets the engines with the last ranks go dark for a while.
func (d *deployment) loseRanks(g *rankGroup, last []*rankEngine) {
	d.rec.linef("%d engines go dark", len(last))
	for _, e := range last {
		e.setDark(true)
	}
	g.stall()
	time.Sleep(2100 * time.Millisecond) // stall_ms and form_ms
	g.form(groupRanks - len(last))
	time.Sleep(1500 * time.Millisecond)
	d.rec.linef("the engines are back")
	for _, e := range last {
		e.setDark(false)
	}
	g.form(groupRanks)
}

// showHang records who leads, and what becomes of that process when it is stopped.
func (d *deployment) showHang(votes *election, procs map[string]*daemon) error {
	name, silent := votes.holder()
	d.rec.linef("no engine got an order for %s; %s leads by the store and renewed that %s ago", ordersAwaited, name, silent)
	p, ok := procs[name]
	if !ok || silent > renewalTime {
		return fmt.Errorf("no process leads")
	}
	select {
	case <-p.ended:
		return fmt.Errorf("%s has ended", name)
	default:
	}
	d.signal(p, syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(8 * time.Second):
		d.rec.linef("%s has not ended in graceS", name)
	}
	return nil
}

// configGroup writes a configuration with one service of model engines in a group.
func (d *deployment) configGroup() {
	d.put("keyed.op", "config", map[string]any{
		"limits": limits(), "version": 7,
		"routes": []any{map[string]any{
			"host": routeHost, "itlTargetMs": 120, "kind": "streaming", "maxAttempts": 2, "name": "letter", "pathPrefix": "/letter/",
			"priority": 1, "resumable": true, "service": "draft", "sticky": true, "targetLatencyMs": 500, "timeoutMs": 8000,
		}},
		"services": []any{map[string]any{
			"coldPerS": 36, "coldStartS": 3, "healthPath": "/healthz", "maxConnections": 418, "name": "draft",
			"engine": map[string]any{
				"expertMb": 100, "expertRatio": 0.85, "experts": groupExperts, "form_ms": 600, "linkMbps": 180000,
				"maxNewExperts": groupMaxNew, "per_seq_ms": 0.905, "placements": groupPlaces, "report_lag_ms": 200, "sets": groupSets,
				"slots": 12, "step_ms": 4.55, "stride": 4,
			},
		}},
		"tenants": []any{map[string]any{"apiKeys": []string{key}, "name": tenant}},
	})
}

func companionName(host int) string { return fmt.Sprintf("side-bkk-a-%d", host) }

// companionSettings returns the settings of a companion beside an engine.
func (d *deployment) companionSettings(host int, engine string) map[string]any {
	return map[string]any{
		"app": engine, "bootstrap": true, "bounds": bounds(), "dataDir": nil, "discovery": "platform",
		"heartbeatMs": heartbeat.Milliseconds(), "internalPorts": []int{7340, 7355}, "ip": d.ip(host),
		"limits": map[string]any{"cpuCores": 1, "cpuQuota": 0.24, "diskMb": 0, "linkMbps": 20, "maxFds": 2048, "memoryMb": 152},
		"listen": map[string]any{}, "machineClass": "side", "nodeName": companionName(host),
		"platform": map[string]any{"address": d.storeAt, "form": "log", "parts": 8, "ttlMinMs": 1000}, "region": "bkk",
		"role": "companion", "serves": []string{"side"}, "service": "draft", "zone": "bkk-a",
	}
}
