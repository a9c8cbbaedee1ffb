package tgcompanion

import (
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
)

// check refuses work for capacity that operators do not want used.
func (c *Companion) check(e *tgframe.Execute) *tgcall.Failure {
	cfg := c.node.Config()
	u, ok := cfg.Upstreams[c.upstream]
	switch {
	case !ok || e.Upstream != c.upstream:
		return tgcall.NotRunFailure(tgcall.CodeNoUpstream, "upstream %q is not served here", e.Upstream)
	case u.State == tgconfig.Drained:
		return tgcall.NotRunFailure(tgcall.CodeDraining, "upstream %q is drained", c.upstream)
	case cfg.DataCentres[u.DataCentre].State == tgconfig.Withdrawn:
		return tgcall.NotRunFailure(tgcall.CodeDataCentreWithdrawn, "data centre %q is withdrawn", u.DataCentre)
	case !time.Now().Before(e.Deadline):
		return tgcall.NotRunFailure(tgcall.CodeDeadlineExceeded, "deadline passed before the request was run")
	default:
		return nil
	}
}
