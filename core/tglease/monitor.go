package tglease

import "time"

// marginDivisor divides a lease's duration to give the time by which its holder stops before others may claim it. The
// margin of a tenth covers clock rates that differ between VMs.
const marginDivisor = 10

// Monitor adds this process's clock to a Table: it determines when leases of other holders may be claimed and how long
// this process's leases are valid.
type Monitor struct {
	confirmed map[string]confirmation // leases of this process
	observed  map[string]observation  // all leases
}

type confirmation struct {
	sent  time.Time // before the accepted claim or renewal was sent
	token Token
}

type observation struct {
	at     time.Time // when this process first saw offset
	offset uint64
}

// NewMonitor returns a monitor without observations or confirmations.
func NewMonitor() *Monitor {
	return &Monitor{confirmed: map[string]confirmation{}, observed: map[string]observation{}}
}

// Observe records at now the leases of t that have changed since the last call.
func (m *Monitor) Observe(t *Table, now time.Time) {
	for name, l := range t.leases {
		if m.observed[name].offset != l.Offset {
			m.observed[name] = observation{at: now, offset: l.Offset}
		}
	}
}

// Claimable reports whether the lease is free, or this process has observed no renewal for the lease's duration.
func (m *Monitor) Claimable(t *Table, name string, now time.Time) bool {
	l, ok := t.leases[name]
	if !ok || l.Free {
		return true
	}
	o := m.observed[name]
	return o.offset == l.Offset && now.Sub(o.at) >= l.Duration
}

// Confirm records that a claim or renewal of a lease by this process, sent at the given time, is in the log.
func (m *Monitor) Confirm(name string, token Token, sent time.Time) {
	if c := m.confirmed[name]; token > c.token || token == c.token && sent.After(c.sent) {
		m.confirmed[name] = confirmation{sent: sent, token: token}
	}
}

// Forget removes what Confirm has recorded about a lease.
func (m *Monitor) Forget(name string) { delete(m.confirmed, name) }

// Held returns the token of a lease of holder, which is this process, and whether it is certainly valid at now.
func (m *Monitor) Held(t *Table, holder Holder, name string, now time.Time) (Token, bool) {
	l, ok := t.leases[name]
	c := m.confirmed[name]
	if !ok || l.Free || l.Holder != holder || c.token != l.Token {
		return 0, false
	}
	return l.Token, now.Sub(c.sent) < l.Duration-l.Duration/marginDivisor
}
