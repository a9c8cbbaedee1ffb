package tgmember

import (
	"cmp"
	"math"
	"slices"

	"tanagergrade/core/tgframe"
)

const (
	minTransmits    = 8 // transmissions of an update in addition to those for the size of the view
	repeatTransmits = 4 // further transmissions of a suspicion or death that its subject seems not to have received

	// transmitFactor times ln(n) transmissions reach all n members with 30% of messages lost: the share of members
	// that miss an update is about exp(-0.7 * transmissions).
	transmitFactor = 3
)

// transmitLimit returns how often an update is passed on in a view of the given size.
func transmitLimit(members int) int {
	return minTransmits + int(transmitFactor*math.Log(float64(members+1)))
}

// Updates returns up to limit member updates for a receiver and counts them as passed on. Updates about the receiver come
// first, then leaving marks, then those with the most transmissions left. Only leaving marks cross data centres.
func (t *Table) Updates(receiver, dataCentre string, limit int) []tgframe.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pending []*entry
	for _, e := range t.pending {
		local := e.DataCentre == dataCentre && dataCentre == t.self.DataCentre
		if local || e.Status == tgframe.MemberLeaving {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(-cmp.Compare(sendPriority(a, receiver), sendPriority(b, receiver)),
			-cmp.Compare(a.transmitsLeft, b.transmitsLeft), cmp.Compare(a.Name, b.Name))
	})
	updates := make([]tgframe.Member, 0, min(limit, len(pending)))
	for _, e := range pending[:min(limit, len(pending))] {
		if e.transmitsLeft--; e.transmitsLeft <= 0 {
			delete(t.pending, e.Name)
		}
		updates = append(updates, e.Member)
	}
	return updates
}

// sendPriority ranks a pending update for a receiver; the highest is sent first.
func sendPriority(e *entry, receiver string) int {
	switch {
	case e.Name == receiver:
		return 2
	case e.Status == tgframe.MemberLeaving:
		return 1
	default:
		return 0
	}
}

// newer reports whether m is a later process or a later refutation than old.
func newer(m, old tgframe.Member) bool {
	if old.Status == tgframe.MemberLeaving {
		// A leaving process still answers; only a later process on that VM shows that the VM stays.
		return m.Generation > old.Generation && old.Generation > 0
	}
	return m.Generation > old.Generation || m.Generation == old.Generation && m.Incarnation > old.Incarnation
}

// supersedes reports whether the passed-on update m replaces old.
func supersedes(m, old tgframe.Member) bool {
	if newer(m, old) {
		return true
	}
	if old.Status == tgframe.MemberLeaving || m.Generation < old.Generation && m.Status != tgframe.MemberLeaving {
		return false
	}
	if m.Status == tgframe.MemberLeaving {
		return m.Generation >= old.Generation || m.Generation == 0
	}
	return m.Generation == old.Generation && m.Incarnation == old.Incarnation && severity(m.Status) > severity(old.Status)
}

// severity orders the statuses of one incarnation: a more severe status replaces a less severe one.
func severity(s tgframe.MemberStatus) int {
	switch s {
	case tgframe.MemberAlive:
		return 1
	case tgframe.MemberSuspect:
		return 2
	case tgframe.MemberDead:
		return 3
	case tgframe.MemberLeaving:
		return 4
	default:
		return 0
	}
}
