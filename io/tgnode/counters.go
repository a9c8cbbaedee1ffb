package tgnode

import (
	"expvar"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgframe"
)

// counters counts the control frames that one daemon sends and receives, and how fast changes reach it.
type counters struct {
	vars *expvar.Map
}

func newCounters() *counters { return &counters{vars: new(expvar.Map).Init()} }

func (c *counters) countSent(f tgframe.Frame) { c.count("sent", f) }

func (c *counters) countReceived(f tgframe.Frame) { c.count("received", f) }

func (c *counters) count(direction string, f tgframe.Frame) {
	size := 0
	if f.FetchResult != nil && f.FetchResult.Snapshot != nil {
		size = len(f.FetchResult.Snapshot)
	} else if data, err := cbor.Marshal(f); err == nil {
		size = len(data)
	}
	c.vars.Add(direction+"Bytes", int64(size))
	c.vars.Add(direction+"Messages", 1)
	c.vars.Add(direction+"."+string(f.Kind), 1)
}

// recordPropagation counts an applied change; delay is the time from its first read from the log by any daemon to its
// application here.
func (c *counters) recordPropagation(delay time.Duration) {
	c.vars.Add("changesApplied", 1)
	c.vars.Add("spreadMicroseconds", delay.Microseconds())
	longest, _ := c.vars.Get("longestSpreadMicroseconds").(*expvar.Int)
	if longest == nil {
		longest = new(expvar.Int)
		c.vars.Set("longestSpreadMicroseconds", longest)
	}
	longest.Set(max(longest.Value(), delay.Microseconds()))
}
