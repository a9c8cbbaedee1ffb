package tgnode

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgfreshness"
)

// removedCapacity is what marks and the VM list take out of use; it is replaced, never modified.
type removedCapacity struct {
	drained   map[string]bool         // upstreams
	leaving   map[netip.AddrPort]bool // companions
	withdrawn map[string]bool         // data centres
}

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

// RemovalVersion grows when what Usable says may have changed although the configuration has not.
func (n *Node) RemovalVersion() uint64 { return n.removalVersion.Load() }

// Usable reports whether new work may go to an upstream, as far as configuration, marks and the VM list say.
func (n *Node) Usable(upstream string) bool { return n.RemovalReason(upstream) == nil }

// RemovalReason returns why an upstream takes no new work; nil if it does.
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

// Freshness returns whether this process may work on the configuration that it has.
func (n *Node) Freshness() tgfreshness.Status {
	return n.tracker.Status(n.regionDataCentres(), n.Applied())
}

// Ready returns why this process must not take new work; nil if it may.
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
