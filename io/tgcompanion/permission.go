package tgcompanion

import (
	"time"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

// checkAllowed returns why an attempt must not run here, or nil if it may. It refuses attempts while operators have
// removed the upstream from service, and all attempts while this process may have missed a configuration change.
func (c *Companion) checkAllowed(e *tgframe.Execute) *tgcall.Failure {
	if e.Upstream != c.upstream {
		return tgcall.NotRunFailure(tgcall.CodeNoUpstream, "upstream %q is not served here", e.Upstream)
	}
	if err := c.node.Ready(); err != nil {
		code := tgcall.CodeCutOff
		if c.node.Applied() == 0 {
			code = tgcall.CodeConfigurationMissing
		}
		return tgcall.NotRunFailure(code, "upstream %q takes no work: %v", c.upstream, err)
	}
	if f := c.node.RemovalReason(c.upstream); f != nil {
		return f
	}
	if c.membership.stalled() {
		return tgcall.NotRunFailure(tgcall.CodeNoUpstream, "the rank group of upstream %q makes no steps", c.upstream).
			WithRetryAfter(time.Second)
	}
	if !time.Now().Before(e.Deadline) {
		return tgcall.NotRunFailure(tgcall.CodeDeadlineExceeded, "deadline passed before the request was run")
	}
	return nil
}
