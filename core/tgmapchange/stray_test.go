package tgmapchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a hold that ends because an answer to another call passed for that to an order to arm or disarm, although
// the rank has not carried it out (review, case 1): only reports count.
func TestAnswersAloneReleaseNothing(t *testing.T) {
	const version, step = 10, 20
	for name, c := range map[string]struct {
		phase Phase
		ranks []RankState // as reported after the answers
		want  Phase
	}{
		"aborting":       {phase: PhaseAborting, ranks: []RankState{{ArmedStep: step, ArmedVersion: version}, {}}, want: PhaseAborting},
		"abortingDone":   {phase: PhaseAborting, ranks: []RankState{{Prepared: version + 1}, {Prepared: version + 1}}, want: PhaseReleasing},
		"abortingOnlyOf": {phase: PhaseAborting, ranks: []RankState{{}, {Prepared: version + 1}}, want: PhaseAborting},
		"arming":         {phase: PhaseArming, ranks: []RankState{{}, {}}, want: PhaseArming},
		"armingDone": {phase: PhaseArming, ranks: []RankState{
			{ArmedStep: step, ArmedVersion: version}, {ArmedStep: step, ArmedVersion: version},
		}, want: PhaseReleasing},
		"armingOther": {phase: PhaseArming, ranks: []RankState{
			{ArmedStep: step + 1, ArmedVersion: version}, {ArmedStep: step, ArmedVersion: version},
		}, want: PhaseArming},
		"releasing":     {phase: PhaseReleasing, ranks: []RankState{{}, {Held: step}}, want: PhaseReleasing},
		"releasingDone": {phase: PhaseReleasing, ranks: []RankState{{}, {}}, want: PhaseSettling},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewSwitch(2, 1, version, 0, now)
			s.phase, s.step = c.phase, step
			if c.phase == PhaseAborting {
				for i := range s.ranks {
					s.ranks[i].attempts = 1
				}
				s.startAbort("arm")
			}
			before := []RankState{{Epoch: 1, Seen: now, Step: 1}, {Epoch: 1, Held: step, Seen: now, Step: 1}}
			for range 40 { // each order gets an answer at once
				now = now.Add(modelTick)
				for _, o := range s.NextOrders(before, now) {
					s.HandleResult(o, ResultDone, now)
				}
			}
			assert.Equal(t, s.Phase(), c.phase)
			now = now.Add(modelTick)
			for i := range c.ranks {
				c.ranks[i].Epoch, c.ranks[i].Seen, c.ranks[i].Step = 1, now, 1
			}
			s.NextOrders(c.ranks, now)
			assert.Equal(t, s.Phase(), c.want)
		})
	}
}

// Guards against a rank that counts as not armed because its VM, the leader's, froze while a change was undone and other
// ranks were no longer armed.
func TestLocalRankIsDisarmedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSwitch(3, 1, 10, 0, now)
	s.phase, s.step = PhaseArming, 20
	for i := range s.ranks {
		s.ranks[i].attempts = 1
	}
	s.startAbort("arm")
	ranks := make([]RankState, 3)
	for i := range ranks {
		ranks[i] = RankState{ArmedStep: 20, ArmedVersion: 10, Epoch: 1, Seen: now, Step: 1}
	}
	orders := s.NextOrders(ranks, now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Rank, 0)
	ranks[0].ArmedStep, ranks[0].ArmedVersion, ranks[0].Prepared = 0, 0, 11
	assert.Equal(t, len(s.NextOrders(ranks, now)), 2)
}

// Guards against a recovery that ends a hold although a rank is armed: the first report after the fencing was a copy of the
// one before, from a time at which the rank was not armed yet.
func TestRecoveryNeedsReportsAfterFencing(t *testing.T) {
	const version, step = 10, 20
	now := time.Unix(1000, 0)
	v := NewRecovery(2, 1, Predecessor{Rank: -1})
	for _, o := range v.NextOrders(make([]RankState, 2), now) {
		assert.Assert(t, o.IsFence())
		v.HandleResult(o, ResultRefused, now)
	}
	report := func(armed RankState) []Order {
		now = now.Add(30 * time.Millisecond)
		armed.Epoch, armed.Seen, armed.Step = 1, now, 1
		return v.NextOrders([]RankState{armed, {Epoch: 1, Held: step, Seen: now, Step: 1}}, now)
	}
	report(RankState{})
	assert.Equal(t, len(report(RankState{})), 0)
	orders := report(RankState{ArmedStep: step, ArmedVersion: version})
	assert.Equal(t, v.Phase(), RecoveryDisarming)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Operation, Disarm)
}
