// Package tgview holds a daemon's view of the deployment, built from the operator's records and the registrations of
// upstreams. Records may come from the store or from peers; an older version never replaces a newer one.
package tgview

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tglogtable"
)

// OperatorRecordKind is what a record of the operator holds.
type OperatorRecordKind string

// Kinds of operator records, sorted.
const (
	OperatorConfig     OperatorRecordKind = "config"
	OperatorOther      OperatorRecordKind = "other"      // not used by a daemon's view
	OperatorWithdrawal OperatorRecordKind = "withdrawal" // of a data centre from service
)

// Codec decodes the platform's records.
type Codec struct {
	Config   func(value []byte) (*tgcatalog.Config, error)
	Operator func(key string) (kind OperatorRecordKind, dataCentre string)
	Upstream func(id string, value []byte, now time.Time) (tgcatalog.Upstream, error)
}

// Change is the result of applying one record, for the log.
type Change struct {
	Age     time.Duration // of what a change by the passage of time is based on
	Epoch   int64         // of a rank group
	Err     error         // why a record was rejected
	Key     string
	Offset  int64
	Outcome string
	Version int64 // of the configuration in the record; 0 for other records
}

const (
	// expiryGrace is how long an upstream stays usable after its registration expired in an outage of the store. A live
	// engine registers again within about two seconds.
	expiryGrace = 2200 * time.Millisecond
	// minExpiryOutage is the shortest outage of the store in which registrations can expire, since they are valid for
	// three renewal intervals.
	minExpiryOutage = 2 * time.Second
	// confirmationTTL is how long a configuration counts as current after its last confirmation.
	confirmationTTL = 1500 * time.Millisecond
)

// entry is an upstream of the view.
type entry struct {
	tgcatalog.Upstream
	removeAt time.Time // end of the grace period after an expiry; zero while the upstream is registered
}

// View is the newest known configuration and the registered upstreams. It is safe for concurrent use.
type View struct {
	codec     Codec
	confirmed atomic.Pointer[time.Time] // last confirmation that the operator's records are complete; nil before the first
	config    atomic.Pointer[tgcatalog.Config]
	following atomic.Bool                                     // the store reports each change of the operator's records at once
	pools     atomic.Pointer[map[string][]tgcatalog.Upstream] // upstreams that may get new requests, by pool

	mu               sync.Mutex // guards the fields below
	lastRead         time.Time  // when registrations were last applied
	recoveredAt      time.Time  // end of the last outage that was long enough for registrations to expire
	unavailableSince time.Time  // start of the current outage of the store; zero while it answers
	upstreams        map[string]entry
	withdrawn        map[string]bool // by data centre
}

// NewView returns an empty view.
func NewView(codec Codec) *View {
	v := &View{codec: codec, upstreams: map[string]entry{}, withdrawn: map[string]bool{}}
	v.pools.Store(&map[string][]tgcatalog.Upstream{})
	return v
}

// Config returns the newest configuration, or nil, and whether it is known to be current.
func (v *View) Config() (c *tgcatalog.Config, current bool) {
	c = v.config.Load()
	if c == nil {
		return nil, false
	}
	confirmed := v.confirmed.Load()
	return c, v.following.Load() || confirmed != nil && time.Since(*confirmed) < confirmationTTL
}

// Confirm records that all of the operator's records up to now have been applied.
func (v *View) Confirm(now time.Time) { v.confirmed.Store(&now) }

// SetFollowing records whether the store reports each change of the operator's records at once. The end of following
// counts as a confirmation, so the configuration stays current for confirmationTTL.
func (v *View) SetFollowing(following bool) {
	if v.following.Swap(following) && !following {
		v.Confirm(time.Now())
	}
}

// Following reports whether the store reports each change of the operator's records to this process. A process that is
// updated by peers only must not confirm others, or two that are cut off from the store would confirm each other.
func (v *View) Following() bool { return v.following.Load() }

// Upstreams returns the upstreams of a pool that may get new requests. The caller must not modify the result.
func (v *View) Upstreams(pool string) []tgcatalog.Upstream { return (*v.pools.Load())[pool] }

// StoreUnavailable records that the registrations cannot be read. The outage counts from the last successful read.
func (v *View) StoreUnavailable(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unavailableSince.IsZero() {
		v.unavailableSince = now
		if !v.lastRead.IsZero() && v.lastRead.Before(now) {
			v.unavailableSince = v.lastRead
		}
	}
}

// StoreAvailable records that the registrations can be read again.
func (v *View) StoreAvailable(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.unavailableSince.IsZero() && now.Sub(v.unavailableSince) >= minExpiryOutage {
		v.recoveredAt = now
	}
	v.unavailableSince = time.Time{}
}

// ApplyOperator applies changed records of the operator and returns one Change for each.
func (v *View) ApplyOperator(records []tglogtable.Record) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	changes := make([]Change, 0, len(records))
	for _, r := range records {
		c := Change{Key: r.Key, Offset: r.Offset}
		switch kind, dc := v.codec.Operator(r.Key); kind {
		case OperatorConfig:
			v.applyConfig(r, &c)
		case OperatorWithdrawal:
			c.Outcome = "restored"
			delete(v.withdrawn, dc)
			if len(r.Value) > 0 {
				c.Outcome = "withdrawn"
				v.withdrawn[dc] = true
			}
		case OperatorOther:
			c.Outcome = "ignored"
		}
		changes = append(changes, c)
	}
	v.publishPools()
	return changes
}

func (v *View) applyConfig(r tglogtable.Record, c *Change) {
	if len(r.Value) == 0 {
		c.Outcome = "ignored" // an operator cannot remove the configuration
		return
	}
	cfg, err := v.codec.Config(r.Value)
	if err != nil {
		c.Outcome, c.Err = "rejected", err
		return
	}
	c.Version = cfg.Version
	if old := v.config.Load(); old != nil && cfg.Version <= old.Version {
		c.Outcome = "older"
		return
	}
	c.Outcome = "inForce"
	v.config.Store(cfg)
}

// ApplyUpstreams applies changed registrations of upstreams and returns the changes that are logged.
func (v *View) ApplyUpstreams(records []tglogtable.Record, now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applyUpstreams(records, v.isMassExpiry(records, now), now)
}

// ApplyReturned applies the changes that the first listing after a return of the store from an older copy brought.
// Registrations that the copy lacks may be live: they count as expired in an outage.
func (v *View) ApplyReturned(records []tglogtable.Record, now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applyUpstreams(records, true, now)
}

func (v *View) applyUpstreams(records []tglogtable.Record, massExpiry bool, now time.Time) []Change {
	var changes []Change
	for _, r := range records {
		if c, ok := v.applyUpstream(r, massExpiry, now); ok {
			changes = append(changes, c)
		}
	}
	changes = append(changes, v.expire(now)...)
	v.lastRead = now
	v.publishPools()
	return changes
}

// applyUpstream reports ok if the change is to be logged; mere renewals of a registration are not.
func (v *View) applyUpstream(r tglogtable.Record, massExpiry bool, now time.Time) (c Change, ok bool) {
	c = Change{Key: r.Key, Offset: r.Offset}
	old, known := v.upstreams[r.Key]
	if len(r.Value) == 0 {
		c.Outcome = "removed"
		if massExpiry && known && old.State == tgcatalog.StateReady {
			c.Outcome = "removedInOutage"
			old.removeAt = now.Add(expiryGrace)
			v.upstreams[r.Key] = old
			return c, known
		}
		delete(v.upstreams, r.Key)
		return c, known
	}
	u, err := v.codec.Upstream(r.Key, r.Value, now)
	if err != nil {
		c.Outcome, c.Err = "rejected", err
		delete(v.upstreams, r.Key)
		return c, true
	}
	if known && !u.Started.IsZero() && u.Started.Before(old.Started) {
		c.Outcome = "olderIncarnation"
		return c, true
	}
	v.dropPredecessors(u)
	v.upstreams[r.Key] = entry{Upstream: u}
	c.Outcome = string(u.State)
	return c, !known || old.State != u.State || old.Address != u.Address
}

// dropPredecessors removes upstreams that started earlier at the address of a new one: only one incarnation can serve
// at an address.
func (v *View) dropPredecessors(u tgcatalog.Upstream) {
	if _, known := v.upstreams[u.ID]; known {
		return
	}
	for id, e := range v.upstreams {
		if e.Address == u.Address && e.Started.Before(u.Started) {
			delete(v.upstreams, id)
		}
	}
}

// isMassExpiry reports whether removals may only mean that engines could not renew their registrations: they come right
// after an outage and concern at least half of the upstreams. Fewer removals are upstreams that left during the outage.
func (v *View) isMassExpiry(records []tglogtable.Record, now time.Time) bool {
	if v.recoveredAt.IsZero() || now.Sub(v.recoveredAt) >= expiryGrace {
		return false
	}
	removed := 0
	for _, r := range records {
		if e, known := v.upstreams[r.Key]; known && e.removeAt.IsZero() && len(r.Value) == 0 {
			removed++
		}
	}
	return 2*removed >= len(v.upstreams)
}

// Expire removes upstreams whose registration expired in an outage and that did not return within the grace period.
func (v *View) Expire(now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.expire(now)
}

func (v *View) expire(now time.Time) []Change {
	var changes []Change
	for id, e := range v.upstreams {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			delete(v.upstreams, id)
			changes = append(changes, Change{Key: id, Outcome: "lapsed"})
		}
	}
	if len(changes) > 0 {
		v.publishPools()
	}
	return changes
}

// publishPools replaces the lists of upstreams that may get new requests. The caller holds v.mu.
func (v *View) publishPools() {
	pools := map[string][]tgcatalog.Upstream{}
	for e := range maps.Values(v.upstreams) {
		if e.State == tgcatalog.StateReady && !v.withdrawn[e.DataCentre] {
			pools[e.Pool] = append(pools[e.Pool], e.Upstream)
		}
	}
	v.pools.Store(&pools)
}

// State is the content of a view, for the state dump.
type State struct {
	Current   bool                 `json:"current"`
	Upstreams []tgcatalog.Upstream `json:"upstreams"`
	Version   int64                `json:"version"`
	Withdrawn []string             `json:"withdrawn"`
}

// State returns a copy of the view's content.
func (v *View) State() State {
	cfg, current := v.Config()
	s := State{Current: current}
	if cfg != nil {
		s.Version = cfg.Version
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.upstreams {
		s.Upstreams = append(s.Upstreams, e.Upstream)
	}
	for dc := range v.withdrawn {
		s.Withdrawn = append(s.Withdrawn, dc)
	}
	return s
}
