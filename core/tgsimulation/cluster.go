package tgsimulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgretry"
	"tanagergrade/core/tgroute"
)

// Routing is the policy by which the entries of a run choose upstreams.
type Routing string

// Routing policies; the first two are baselines.
const (
	RouteLeastConnections Routing = "leastConnections"
	RouteRoundRobin       Routing = "roundRobin"
	RouteSampled          Routing = "sampled"
)

const (
	dataCentres    = 3
	engines        = 12
	entries        = 6
	requestTimeout = 60 * time.Second
	maxConfigDelay = 2 * time.Second // longest time until a daemon applies a change; within the bound of 5 s
)

// Account is a client account of a run; RequestFraction is its fraction of all requests.
type Account struct {
	Name            string
	RequestFraction float64
	Share           int
}

// Options are the settings of a run.
type Options struct {
	Accounts    []Account
	Admission   Admission
	PriorityMix map[tgcall.Priority]float64 // fractions of the priorities; all standard if empty
	Rate        float64                     // requests per second
	Routing     Routing
	Seed        uint64
	Warmth      func(engine int) float64 // initial warmth of an engine, 0 or 1; all are warm if nil
}

// Cluster is a simulated run: engines with companions in three data centres, entries and callers.
type Cluster struct {
	Results
	arrivalsEnd time.Duration // time after the start at which arrivals end; 0 for never
	companions  map[string]*companion
	countFrom   time.Duration // results count requests that arrive from here on
	engineNames []string
	entries     []*entry
	options     Options
	requestRand *rand.Rand // separate from other random choices, so that all variants get the same requests
	sim         *simulation
}

// NewCluster returns a run that has not started.
func NewCluster(o Options) *Cluster {
	s := newSimulation(o.Seed)
	c := &Cluster{Results: newResults(), companions: map[string]*companion{}, options: o, sim: s}
	c.requestRand = rand.New(rand.NewPCG(o.Seed, 1)) //nolint:gosec // a reproducible choice
	candidates := make([]tgroute.Candidate, 0, engines)
	for i := range engines {
		v := tgroute.Candidate{DataCentre: dataCentre(i), Name: fmt.Sprintf("engine-%02d", i)}
		warmth := 1.0
		if o.Warmth != nil {
			warmth = o.Warmth(i)
		}
		candidates = append(candidates, v)
		c.engineNames = append(c.engineNames, v.Name)
		c.companions[v.Name] = newCompanion(s, v, o.Admission, warmth)
	}
	for i := range entries {
		c.entries = append(c.entries, &entry{
			budget:     tgretry.NewBudget(retryRatio, tgretry.WithRand(s.rand.Float64)),
			candidates: candidates, cluster: c, router: newChooser(o.Routing, dataCentre(i), s),
		})
	}
	s.after(c.nextInterval(), c.arrive)
	return c
}

func dataCentre(i int) string { return string(rune('a' + i%dataCentres)) }

func newChooser(r Routing, local string, s *simulation) chooser {
	options := []tgroute.Option{
		tgroute.WithClock(s.now), tgroute.WithRand(rand.New(rand.NewPCG(s.rand.Uint64(), 0))), //nolint:gosec // reproducible
	}
	switch r {
	case RouteLeastConnections:
		return tgroute.NewChooser(local, tgroute.LeastConnections{}, options...)
	case RouteRoundRobin:
		return tgroute.NewChooser(local, &tgroute.RoundRobin{}, options...)
	default:
		return tgroute.NewRouter(local, options...)
	}
}

// RunUntil continues until the time d after the start.
func (c *Cluster) RunUntil(d time.Duration) { c.sim.runUntil(d) }

// Finish lets requests arrive until the time d after the start and continues until they have ended.
func (c *Cluster) Finish(d time.Duration) {
	c.arrivalsEnd = d
	c.RunUntil(d + requestTimeout)
}

// ResetResults discards the results so far; requests that arrive from now on are counted.
func (c *Cluster) ResetResults() {
	c.countFrom = c.sim.elapsed()
	suspect := c.FaultyEngine
	c.Results = newResults()
	c.FaultyEngine = suspect
}

// Withdraw withdraws a data centre or restores it; each daemon applies the change after its own delay. The engines of a
// restored data centre have restarted and are cold.
func (c *Cluster) Withdraw(name string, out bool) {
	for _, n := range c.engineNames {
		m := c.companions[n]
		if m.DataCentre != name {
			continue
		}
		if !out {
			m.engine.warmth = 0
			m.restart(0)
		}
		c.sim.after(c.configDelay(), func() { m.withdrawn = out })
	}
	for _, e := range c.entries {
		c.sim.after(c.configDelay(), func() {
			e.candidates = nil
			for _, n := range c.engineNames {
				if m := c.companions[n]; !out || m.DataCentre != name {
					e.candidates = append(e.candidates, m.Candidate)
				}
			}
		})
	}
}

// Crash ends all processes of a data centre at once.
func (c *Cluster) Crash(name string) {
	for _, n := range c.engineNames {
		if m := c.companions[n]; m.DataCentre == name {
			m.dead = true
			m.engine.crash()
		}
	}
}

func (c *Cluster) configDelay() time.Duration {
	return time.Duration(c.sim.rand.Float64() * float64(maxConfigDelay))
}

// nextInterval returns the time until the next request of a Poisson process.
func (c *Cluster) nextInterval() time.Duration {
	return time.Duration(c.requestRand.ExpFloat64() / c.options.Rate * float64(time.Second))
}

// arrive dispatches a new request and schedules the next arrival.
func (c *Cluster) arrive() {
	s, r := c.sim, c.requestRand
	if c.arrivalsEnd > 0 && s.elapsed() >= c.arrivalsEnd {
		return
	}
	q := &request{
		arrived: s.now(), deadline: s.now().Add(requestTimeout), idempotent: true, priority: tgcall.Standard,
		prefill: prefillSteps*2/3 + r.IntN(prefillSteps*2/3+1), share: 1, tokens: meanTokens/2 + r.IntN(meanTokens+1),
		tried: map[string]bool{},
	}
	at := r.Float64()
	for _, a := range c.options.Accounts {
		if at -= a.RequestFraction; at < 0 {
			q.account, q.share = a.Name, a.Share
			break
		}
	}
	at = r.Float64()
	for _, p := range []tgcall.Priority{tgcall.Live, tgcall.Standard, tgcall.Bulk} {
		if at -= c.options.PriorityMix[p]; at < 0 {
			q.priority = p
			break
		}
	}
	q.idempotent = r.Float64() >= 0.1
	if s.elapsed() >= c.countFrom {
		c.Arrived++
	}
	e := c.entries[r.IntN(len(c.entries))]
	e.budget.Deposit()
	e.dispatch(q)
	s.after(c.nextInterval(), c.arrive)
}

func (c *Cluster) isCounted(r *request) bool { return r.arrived.Sub(time.Unix(0, 0)) >= c.countFrom }

// recordToken records a token as its caller receives it, so gaps include the pauses between attempts.
func (c *Cluster) recordToken(r *request) {
	now, p := c.sim.now(), c.forPriority(r.priority)
	last := r.lastToken
	r.delivered++
	r.lastToken = now
	c.Tokens++ // of all requests, since it is compared with the engines' capacity over the same time
	if !c.isCounted(r) {
		return
	}
	others := !slices.Contains(r.upstreams, c.FaultyEngine)
	if r.delivered == 1 {
		p.FirstTokenLatencies = append(p.FirstTokenLatencies, now.Sub(r.arrived))
		if others {
			c.Unaffected.FirstTokenLatencies = append(c.Unaffected.FirstTokenLatencies, now.Sub(r.arrived))
		}
		return
	}
	p.TokenGaps = append(p.TokenGaps, now.Sub(last))
	if others {
		c.Unaffected.TokenGaps = append(c.Unaffected.TokenGaps, now.Sub(last))
	}
}

// recordEnd counts a second execution of a request that is not idempotent and returns the results of its priority.
func (c *Cluster) recordEnd(r *request) *PriorityResults {
	if r.executions > 1 && !r.idempotent {
		c.DuplicateExecutions++
	}
	return c.forPriority(r.priority)
}

func (c *Cluster) recordAnswered(r *request) {
	if !c.isCounted(r) {
		return
	}
	p := c.recordEnd(r)
	p.Answered++
	c.TokensByAccount[r.account] += r.tokens
	if r.delivered != r.tokens {
		c.Incomplete++
	}
}

func (c *Cluster) recordRefused(r *request) {
	if c.isCounted(r) {
		c.recordEnd(r).Refused++
	}
}

func (c *Cluster) recordLost(r *request) {
	if !c.isCounted(r) {
		return
	}
	c.recordEnd(r).Lost++
	if r.idempotent {
		c.LostIdempotent++
	}
	if r.delivered > 0 {
		c.Incomplete++
	}
}

// Quantile returns the quantile q of d, or 0 if d is empty.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
