package tgproxy

import (
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgcost"
)

// Costs returns the estimator of the lengths of answers, which entries share.
func (s *Server) Costs() *tgcost.Estimator { return s.costs }

// What an upstream is chosen by beside the streams of this process, as it appears in logs.
const (
	placedByCost   = "cost"
	placedByShared = "shared"
)

// WithUnevenSpread makes streams be placed by what they are expected to cost on routes whose answers differ by much: the
// logarithm of their lengths has at least this standard deviation. 0 leaves costs out of account.
func WithUnevenSpread(spread float64) Option {
	return func(s *Server) { s.unevenSpread = spread }
}

// placesByCost reports whether the attempts of a call are placed by what streams are expected to cost.
func (s *Server) placesByCost(c *call) bool {
	return c.route.Kind == tgcatalog.KindStreaming && s.unevenSpread > 0 && s.costs.Uneven(c.route.Name, s.unevenSpread)
}

// estimate estimates what a stream costs.
func (s *Server) estimate(c *call) {
	if c.route.Kind != tgcatalog.KindStreaming {
		return
	}
	c.costRequest.Account = c.account.Name
	c.costRequest.Prior = c.config.Pools[c.pool].Engine.UsualAnswer
	c.estimate = s.costs.Estimate(c.costRequest, time.Now())
}

// recordCost records the length of a stream that has ended as a whole.
func (s *Server) recordCost(c *call) {
	if c.produced > 0 {
		s.costs.Observe(c.costRequest, c.estimate, c.produced, time.Now())
	}
}

// startJob records the work of an attempt at a stream for its upstream. endJob removes it.
func (s *Server) startJob(c *call, upstream string) {
	if c.route.Kind == tgcatalog.KindStreaming {
		c.job = s.ledger.Start(upstream, c.estimate, c.produced)
	}
}

func (c *call) endJob() {
	if c.job != nil {
		c.job.End()
		c.job = nil
	}
}

// tokensPerEvent returns the tokens of an event of a stream: an engine writes one event in each pass.
func (c *call) tokensPerEvent() float64 {
	return float64(max(1, c.config.Pools[c.pool].Engine.StepsPerPass))
}

// recordTokens records that the upstream has produced more events of a stream.
func (c *call) recordTokens(events int) {
	tokens := float64(events) * c.tokensPerEvent()
	c.produced += tokens
	if c.job != nil {
		c.job.Progress(tokens)
	}
}
