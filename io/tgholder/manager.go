// Package tgholder claims, renews and releases the leases of one process through the log.
package tgholder

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tglease"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
)

const (
	checkInterval       = 100 * time.Millisecond
	claimTimeoutFactor  = 5 // a claim without a verdict is abandoned after this many lease durations
	renewalsPerDuration = 3 // in each lease duration

	// renewalRetention is how long a renewal that is not read back is kept; leases are much shorter.
	renewalRetention = 5 * time.Minute
)

// Manager campaigns for leases on behalf of its process, and renews those that it holds.
type Manager struct {
	follower *tglogclient.Follower
	holder   tglease.Holder
	log      tglogclient.Log
	logger   *logrus.Entry

	mu        sync.Mutex
	campaigns map[string]*campaign
	monitor   *tglease.Monitor
	renewals  map[uuid.UUID]renewal // sent, but not read back yet
	table     *tglease.Table
}

type renewal struct {
	held []tglease.HeldLease // leases that the record renews
	sent time.Time           // time before the append; the leases are extended from it
}

type campaign struct {
	claim    tgrecord.Record // the last claim sent
	duration time.Duration
	pending  bool      // claim was sent and has no verdict yet
	renewed  time.Time // start of the last renewal
	sent     time.Time // start of the last claim
}

// NewManager returns a manager for one incarnation of a process.
func NewManager(log tglogclient.Log, holder tglease.Holder, logger *logrus.Entry) *Manager {
	m := &Manager{
		campaigns: map[string]*campaign{},
		holder:    holder,
		log:       log,
		logger:    logger,
		monitor:   tglease.NewMonitor(),
		renewals:  map[uuid.UUID]renewal{},
		table:     tglease.NewTable(),
	}
	m.follower = tglogclient.NewFollower(log, tglease.Stream, logger, m.apply)
	return m
}

// Campaign makes the manager try to hold the lease from now on.
func (m *Manager) Campaign(name string, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.campaigns[name]; !ok {
		m.campaigns[name] = &campaign{duration: duration}
	}
}

// Withdraw ends the campaign for a lease and releases it.
func (m *Manager) Withdraw(ctx context.Context, name string) {
	m.mu.Lock()
	m.endCampaign(name)
	m.mu.Unlock()
	m.release(ctx, []string{name})
}

// endCampaign ends the campaign for a lease; from then on this process does not regard itself as its holder, whatever
// is read back later. It must be called before the release is sent, since another process may claim the lease at once.
func (m *Manager) endCampaign(name string) {
	delete(m.campaigns, name)
	m.monitor.Forget(name)
}

// Held returns the fencing token of the lease if it is certain that this process holds it.
func (m *Manager) Held(name string) (tglease.Token, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.Held(m.table, m.holder, name, time.Now())
}

// Lease returns the state of a lease according to the log as read so far.
func (m *Manager) Lease(name string) (tglease.Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(name)
}

// Dump returns the manager's state.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		Follower tglogclient.FollowerStatus `json:"follower"`
		Held     []tglease.HeldLease        `json:"held"`
		Leases   map[string]tglease.Lease   `json:"leases"`
	}{m.follower.Status(), m.table.HeldBy(m.holder), m.table.All()}
}

// Run follows the log, claims and renews leases until ctx ends, and then releases the leases that it holds.
func (m *Manager) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { m.follower.Run(ctx) })
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.releaseAll(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			m.claimDue(ctx)
			m.renewDue(ctx)
		}
	}
}

func (m *Manager) apply(e tglogclient.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.table.Apply(e.Offset, e.Records)
	m.monitor.Observe(m.table, time.Now())
	for name, c := range m.campaigns {
		m.applyVerdict(name, c)
	}
	for _, r := range e.Records {
		m.confirmRenewal(e.Offset, r.ID)
	}
	return err
}

// confirmRenewal extends this process's leases that a renewal covers. A renewal takes effect only when it is read back:
// another process's claim may have been appended before it.
func (m *Manager) confirmRenewal(offset uint64, id uuid.UUID) {
	r, ok := m.renewals[id]
	if !ok {
		return
	}
	delete(m.renewals, id)
	for _, h := range r.held {
		if m.campaigns[h.Name] == nil {
			continue
		}
		if l, ok := m.table.Get(h.Name); ok && l.Offset == offset+1 && l.Token == h.Token && l.Holder == m.holder {
			m.monitor.Confirm(h.Name, h.Token, r.sent)
		}
	}
}

// applyVerdict ends the wait for a claim that has its verdict in the log, and confirms the lease if it was granted.
func (m *Manager) applyVerdict(name string, c *campaign) {
	verdict, ok := m.table.Verdict(c.claim.ID)
	if !c.pending || !ok {
		return
	}
	c.pending = false
	if l, _ := m.table.Get(name); verdict == tglease.Granted && l.Holder == m.holder {
		m.monitor.Confirm(name, l.Token, c.sent)
		c.renewed = c.sent
		m.logger.WithFields(logrus.Fields{"lease": name, "token": l.Token}).Info("lease acquired")
	}
}

// claimDue claims the leases that are free or have lapsed. It claims only if the end of the stream was reached
// recently, and puts each claim off with probability 1/2, so that one of many claimers comes first.
func (m *Manager) claimDue(ctx context.Context) {
	now := time.Now()
	current := now.Sub(m.follower.Status().Confirmed) < 2*time.Second
	m.mu.Lock()
	var due []tgrecord.Record
	for name, c := range m.campaigns {
		if !current || c.awaitsVerdict(now) || !m.claimable(name, now) || rand.IntN(2) == 0 { //nolint:gosec // jitter is no secret
			continue
		}
		body := tglease.Claim{Duration: c.duration, Holder: m.holder, Name: name}
		r, err := tgrecord.New(tgrecord.KindLeaseClaim, m.holder.Process, m.table.Applied(), body)
		if err != nil {
			m.logger.WithError(err).Error("cannot encode lease claim")
			continue
		}
		c.claim, c.pending, c.sent = r, true, now
		due = append(due, r)
	}
	m.mu.Unlock()
	m.append(ctx, due, "claim")
}

// awaitsVerdict reports whether the last claim may still get a verdict.
func (c *campaign) awaitsVerdict(now time.Time) bool {
	return c.pending && now.Sub(c.sent) < claimTimeoutFactor*c.duration
}

// claimable reports whether a claim could succeed; a lapsed lease of this process may be claimed again.
func (m *Manager) claimable(name string, now time.Time) bool {
	if l, ok := m.table.Get(name); ok && !l.Free && l.Holder == m.holder {
		_, held := m.monitor.Held(m.table, m.holder, name, now)
		return !held
	}
	return m.monitor.Claimable(m.table, name, now)
}

// renewDue renews all held leases in one record as soon as one of them is due.
func (m *Manager) renewDue(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	var held []tglease.HeldLease
	due := false
	for _, h := range m.table.HeldBy(m.holder) {
		c, ok := m.campaigns[h.Name]
		if _, valid := m.monitor.Held(m.table, m.holder, h.Name, now); !ok || !valid {
			continue
		}
		held = append(held, h)
		due = due || now.Sub(c.renewed) >= h.Duration/renewalsPerDuration
	}
	if !due {
		m.mu.Unlock()
		return
	}
	for _, h := range held {
		m.campaigns[h.Name].renewed = now
	}
	body := tglease.Renewal{Holder: m.holder, Leases: held}
	r, err := tgrecord.New(tgrecord.KindLeaseRenew, m.holder.Process, m.table.Applied(), body)
	if err == nil {
		maps.DeleteFunc(m.renewals, func(_ uuid.UUID, r renewal) bool { return now.Sub(r.sent) > renewalRetention })
		m.renewals[r.ID] = renewal{held: held, sent: now}
	}
	m.mu.Unlock()
	if err != nil {
		m.logger.WithError(err).Error("cannot encode lease renewal")
		return
	}
	m.append(ctx, []tgrecord.Record{r}, "renewal")
}

// append appends records with a timeout. If the reply is lost, the follower still learns the outcome from the log.
func (m *Manager) append(ctx context.Context, records []tgrecord.Record, what string) {
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := m.log.Append(ctx, tglease.Stream, records); err != nil {
		m.logger.WithError(err).WithField("record", what).Warn("append of lease record not confirmed")
	}
}

func (m *Manager) releaseAll(ctx context.Context) {
	m.mu.Lock()
	held := m.table.HeldBy(m.holder)
	names := make([]string, 0, len(held))
	for _, h := range held {
		m.endCampaign(h.Name)
		names = append(names, h.Name)
	}
	clear(m.campaigns)
	m.mu.Unlock()
	m.release(ctx, names)
}

func (m *Manager) release(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	m.mu.Lock()
	base := m.table.Applied()
	m.mu.Unlock()
	r, err := tgrecord.New(tgrecord.KindLeaseRelease, m.holder.Process, base, tglease.Release{Holder: m.holder, Names: names})
	if err != nil {
		m.logger.WithError(err).Error("cannot encode lease release")
		return
	}
	m.append(ctx, []tgrecord.Record{r}, "release")
}
