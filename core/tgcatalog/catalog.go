// Package tgcatalog has the model of a deployment: the operator's configuration (routes, pools, accounts and limits) and
// the registrations of upstreams.
package tgcatalog

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// RouteKind is whether requests of a route may be repeated.
type RouteKind string

// Kinds of routes.
const (
	KindIdempotent    RouteKind = "idempotent" // may run more than once
	KindNonIdempotent RouteKind = "nonIdempotent"
	KindStreaming     RouteKind = "streaming" // may run more than once if the route is resumable
)

// Target is a pool that takes a share of a route's requests.
type Target struct {
	Pool   string
	Weight float64 // not negative
}

// Route sends the requests of a host under a path prefix to pools.
type Route struct {
	Anonymous       bool          // requests need no key
	EventGapTarget  time.Duration // latency target between two events of a stream
	Host            string        // lower case
	Kind            RouteKind
	FirstByteTarget time.Duration // latency target of the first byte
	MaxAttempts     int           // at least 1
	Name            string
	PathPrefix      string   // begins and ends with a slash
	Priority        int      // 0 is the highest
	Resumable       bool     // an upstream can continue a stream after the events already delivered
	Targets         []Target // not empty
	Timeout         time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

const (
	minStallTimeout  = 2500 * time.Millisecond
	stallFirstFactor = 5  // of FirstByteTarget
	stallGapFactor   = 10 // of EventGapTarget
)

// StallTimeout returns how long a stream may go without a new event before it counts as stalled. Callers of the route
// leave a little earlier, so a stream that is only slow is never ended before its caller has given it up.
func (r *Route) StallTimeout() time.Duration {
	return max(minStallTimeout, stallFirstFactor*r.FirstByteTarget, stallGapFactor*r.EventGapTarget)
}

// patienceFraction is the part of StallTimeout after which callers leave.
const patienceFraction = 0.8

// Patience returns how long a caller waits for the first event of a stream before it leaves.
func (r *Route) Patience() time.Duration {
	return time.Duration(patienceFraction * float64(r.StallTimeout()))
}

// ChoosePool returns the pool of a request, by weight; random is uniform in [0,1).
func (r *Route) ChoosePool(random float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	random *= total
	for _, t := range r.Targets {
		if random < t.Weight {
			return t.Pool
		}
		random -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Engine is the cost model of the model engines of a pool.
type Engine struct {
	BytesPerExpert     float64
	ExpertShare        float64 // fraction of a token's compute that experts take
	Experts            int     // in each set
	ExpertSlotsPerRank int     // experts that a rank can hold in each set
	LinkBitsPerS       float64
	NewExpertsPerSet   int           // most experts of a set that one preparation may add to a rank
	StateReportLag     time.Duration // age of the state that an engine reports to other VMs
	Sets               int           // of experts
	Slots              int           // requests that an engine runs at once
	StepTime           time.Duration // of a step without requests
	StepsPerPass       int
	StepTimePerStream  time.Duration // added to a step by each running stream of the engine
}

// HasExperts reports whether groups of engines share the experts of a model.
func (e *Engine) HasExperts() bool { return e.Sets > 0 && e.Experts > 0 && e.ExpertSlotsPerRank > 0 }

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	ColdRate       float64       // requests per second that a cold upstream can serve; 0 for no limit
	ColdTime       time.Duration // for which an upstream is cold after its start
	Engine         Engine
	MaxConnections int // to one upstream, from all callers together
	Name           string
}

// Slots returns how many requests the upstreams run at once: by the configuration or, if it has no number, by their
// registrations.
func (p *Pool) Slots(upstreams []Upstream) int {
	if p.Engine.Slots > 0 {
		return p.Engine.Slots * len(upstreams)
	}
	n := 0
	for i := range upstreams {
		n += max(0, upstreams[i].Slots)
	}
	return n
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool // Priority overrides that of the route
}

// Limits bound the requests and connections of callers.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It must not be modified once it is in use. A
// golden file of package tgplatform lists the fields of Config and its parts by their names and in their order.
type Config struct {
	Accounts    map[string]Account // by API key
	KeyRequired bool               // requests need a key unless their route is anonymous
	Limits      Limits
	Pools       map[string]Pool
	Version     int64

	rankedPools  map[string]bool    // pools whose streams have more than one priority, by their routes
	routesByHost map[string][]Route // longest prefix first
}

// NewConfig returns a configuration with its routes indexed.
func NewConfig(version int64, routes []Route) *Config {
	c := &Config{
		Accounts: map[string]Account{}, Pools: map[string]Pool{}, Version: version, rankedPools: rankedPools(routes),
		routesByHost: map[string][]Route{},
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// rankedPools returns the pools whose streaming routes have more than one priority.
func rankedPools(routes []Route) map[string]bool {
	priorities, ranked := map[string]int{}, map[string]bool{}
	for i := range routes {
		r := &routes[i]
		if r.Kind != KindStreaming {
			continue
		}
		for _, t := range r.Targets {
			if p, ok := priorities[t.Pool]; ok && p != r.Priority {
				ranked[t.Pool] = true
			}
			priorities[t.Pool] = r.Priority
		}
	}
	return ranked
}

// RanksStreams reports whether the streams of a pool have more than one priority, by their routes.
func (c *Config) RanksStreams(pool string) bool { return c.rankedPools[pool] }

// Route returns the route with the longest prefix that matches a host and path; ok is false if there is none.
func (c *Config) Route(host, path string) (r *Route, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	list := c.routesByHost[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].PathPrefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// State is whether an upstream accepts new requests.
type State string

// States of upstreams.
const (
	StateDraining State = "draining"
	StateReady    State = "ready"
)

// Upstream is the registration of one incarnation of an engine. The state dump shows it under these field names.
type Upstream struct {
	Address    netip.AddrPort
	ColdFor    time.Duration // remaining cold time, from Registered on
	DataCentre string
	ID         string
	Pool       string
	Registered time.Time // when this process read the registration
	Slots      int
	Started    time.Time // zero if the engine does not report it
	State      State
}
