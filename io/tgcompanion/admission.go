package tgcompanion

import (
	"context"
	"time"

	"tanagergrade/core/tgadmit"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

// admit waits until the upstream can take the attempt; release ends it and takes its evidence.
func (c *Companion) admit(
	_ context.Context, _ *tgframe.Execute,
) (release func(tgadmit.Sample), failure *tgcall.Failure) {
	if !c.limiter.TryAcquire() {
		return nil, tgcall.NotRunFailure(tgcall.CodeOverloaded, "upstream %q is at its limit", c.upstream).
			WithRetryAfter(time.Second)
	}
	return c.limiter.Release, nil
}

// load returns the load report that goes to entries.
func (c *Companion) load() tgframe.Load {
	return tgframe.Load{InFlight: c.limiter.InFlight(), Limit: c.limiter.Limit()}
}
