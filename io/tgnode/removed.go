package tgnode

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgfreshness"
)

// removedCapacity is the capacity that marks and the VM list remove from use. A value is replaced, never modified.
type removedCapacity struct {
	drained   map[string]bool         // by name of upstream
	leaving   map[netip.AddrPort]bool // by address of the companion on a leaving VM
	withdrawn map[string]bool         // by name of data centre
}

// updateRemoved derives the removed capacity from the marks and the leaving members.
func (n *Node) updateRemoved() {
	r := &removedCapacity{drained: map[string]bool{}, leaving: n.members.LeavingAddresses(), withdrawn: map[string]bool{}}
	for _, m := range n.marks.Marks() {
		if m.Kind == tgframe.MarkWithdraw {
			r.withdrawn[m.Name] = true
		} else {
			r.drained[m.Name] = true
		}
	}
	n.removed.Store(r)
	n.removalVersion.Add(1)
}

// RemovalVersion returns a number that grows whenever the results of Usable may have changed without a new
// configuration.
func (n *Node) RemovalVersion() uint64 { return n.removalVersion.Load() }

// Usable reports whether the configuration, marks and the VM list allow new work on an upstream.
func (n *Node) Usable(upstream string) bool { return n.RemovalReason(upstream) == nil }

// RemovalReason returns why an upstream takes no new work, or nil if it does.
func (n *Node) RemovalReason(upstream string) *tgcall.Failure {
	cfg := n.Config()
	u, ok := cfg.Upstreams[upstream]
	r := n.removed.Load()
	switch {
	case !ok:
		return tgcall.NotRunFailure(tgcall.CodeNoUpstream, "upstream %q is not configured", upstream)
	case u.State == tgconfig.Drained || r.drained[upstream]:
		return tgcall.NotRunFailure(tgcall.CodeDraining, "upstream %q is drained", upstream)
	case r.leaving[u.Companion]:
		return tgcall.NotRunFailure(tgcall.CodeDraining, "the VM of upstream %q is leaving", upstream)
	case cfg.DataCentres[u.DataCentre].State == tgconfig.Withdrawn || r.withdrawn[u.DataCentre]:
		return tgcall.NotRunFailure(tgcall.CodeDataCentreWithdrawn, "data centre %q is withdrawn", u.DataCentre)
	default:
		return nil
	}
}

// Freshness reports whether the applied configuration is recent enough for this process to take work.
func (n *Node) Freshness() tgfreshness.Status {
	return n.tracker.Status(n.regionDataCentres(), n.Applied())
}

// Ready returns why this process must not take new work, or nil if it may.
func (n *Node) Ready() error {
	switch {
	case n.Applied() == 0:
		return errors.New("configuration is missing")
	case !n.runStarted.Load():
		return nil
	case !n.bootstrapped.Load():
		return errors.New("configuration has not been compared with the log or several peers yet")
	}
	switch s := n.Freshness(); s {
	case tgfreshness.Behind, tgfreshness.CutOff:
		return errors.Newf("configuration may be out of date: %s", s)
	default:
		return nil
	}
}
