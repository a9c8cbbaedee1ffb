package tgproxy

import (
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tgpicker"
	"tanagergrade/core/tgstreamlimit"
)

// Placement is by whose streams the load of an upstream is judged.
type Placement string

// The placements.
const (
	PlacementAuto   Placement = "auto"   // PlacementShared where a pool has several groups, else PlacementOwn
	PlacementOwn    Placement = "own"    // by the streams of this process
	PlacementShared Placement = "shared" // by the streams of all entries, as the leader of the groups reports them
)

// Placements are all placements.
func Placements() []Placement { return []Placement{PlacementAuto, PlacementOwn, PlacementShared} }

// WithGroups sets the view of the rank groups and the placement that uses the loads in it.
func WithGroups(v *tggroupview.View, p Placement) Option {
	return func(s *Server) { s.groups, s.placement = v, p }
}

// callGroups is what a call knows of the groups of its pool.
type callGroups struct {
	all      []tgstreamlimit.Group // empty if the pool is not known to have more than one
	excluded map[string]bool       // names of those that the next attempt must not go to
}

// poolGroups returns the groups of a pool's upstreams, or none if they are not known to be in more than one: then a
// failure counts for the whole pool.
func (s *Server) poolGroups(pool string, now time.Time) []tgstreamlimit.Group {
	upstreams, progress := s.catalog.Upstreams(pool), s.progress(pool)
	index := map[string]int{}
	var groups []tgstreamlimit.Group
	known := 0
	for i := range upstreams {
		name, ok := s.groups.Group(upstreams[i].Address)
		if _, seen := index[name]; seen {
			continue
		}
		if ok {
			known++
		}
		index[name] = len(groups)
		open, told := s.groups.Open(upstreams[i].Address, now)
		groups = append(groups, tgstreamlimit.Group{Broken: told && !open || progress.Stalled(name), Name: name})
	}
	if known <= 1 {
		return nil
	}
	return groups
}

// poolRuns reports whether any group of a pool is known to run requests.
func (s *Server) poolRuns(pool string, now time.Time) bool {
	return s.breakers(pool).Runs(s.poolGroups(pool, now))
}

// mayProbe reports whether a request may test a pool of which no group runs.
func (s *Server) mayProbe(pool string, now time.Time) bool {
	_, ok := s.breakers(pool).Select(s.poolGroups(pool, now), true, now)
	return ok
}

// selectGroups chooses the groups that the next attempt may go to. It returns false if no group of the pool runs.
func (s *Server) selectGroups(c *call, mayProbe bool) bool {
	now := time.Now()
	c.groups.all = s.poolGroups(c.pool, now)
	var ok bool
	c.groups.excluded, ok = s.breakers(c.pool).Select(c.groups.all, mayProbe, now)
	return ok
}

// selectOtherGroup chooses the groups that the attempt after a failed one may go to. It returns false if no group of the
// pool runs; where there is one group, only an outage says so.
func (s *Server) selectOtherGroup(c *call, v verdict) bool {
	if len(c.groups.all) == 0 {
		return v != verdictOutage
	}
	if !s.selectGroups(c, false) {
		return false
	}
	if v == verdictOutage {
		s.counters.Add("attemptsMovedToOtherGroup", 1)
	}
	return true
}

// groupBreaker returns the circuit breaker that an answer of an upstream concerns.
func (s *Server) groupBreaker(c *call, u *tgcatalog.Upstream) *tgstreamlimit.Breaker {
	name := ""
	if len(c.groups.all) > 0 {
		name, _ = s.groups.Group(u.Address)
	}
	return s.breakers(c.pool).Group(name)
}

// candidates returns the upstreams that the next attempt may go to.
func (s *Server) candidates(c *call) []tgcatalog.Upstream {
	all := s.catalog.Upstreams(c.pool)
	if len(c.groups.excluded) == 0 {
		return all
	}
	list := make([]tgcatalog.Upstream, 0, len(all))
	for i := range all {
		if name, _ := s.groups.Group(all[i].Address); !c.groups.excluded[name] {
			list = append(list, all[i])
		}
	}
	return list
}

// outageRetryAfter returns the time after which a caller should retry while no group of the pool runs.
func (s *Server) outageRetryAfter(c *call) time.Duration {
	return s.breakers(c.pool).RetryAfter(c.groups.all, time.Now())
}

// sharesLoads reports whether the attempts of a call are placed by the load from all entries.
func (s *Server) sharesLoads(c *call) bool {
	switch s.placement {
	case PlacementShared:
		return true
	case PlacementAuto:
		return len(c.groups.all) > 1 || c.config.RanksStreams(c.pool)
	case PlacementOwn:
	}
	return false
}

// upstreamLoads returns the streams of all entries on upstreams. The clock is read once, as a choice asks for many.
func (s *Server) upstreamLoads() tgpicker.LoadFunc {
	now := time.Now()
	return func(u *tgcatalog.Upstream) (streams float64, counted time.Time, ok bool) {
		streams, age, ok := s.groups.Load(u.Address, now)
		return streams, now.Add(-age), ok
	}
}

// progress returns what this process sees of the passes of a pool's groups.
func (s *Server) progress(pool string) *tggroupview.Progress {
	return s.poolProgress.GetOrCreate(pool, tggroupview.NewProgress)
}

const stallGapFactor = 2 // times the longest pause on time after which a silent group counts as stalled

// recordProgress notes events of a stream as progress of its group, if the pool has several.
func (s *Server) recordProgress(c *call, x *exchange, now time.Time) {
	switch {
	case x.group != "":
		s.progress(c.pool).Event(x.group, now)
	case len(c.groups.all) > 1 && c.route.EventGapTarget > 0:
		if name, ok := s.groups.Group(x.target.Address); ok {
			x.group = name
			s.progress(c.pool).Begin(name, stallGapFactor*c.route.EventGapTarget, now)
		}
	}
}

// endProgress ends what recordProgress has noted of a stream.
func (s *Server) endProgress(c *call, x *exchange) {
	if x.group != "" {
		s.progress(c.pool).End(x.group)
	}
}

// spansStall reports whether the pause of a stream since an event is due to a stall of its group, not to the load.
func (s *Server) spansStall(c *call, x *exchange, since time.Time) bool {
	return x.group != "" && s.progress(c.pool).StalledSince(x.group, since)
}
