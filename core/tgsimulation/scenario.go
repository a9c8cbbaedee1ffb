package tgsimulation

import (
	"time"

	"tanagergrade/core/tgcall"
)

var (
	defaultPriorityMix = map[tgcall.Priority]float64{tgcall.Bulk: 0.2, tgcall.Live: 0.5, tgcall.Standard: 0.3}
	defaultAccounts    = []Account{
		{Name: "large-1", RequestFraction: 0.50, Share: 50}, {Name: "large-2", RequestFraction: 0.20, Share: 20},
		{Name: "middle-1", RequestFraction: 0.10, Share: 10}, {Name: "middle-2", RequestFraction: 0.10, Share: 10},
		{Name: "small-1", RequestFraction: 0.05, Share: 5}, {Name: "small-2", RequestFraction: 0.05, Share: 5},
	}
)

// OverloadAccounts offer more than their shares at twice the capacity, but not in proportion to them.
var OverloadAccounts = []Account{
	{Name: "large-1", RequestFraction: 0.3750, Share: 50}, {Name: "large-2", RequestFraction: 0.3000, Share: 20},
	{Name: "middle-1", RequestFraction: 0.1000, Share: 10}, {Name: "middle-2", RequestFraction: 0.1000, Share: 10},
	{Name: "small-1", RequestFraction: 0.0625, Share: 5}, {Name: "small-2", RequestFraction: 0.0625, Share: 5},
}

// Variant is a combination of admission and routing policies; all but the first of Variants are baselines.
type Variant struct {
	Name      string
	Admission Admission
	Routing   Routing
}

// Variants are the combinations that every measurement compares.
var Variants = []Variant{
	{"tanagergrade", AdmitAdaptive, RouteSampled},
	{"roundRobin", AdmitAdaptive, RouteRoundRobin},
	{"leastConnections", AdmitAdaptive, RouteLeastConnections},
	{"noAdmission", AdmitAll, RouteSampled},
	{"noRamp", AdmitWarmLimit, RouteSampled},
}

// Times of SimulateWithdrawal after its start; requests arrive until WithdrawalEnd.
const (
	WithdrawAt    = 30 * time.Second
	RestoreAt     = 60 * time.Second
	WithdrawalEnd = 150 * time.Second
)

// SimulateWithdrawal withdraws one of three data centres and restores it with cold engines. The load is a fraction of the
// capacity of the other two. It returns the time from the withdrawal until an engine of that data centre last began work.
func SimulateWithdrawal(v Variant, load float64, seed uint64, each func(c *Cluster)) (*Cluster, time.Duration) {
	c := NewCluster(Options{
		Accounts: defaultAccounts, Admission: v.Admission, PriorityMix: defaultPriorityMix,
		Rate: load * requestCapacity(engines*2/3), Routing: v.Routing, Seed: seed,
	})
	c.RunUntil(WithdrawAt / 2)
	c.ResetResults()
	callEverySecond(c, each)
	c.RunUntil(WithdrawAt)
	c.Withdraw("c", true)
	c.RunUntil(RestoreAt)
	last := time.Duration(0)
	for _, m := range c.companions {
		if m.DataCentre == "c" {
			last = max(last, m.lastStart-WithdrawAt)
		}
	}
	c.Withdraw("c", false)
	c.Finish(WithdrawalEnd)
	return c, last
}

// SimulateColdStart starts the first n engines cold under a load equal to the capacity of all engines. It returns the time
// until all are warm and admit work up to their capacity, or the bound if they do not reach that within it.
func SimulateColdStart(v Variant, n int, bound time.Duration, seed uint64, each func(c *Cluster)) (*Cluster, time.Duration) {
	c := NewCluster(Options{
		Accounts: defaultAccounts, Admission: v.Admission, PriorityMix: defaultPriorityMix, Rate: requestCapacity(engines),
		Routing: v.Routing, Seed: seed,
		Warmth: func(i int) float64 {
			if i < n {
				return 0
			}
			return 1
		},
	})
	callEverySecond(c, each)
	full := bound
	for d := time.Duration(0); d < bound; d += 100 * time.Millisecond {
		c.RunUntil(d)
		if full == bound && c.atFullCapacity() {
			full = d
		}
	}
	return c, full
}

// SimulateOverload offers a multiple of the engines' capacity, all in one priority, so that only the shares decide which
// requests run.
func SimulateOverload(v Variant, factor float64, seed uint64) (c *Cluster, measured time.Duration) {
	c = NewCluster(Options{
		Accounts: OverloadAccounts, Admission: v.Admission, Rate: factor * requestCapacity(engines),
		Routing: v.Routing, Seed: seed,
	})
	c.RunUntil(10 * time.Second)
	c.ResetResults()
	c.RunUntil(100 * time.Second)
	return c, 90 * time.Second
}

// SimulateUnhealthyEngine injects a fault into one engine at 70% load; Results.Unaffected has the requests at the others.
func SimulateUnhealthyEngine(v Variant, seed uint64, inject func(c *Cluster, name string)) *Cluster {
	c := NewCluster(Options{
		Accounts: defaultAccounts, Admission: v.Admission, PriorityMix: defaultPriorityMix, Rate: 0.7 * requestCapacity(engines),
		Routing: v.Routing, Seed: seed,
	})
	c.RunUntil(15 * time.Second)
	c.FaultyEngine = c.engineNames[0]
	c.ResetResults()
	c.RunUntil(20 * time.Second)
	inject(c, c.FaultyEngine)
	c.Finish(80 * time.Second)
	return c
}

// Faults of one engine.
var (
	FaultCold    = func(c *Cluster, name string) { c.companions[name].engine.warmth = 0 }
	FaultNone    = func(*Cluster, string) {}
	FaultRestart = func(c *Cluster, name string) { c.companions[name].restart(0) }
	FaultSilent  = func(c *Cluster, name string) { c.companions[name].unresponsive = true }
	FaultSlow    = func(c *Cluster, name string) { c.companions[name].engine.slowdown = 10 }
	FaultStalled = func(c *Cluster, name string) { c.companions[name].engine.stalled = true }
)

// SimulateCrash crashes one of three data centres. The load is a fraction of the capacity of the other two.
func SimulateCrash(v Variant, load float64, seed uint64) *Cluster {
	c := NewCluster(Options{
		Accounts: defaultAccounts, Admission: v.Admission, PriorityMix: defaultPriorityMix,
		Rate: load * requestCapacity(engines*2/3), Routing: v.Routing, Seed: seed,
	})
	c.RunUntil(15 * time.Second)
	c.ResetResults()
	c.RunUntil(20 * time.Second)
	c.Crash("c")
	c.Finish(80 * time.Second)
	return c
}

// atFullCapacity reports whether every engine has at least 95% of a warm engine's capacity and admits as much, less one
// request.
func (c *Cluster) atFullCapacity() bool {
	for _, m := range c.companions {
		limited := m.admission == AdmitAdaptive && float64(m.limiter.Limit()) < fullFraction*engineSlots-1
		if limited || m.engine.capacity() < fullFraction*engineSlots {
			return false
		}
	}
	return true
}

// callEverySecond calls each once per simulated second; nil is not called.
func callEverySecond(c *Cluster, each func(c *Cluster)) {
	if each == nil {
		return
	}
	var tick func()
	tick = func() {
		each(c)
		c.sim.after(time.Second, tick)
	}
	c.sim.after(time.Second, tick)
}
