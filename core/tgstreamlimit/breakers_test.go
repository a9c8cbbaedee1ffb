package tgstreamlimit

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgretry"
)

// Guards against callers that are refused although a group of the pool runs, and against requests that go to a group that
// is known not to run: a rank of one group is lost, as an engine's answer or the leader tells, or ranks of both are.
func TestGroupsFailApart(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		after    time.Duration // from the failures to the request
		broken   string        // groups that the leader says are broken
		failed   string        // groups of which an engine has refused a request
		groups   string
		mayProbe bool
		want     string // groups that the request may go to
	}{
		"allRun":              {groups: "a b", mayProbe: true, want: "a b"},
		"bothBrokenByLeader":  {groups: "a b", broken: "a b", mayProbe: true, want: ""},
		"bothFailed":          {groups: "a b", failed: "a b", mayProbe: true, want: ""},
		"bothFailedProbe":     {after: time.Second, groups: "a b", failed: "a b", want: "a"},
		"leaderAloneSays":     {groups: "a b", broken: "a", mayProbe: true, want: "b"},
		"noProbeOfBroken":     {after: time.Second, groups: "a b", broken: "a", failed: "a", mayProbe: true, want: "b"},
		"noProbeByRetry":      {after: time.Second, groups: "a b", failed: "a", want: "b"},
		"oneFailed":           {groups: "a b", failed: "a", mayProbe: true, want: "b"},
		"oneFailedProbe":      {after: time.Second, groups: "a b", failed: "a", mayProbe: true, want: "a"},
		"onlyGroupByLeader":   {groups: "a", broken: "a", mayProbe: true, want: "a"},
		"onlyGroupFailed":     {groups: "a", failed: "a", mayProbe: true, want: ""},
		"onlyGroupProbe":      {after: time.Second, groups: "a", failed: "a", want: "a"},
		"restBrokenByLeader":  {groups: "a b", broken: "b", failed: "a", mayProbe: true, want: ""},
		"unknownGroupsFailed": {groups: "a b", failed: "", mayProbe: true, want: "a b"},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBreakers(func() float64 { return 0 })
			for _, g := range strings.Fields(c.failed) {
				b.Group(g).RecordFailure(now)
			}
			names := strings.Fields(c.groups)
			groups := make([]Group, 0, len(names))
			for _, g := range names {
				groups = append(groups, Group{Broken: slices.Contains(strings.Fields(c.broken), g), Name: g})
			}
			excluded, ok := b.Select(groups, c.mayProbe, now.Add(c.after))
			var allowed []string
			for _, g := range groups {
				if ok && !excluded[g.Name] {
					allowed = append(allowed, g.Name)
				}
			}
			assert.Equal(t, strings.Join(allowed, " "), c.want)
		})
	}
}

// Guards against a group that stays out of use after it has formed again, and against more probes of it than one in each
// probeInterval while another group serves.
func TestProbesEndExclusion(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreakers(func() float64 { return 0 })
	groups := []Group{{Name: "a"}, {Name: "b"}}
	b.Group("a").RecordFailure(now)
	probes := 0
	for i := range 400 { // 40 requests a second for 10 s
		at := now.Add(time.Duration(i) * 25 * time.Millisecond)
		excluded, ok := b.Select(groups, true, at)
		assert.Assert(t, ok)
		if excluded["b"] {
			probes++
			b.Group("a").RecordFailure(at)
		}
	}
	assert.Assert(t, probes >= 30 && probes <= 41, "%d of 400 were sent", probes)
	b.Group("a").RecordSuccess(now)
	excluded, ok := b.Select(groups, true, now)
	assert.Assert(t, ok && len(excluded) == 0)
}

// Guards against a time to come back that ends later than the first group is expected to run.
func TestRetryAfterOfFirstGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBreakers(func() float64 { return 0 })
	b.Group("a").RecordFailure(now)
	b.Group("b").RecordFailure(now.Add(2 * time.Second))
	assert.Equal(t, b.RetryAfter([]Group{{Name: "a"}, {Name: "b"}}, now.Add(2*time.Second)), tgretry.MinOutageWait)
}
