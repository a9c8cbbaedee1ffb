package tglease

import "time"

// marginDivisor is the part of a lease's duration for which its holder stops before others may claim it;
// it covers clock rates that differ between VMs.
const marginDivisor = 10 // a tenth

// Monitor adds this process's clock to a Table: when others' leases may be claimed and how long own
// leases hold.
type Monitor struct {
	confirmed map[string]confirmation // own leases
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

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor() *Monitor {
	return &Monitor{confirmed: map[string]confirmation{}, observed: map[string]observation{}}
}

// Observe notes the leases of t that have changed since the last call.
func (m *Monitor) Observe(t *Table, now time.Time) {
	for name, l := range t.leases {
		if m.observed[name].offset != l.Offset {
			m.observed[name] = observation{at: now, offset: l.Offset}
		}
	}
}

// Claimable reports whether the lease is free or its holder has been silent for its duration.
func (m *Monitor) Claimable(t *Table, name string, now time.Time) bool {
	l, ok := t.leases[name]
	if !ok || l.Free {
		return true
	}
	o := m.observed[name]
	return o.offset == l.Offset && now.Sub(o.at) >= l.Duration
}

// Confirm notes that a claim or renewal of an own lease, sent at the given time, is in the log.
func (m *Monitor) Confirm(name string, token Token, sent time.Time) {
	if c := m.confirmed[name]; token > c.token || token == c.token && sent.After(c.sent) {
		m.confirmed[name] = confirmation{sent: sent, token: token}
	}
}

// Forget ends what Confirm has noted about a lease.
func (m *Monitor) Forget(name string) { delete(m.confirmed, name) }

// Held returns the token of an own lease, if it holds at now without doubt.
func (m *Monitor) Held(t *Table, holder Holder, name string, now time.Time) (Token, bool) {
	l, ok := t.leases[name]
	c := m.confirmed[name]
	if !ok || l.Free || l.Holder != holder || c.token != l.Token {
		return 0, false
	}
	return l.Token, now.Sub(c.sent) < l.Duration-l.Duration/marginDivisor
}
