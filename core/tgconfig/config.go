// Package tgconfig has the configuration model, its validation and the rule by which changes are accepted.
package tgconfig

import (
	"net/netip"
	"strings"
	"time"
)

// Config is the deployment that operators declare; a published Config is immutable.
type Config struct {
	Accounts    map[string]Account    `cbor:"accounts" toml:"accounts"`
	DataCentres map[string]DataCentre `cbor:"dataCentres" toml:"dataCentres"`
	Groups      map[string]Group      `cbor:"groups" toml:"groups"`
	Pools       map[string]Pool       `cbor:"pools" toml:"pools"`
	Settings    Settings              `cbor:"settings" toml:"settings"`
	Upstreams   map[string]Upstream   `cbor:"upstreams" toml:"upstreams"`
}

// PoolKind says what the upstreams of a pool serve.
type PoolKind string

// Kinds of pools.
const (
	ModelPool PoolKind = "model"
	PlainPool PoolKind = "plain"
)

// CapacityState says whether operators want new work on a data centre or upstream.
type CapacityState string

// States of data centres and upstreams.
const (
	Active    CapacityState = "active"
	Drained   CapacityState = "drained"   // upstreams
	Withdrawn CapacityState = "withdrawn" // data centres
)

// Account is a client account.
type Account struct {
	KeyHash  string `cbor:"keyHash" toml:"keyHash"` // SHA-256 of the bearer key, in hexadecimal
	Priority string `cbor:"priority" toml:"priority"`
	Share    int    `cbor:"share" toml:"share"` // weight of the account under overload, at least 1
}

// DataCentre is a data centre.
type DataCentre struct {
	Region string        `cbor:"region" toml:"region"`
	State  CapacityState `cbor:"state" toml:"state"`
}

// Group is a rank group; its upstreams run in lock-step on one expert map.
type Group struct {
	BytesPerExpert int           `cbor:"bytesPerExpert" toml:"bytesPerExpert"` // weights of one expert in one layer; 0 for 50 MB
	Experts        int           `cbor:"experts" toml:"experts"`               // in each layer
	Layers         int           `cbor:"layers" toml:"layers"`
	Pool           string        `cbor:"pool" toml:"pool"`
	Ranks          []string      `cbor:"ranks" toml:"ranks"`         // upstreams in rank order, spares last
	Slots          int           `cbor:"slots" toml:"slots"`         // expert slots of each rank in each layer
	Spares         int           `cbor:"spares" toml:"spares"`       // ranks that stand in for lost ones
	StoreRate      int           `cbor:"storeRate" toml:"storeRate"` // bytes/s of the weight store that this group may use; 0 for 1 GB/s
	TokenTime      time.Duration `cbor:"tokenTime" toml:"tokenTime"` // of one token on its expert in one layer; 0 for 2 µs
}

// Operation declares requests of a plain pool.
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
	Operations []Operation `cbor:"operations" toml:"operations"` // for kind plain; what is not declared is not idempotent
	PathPrefix string      `cbor:"pathPrefix" toml:"pathPrefix"` // for kind plain
}

// Settings are limits and timeouts of the whole deployment.
type Settings struct {
	ClaimTimeout     time.Duration `cbor:"claimTimeout" toml:"claimTimeout"`         // wait for a claim to be read back
	ColdConcurrency  int           `cbor:"coldConcurrency" toml:"coldConcurrency"`   // attempts a cold upstream bears
	DrainTimeout     time.Duration `cbor:"drainTimeout" toml:"drainTimeout"`         // bound of a graceful shutdown
	MaxQueued        int           `cbor:"maxQueued" toml:"maxQueued"`               // waiting attempts of one upstream
	MaxRequestBytes  int           `cbor:"maxRequestBytes" toml:"maxRequestBytes"`   // size of a request body
	RequestTimeout   time.Duration `cbor:"requestTimeout" toml:"requestTimeout"`     // from arrival to the end of the answer
	RetryBudgetRatio float64       `cbor:"retryBudgetRatio" toml:"retryBudgetRatio"` // retries for each request
	SilenceTimeout   time.Duration `cbor:"silenceTimeout" toml:"silenceTimeout"`     // silence after which a connection is replaced
	SnapshotInterval time.Duration `cbor:"snapshotInterval" toml:"snapshotInterval"` // at most a quarter of the log's retention
	WarmConcurrency  int           `cbor:"warmConcurrency" toml:"warmConcurrency"`   // attempts a warm upstream bears
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

// Operation returns the declared operation that a request belongs to; the longest path wins.
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
