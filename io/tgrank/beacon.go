package tgrank

import "net/netip"

const maxCountsPerInterval = 16000 // of one byte each, from all ranks in one reportInterval, to fit the leader's link

// sendBeacons sends beacons to the agents on the VMs that include selects.
func (l *Leader) sendBeacons(a *Agent, include func(vm string) bool) {
	beacons, other := l.beacons()
	beacon := func(vm string) Beacon {
		if b, ok := beacons[vm]; ok {
			return b
		}
		return other
	}
	if include(l.VM) {
		a.handleBeacon(beacon(l.VM), netip.AddrPort{})
	}
	for _, p := range l.Peers() {
		if include(p.VM) {
			b := beacon(p.VM)
			a.send(envelope{Beacon: &b}, p.Address)
		}
	}
}

// beacons returns the beacon for each VM whose group is known, and the one for all other VMs. Only the agents of a
// group that changes report often, and those whose group is not known while any group changes. CountsEvery is the same
// for all, because the counts of all groups share the leader's link.
func (l *Leader) beacons() (byVM map[string]Beacon, other Beacon) {
	counts := 0
	other = Beacon{CountsEvery: 1, Token: l.term, VM: l.VM}
	for _, g := range l.groups {
		counts += len(g.members) * g.engine.Sets * g.engine.Experts
		other.FastReports = other.FastReports || g.changing()
		other.WantExperts = other.WantExperts || g.current == nil
	}
	other.CountsEvery = max(1, (counts+maxCountsPerInterval-1)/maxCountsPerInterval)
	byVM = map[string]Beacon{}
	for _, g := range l.groups {
		b := other
		b.FastReports, b.WantExperts = g.changing(), g.current == nil
		for _, m := range g.members {
			if m.report.VM != "" {
				byVM[m.report.VM] = b
			}
		}
	}
	return byVM, other
}

// sendSlowdowns publishes the slow engines while there are any, and an empty set once when none is slow any longer.
func (l *Leader) sendSlowdowns() {
	slow := map[netip.AddrPort]float64{}
	for _, g := range l.groups {
		for _, m := range g.members {
			if m.report.Slowdown > slowThreshold {
				slow[m.report.EngineAddress] = m.report.Slowdown
			}
		}
	}
	if l.PublishSlowdowns != nil && (len(slow) > 0 || l.slowdownsSent) {
		l.PublishSlowdowns(slow)
	}
	l.slowdownsSent = len(slow) > 0
}
