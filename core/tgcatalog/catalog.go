// Package tgcatalog has the deployment that the operator accepted last: routes, pools, accounts and limits, and the
// upstreams that are registered.
package tgcatalog

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// RouteKind says how a request may be repeated.
type RouteKind string

// Kinds of routes.
const (
	KindIdempotent    RouteKind = "idempotent"
	KindNonIdempotent RouteKind = "nonIdempotent"
	KindStreaming     RouteKind = "streaming"
)

// Target is a pool that takes a share of a route's requests.
type Target struct {
	Pool   string
	Weight float64 // not negative
}

// Route says where the requests of a host below a path go.
type Route struct {
	Anonymous       bool
	EventGapTarget  time.Duration // longest pause between events that is on time
	Host            string        // lower case
	Kind            RouteKind
	FirstByteTarget time.Duration // until the first byte that is on time
	MaxAttempts     int           // at least 1
	Name            string
	PathPrefix      string // begins and ends with a slash
	Priority        int    // 0 is the highest
	Resumable       bool
	Targets         []Target // not empty
	Timeout         time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// ChoosePool chooses the pool of a request for a random number in [0,1).
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
	ExpertShare        float64 // part of the work of a token that experts do
	Experts            int     // of each set
	ExpertSlotsPerRank int     // places of a rank in each set
	FormTime           time.Duration
	LinkBitsPerS       float64
	NewExpertsPerSet   int           // most experts of a set that one preparation may add to a rank
	StateReportLag     time.Duration // age of what an engine tells other VMs of its state
	Sets               int
	Slots              int
	StepTime           time.Duration // of a step without requests
	StepsPerPass       int
	StepTimePerStream  time.Duration // that each running stream adds to a step of its engine
}

// HasExperts reports whether the engines share experts in groups.
func (e *Engine) HasExperts() bool { return e.Sets > 0 && e.Experts > 0 && e.ExpertSlotsPerRank > 0 }

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	ColdRate       float64       // requests per second that a cold upstream bears; 0 if there is no bound
	ColdTime       time.Duration // after a start
	Engine         Engine
	MaxConnections int // of one upstream, from all callers
	Name           string
}

// Slots returns how many requests the upstreams run at once. Where the configuration does not tell, their registrations
// do.
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
	HasPriority bool // whether Priority goes before that of the route
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is not changed once it is in use.
type Config struct {
	Accounts    map[string]Account // by key
	KeyRequired bool               // whether requests need a key
	Limits      Limits
	Pools       map[string]Pool
	Version     int64

	routesByHost map[string][]Route // longest prefix first
}

// NewConfig returns a configuration with its routes indexed.
func NewConfig(version int64, routes []Route) *Config {
	c := &Config{Accounts: map[string]Account{}, Pools: map[string]Pool{}, Version: version, routesByHost: map[string][]Route{}}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// Route returns the route of a host and path; ok is false if there is none.
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

// State says whether an upstream takes new requests.
type State string

// States of upstreams.
const (
	StateDraining State = "draining"
	StateReady    State = "ready"
)

// Upstream is the registration of one incarnation of an engine.
type Upstream struct {
	Address    netip.AddrPort
	ColdFor    time.Duration // from Registered on
	DataCentre string
	ID         string
	Pool       string
	Registered time.Time // when this process learned of it
	Slots      int
	Started    time.Time // zero if the engine does not say
	State      State
}
