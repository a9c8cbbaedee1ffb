// Package tgconfig has the configuration model, its TOML files, its validation, and the state that is folded from the
// stream of configuration changes.
package tgconfig

import (
	"net/netip"
	"strings"
	"time"
)

// Config is a deployment as declared by operators. It must not be modified once it is published.
type Config struct {
	Accounts    map[string]Account    `cbor:"accounts" toml:"accounts"`
	DataCentres map[string]DataCentre `cbor:"dataCentres" toml:"dataCentres"`
	Groups      map[string]Group      `cbor:"groups" toml:"groups"`
	Pools       map[string]Pool       `cbor:"pools" toml:"pools"`
	Settings    Settings              `cbor:"settings" toml:"settings"`
	Upstreams   map[string]Upstream   `cbor:"upstreams" toml:"upstreams"`
}

// PlainPool returns the name of the plain pool with the longest path prefix of path.
func (c *Config) PlainPool(path string) (name string, ok bool) {
	longest := 0
	for n, p := range c.Pools {
		if p.Kind == PlainPool && len(p.PathPrefix) > longest && strings.HasPrefix(path, p.PathPrefix) {
			name, longest = n, len(p.PathPrefix)
		}
	}
	return name, longest > 0
}

// PoolKind is the kind of service that the upstreams of a pool offer.
type PoolKind string

// Kinds of pools.
const (
	ModelPool PoolKind = "model" // model engines
	PlainPool PoolKind = "plain" // instances of a plain HTTP service
)

// CapacityState is whether a data centre or upstream may get new requests, as set by operators.
type CapacityState string

// States of data centres and upstreams.
const (
	Active    CapacityState = "active"
	Drained   CapacityState = "drained"   // of an upstream: no new requests
	Withdrawn CapacityState = "withdrawn" // of a data centre: no new requests
)

// Account is a client account.
type Account struct {
	KeyHash  string `cbor:"keyHash" toml:"keyHash"` // SHA-256 of the bearer token, in hexadecimal
	Priority string `cbor:"priority" toml:"priority"`
	Share    int    `cbor:"share" toml:"share"` // weight of the account in the fair queue under overload, at least 1
}

// DataCentre is the region and state of a data centre.
type DataCentre struct {
	Region string        `cbor:"region" toml:"region"`
	State  CapacityState `cbor:"state" toml:"state"`
}

// Group is a group of ranks: upstreams that run in lock-step and share the experts of a model by one expert map.
type Group struct {
	BytesPerExpert int           `cbor:"bytesPerExpert" toml:"bytesPerExpert"` // size of the weights of one expert in one layer; 0 for 50 MiB
	Experts        int           `cbor:"experts" toml:"experts"`               // in each layer
	Layers         int           `cbor:"layers" toml:"layers"`
	Pool           string        `cbor:"pool" toml:"pool"`
	Ranks          []string      `cbor:"ranks" toml:"ranks"`         // upstreams in rank order, spares last
	Slots          int           `cbor:"slots" toml:"slots"`         // expert slots of each rank in each layer
	Spares         int           `cbor:"spares" toml:"spares"`       // number of ranks that replace lost ones
	StoreRate      int           `cbor:"storeRate" toml:"storeRate"` // bytes/s that the group may read from the weight store; 0 for 1 GiB/s
	TokenTime      time.Duration `cbor:"tokenTime" toml:"tokenTime"` // time of one token on its expert in one layer; 0 for 2 µs
}

// Operation declares the requests of a plain pool that have one method and path.
type Operation struct {
	Idempotent bool   `cbor:"idempotent" toml:"idempotent"`
	Method     string `cbor:"method" toml:"method"`
	Path       string `cbor:"path" toml:"path"` // a prefix if it ends in /
	Priority   string `cbor:"priority" toml:"priority"`
}

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Kind       PoolKind    `cbor:"kind" toml:"kind"`
	Models     []string    `cbor:"models" toml:"models"`         // for kind model
	Operations []Operation `cbor:"operations" toml:"operations"` // for kind plain; requests that match none are not idempotent
	PathPrefix string      `cbor:"pathPrefix" toml:"pathPrefix"` // for kind plain
}

// Settings are limits and timeouts of the whole deployment.
type Settings struct {
	ClaimTimeout     time.Duration `cbor:"claimTimeout" toml:"claimTimeout"`         // longest wait until a claim is read back from the log
	ColdConcurrency  int           `cbor:"coldConcurrency" toml:"coldConcurrency"`   // concurrency limit of a cold upstream
	DrainTimeout     time.Duration `cbor:"drainTimeout" toml:"drainTimeout"`         // longest graceful shutdown
	MaxQueued        int           `cbor:"maxQueued" toml:"maxQueued"`               // longest queue of attempts for one upstream
	MaxRequestBytes  int           `cbor:"maxRequestBytes" toml:"maxRequestBytes"`   // largest request body
	RequestTimeout   time.Duration `cbor:"requestTimeout" toml:"requestTimeout"`     // from the arrival of a request to the end of the answer
	RetryBudgetRatio float64       `cbor:"retryBudgetRatio" toml:"retryBudgetRatio"` // retries per request, as an average
	SilenceTimeout   time.Duration `cbor:"silenceTimeout" toml:"silenceTimeout"`     // time without a frame after which a connection is replaced
	SnapshotInterval time.Duration `cbor:"snapshotInterval" toml:"snapshotInterval"` // at most a quarter of the log's retention
	WarmConcurrency  int           `cbor:"warmConcurrency" toml:"warmConcurrency"`   // concurrency limit of a warm upstream
}

// Upstream is a model engine or an instance of a plain service.
type Upstream struct {
	Address               netip.AddrPort `cbor:"address" toml:"address"`
	ChecksFencing         bool           `cbor:"checksFencing" toml:"checksFencing"`
	ChecksIdempotencyKeys bool           `cbor:"checksIdempotencyKeys" toml:"checksIdempotencyKeys"`
	Companion             netip.AddrPort `cbor:"companion" toml:"companion"`
	DataCentre            string         `cbor:"dataCentre" toml:"dataCentre"`
	Pool                  string         `cbor:"pool" toml:"pool"`
	State                 CapacityState  `cbor:"state" toml:"state"`
}

// Operation returns the declared operation that matches a request, the one with the longest path if there are several.
func (p Pool) Operation(method, path string) (Operation, bool) {
	var best Operation
	found := false
	for _, op := range p.Operations {
		matches := op.Path == path || strings.HasSuffix(op.Path, "/") && strings.HasPrefix(path, op.Path)
		if op.Method == method && matches && (!found || len(op.Path) > len(best.Path)) {
			best, found = op, true
		}
	}
	return best, found
}
