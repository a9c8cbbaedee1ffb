package tgmapchange

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var seeds = flag.Int("seeds", 60, "random runs of the exploration")

// modelLeader drives changes and recoveries as the leader of a group does.
type modelLeader struct {
	change              *Switch
	deposed             bool // a rank or a change reported a higher token
	endedChanges        int
	frozenUntil         time.Time // until then it does nothing
	hearsAt             time.Time // when it hears of a later leader
	id                  int
	rank                int   // on the leader's VM
	recoveredEpoch      int64 // epoch of the last recovery
	recovery            *Recovery
	recoveryNeededSince time.Time
	token               int64
	version             int64
}

// delivery is an order in flight, or its answer.
type delivery struct {
	answer bool
	at     time.Time
	from   *modelLeader
	order  Order
	result Result
	target any // the change or recovery that waits for the answer
}

const (
	modelTick  = 5 * time.Millisecond
	modelRanks = 4
)

// disturbances are what goes wrong in a run.
type disturbances struct {
	late     float64 // share of orders that have no answer and are carried out seconds later
	lost     float64 // share of orders or answers that are lost
	repeated float64 // share of reports of which a copy comes in place of the next one
	returns  float64 // share of changes of the leader after a return of the store; 0 if it never returns
	stray    float64 // share of orders that get a copy of the rank's last answer instead of their own, and answers that come twice
	unfenced bool    // ranks take orders with any token
}

// exploration is one random run.
type exploration struct {
	disturbances

	group    *modelGroup
	inFlight []delivery
	leaders  []*modelLeader
	now      time.Time
	election modelElection
	rand     *rand.Rand

	// Used where reports may be repeated.
	nextReport  time.Time
	reported    []RankState
	wasRepeated [modelRanks]bool
}

func (x *exploration) send(l *modelLeader, target any, orders []Order) {
	for _, o := range orders {
		at := x.now.Add(time.Duration(1+x.rand.IntN(15)) * time.Millisecond)
		f := delivery{at: at, from: l, order: o, target: target}
		p := x.rand.Float64() // not drawn again, so that earlier seeds play the same runs
		if x.stray > 0 && x.rand.Float64() < x.stray && !o.IsFence() {
			x.sendStray(f)
			continue
		}
		switch {
		case p < x.late: // no answer, and the order is carried out seconds later
			late := f
			late.target = nil
			late.at = x.now.Add(2*time.Second + time.Duration(x.rand.IntN(10000))*time.Millisecond)
			x.inFlight = append(x.inFlight, late)
			f.answer, f.result, f.at = true, ResultUnknown, x.now.Add(80*time.Millisecond)
		case p < x.late+x.lost/2: // the order is lost
			f.answer, f.result, f.at = true, ResultUnknown, x.now.Add(80*time.Millisecond)
		case p < x.late+x.lost: // the answer is lost
			done := f
			done.target = nil
			x.inFlight = append(x.inFlight, done)
			f.answer, f.result, f.at = true, ResultUnknown, x.now.Add(80*time.Millisecond)
		}
		x.inFlight = append(x.inFlight, f)
	}
}

// sendStray answers an order with a copy of the rank's last answer. The order itself is lost, carried out, or carried out
// seconds later. A fencing order has a connection of its own, where no such copy can come.
func (x *exploration) sendStray(f delivery) {
	stray := f
	stray.answer, stray.result = true, x.group.ranks[f.order.Rank].lastResult
	stray.at = x.now.Add(time.Duration(1+x.rand.IntN(10)) * time.Millisecond)
	if stray.result == "" {
		stray.result = ResultDone // of a report
	}
	x.inFlight = append(x.inFlight, stray)
	f.target = nil
	switch x.rand.IntN(3) {
	case 0:
		x.inFlight = append(x.inFlight, f)
	case 1:
		f.at = x.now.Add(2*time.Second + time.Duration(x.rand.IntN(10000))*time.Millisecond)
		x.inFlight = append(x.inFlight, f)
	default:
	}
}

func (x *exploration) deliver() {
	var rest, due []delivery
	for _, f := range x.inFlight {
		if f.at.After(x.now) {
			rest = append(rest, f)
		} else {
			due = append(due, f)
		}
	}
	x.inFlight = rest
	for _, f := range due {
		if f.answer {
			x.deliverResult(f)
			continue
		}
		if cut := x.group.ranks[f.order.Rank].unreachableUntil; x.now.Before(cut) { // it arrives when the VM resumes
			f.at = cut
			x.inFlight = append(x.inFlight, f)
			continue
		}
		r := x.group.execute(f.order, f.from.token, f.from.id, x.now, x.rand)
		if f.target != nil {
			f.answer, f.result = true, r
			f.at = x.now.Add(time.Duration(1+x.rand.IntN(10)) * time.Millisecond)
			x.inFlight = append(x.inFlight, f)
			if x.stray > 0 && x.rand.Float64() < x.stray {
				f.at = f.at.Add(time.Duration(x.rand.IntN(200)) * time.Millisecond)
				x.inFlight = append(x.inFlight, f)
			}
		}
	}
}

func (x *exploration) deliverResult(f delivery) {
	l := f.from
	if x.now.Before(l.frozenUntil) { // it reads the answer when it resumes
		f.at = l.frozenUntil
		x.inFlight = append(x.inFlight, f)
		return
	}
	switch {
	case f.target == any(l.change) && l.change != nil:
		l.change.HandleResult(f.order, f.result, x.now)
	case f.target == any(l.recovery) && l.recovery != nil:
		l.recovery.HandleResult(f.order, f.result, x.now)
	}
	l.deposed = l.deposed || f.result == ResultFenced
}

// reports returns the ranks' newest reports. Where they may be repeated, each rank reports every 30 ms, and a copy of the
// report before may come in place of the next one, as if it were new.
func (x *exploration) reports() []RankState {
	if x.repeated == 0 {
		return x.group.states(x.now)
	}
	if x.now.Before(x.nextReport) {
		return x.reported
	}
	x.nextReport = x.now.Add(30 * time.Millisecond)
	states := x.group.states(x.now)
	next := make([]RankState, len(states))
	for i, s := range states {
		next[i] = s
		if x.rand.Float64() < x.repeated && x.reported != nil && !x.wasRepeated[i] && s.Seen.Equal(x.now) {
			next[i] = x.reported[i]
			next[i].Seen = x.now
			x.wasRepeated[i] = true // its connection ends
			continue
		}
		x.wasRepeated[i] = false
	}
	x.reported = next
	return next
}

// hearBeacon ends the term of a leader that is awake and hears of a later one. Where ranks refuse lower tokens, a term ends
// by their answers alone, so that earlier seeds play the same runs.
func (x *exploration) hearBeacon(l *modelLeader) {
	if !x.unfenced || l.id == len(x.leaders)-1 || x.now.Before(l.frozenUntil) {
		return
	}
	if l.hearsAt.Before(l.frozenUntil) || l.hearsAt.IsZero() {
		l.hearsAt = x.now.Add(time.Duration(x.rand.IntN(300)) * time.Millisecond)
	}
	l.deposed = l.deposed || !x.now.Before(l.hearsAt)
}

func (x *exploration) runLeader(l *modelLeader) {
	x.hearBeacon(l)
	if l.deposed || x.now.Before(l.frozenUntil) {
		return
	}
	ranks := x.reports()
	ready := true
	for _, r := range ranks {
		ready = ready && x.now.Sub(r.Seen) < 900*time.Millisecond
	}
	switch {
	case l.change != nil:
		x.send(l, l.change, l.change.NextOrders(ranks, x.now))
		if l.change.Ended() {
			l.endedChanges++
			l.deposed = l.deposed || l.change.Phase() == PhaseLost
			l.change = nil
		}
	case l.recovery != nil:
		x.send(l, l.recovery, l.recovery.NextOrders(ranks, x.now))
		if l.recovery.Ended() {
			l.deposed = l.deposed || l.recovery.Phase() == RecoveryLost
			l.recovery, l.recoveryNeededSince = nil, time.Time{}
		}
	case l.recoveredEpoch != x.group.epoch:
		l.recover(x, len(ranks))
	case RecoveryNeeded(ranks):
		if l.recoveryNeededSince.IsZero() {
			l.recoveryNeededSince = x.now
		}
		if x.now.Sub(l.recoveryNeededSince) > 400*time.Millisecond {
			l.recover(x, len(ranks))
		}
	case ready && !AnyArmed(ranks) && x.rand.IntN(20) == 0:
		l.recoveryNeededSince = time.Time{}
		l.version += 2
		l.change = NewSwitch(len(ranks), x.group.epoch, l.version, l.rank, x.now)
	}
}

// recover begins a recovery; the leader may not know its predecessor.
func (l *modelLeader) recover(x *exploration, n int) {
	predecessor := Predecessor{Rank: -1}
	if l.id > 0 && x.rand.IntN(4) > 0 {
		predecessor = Predecessor{Rank: x.leaders[l.id-1].rank, Token: x.leaders[l.id-1].token}
	}
	l.recovery, l.recoveredEpoch = NewRecovery(n, x.group.epoch, predecessor), x.group.epoch
}

// injectFaults freezes and replaces leaders, restarts the group and lets it idle.
func (x *exploration) injectFaults() {
	switch x.rand.IntN(1200) {
	case 0, 1:
		token := int64(len(x.leaders) + 1)
		if x.returns > 0 {
			token = x.election.next(x.returns)
		}
		x.leaders = append(x.leaders, &modelLeader{
			id: len(x.leaders), rank: x.rand.IntN(modelRanks), token: token, version: FirstVersion(token),
		})
	case 2, 3:
		l := x.leaders[x.rand.IntN(len(x.leaders))]
		l.frozenUntil = x.now.Add(time.Duration(x.rand.IntN(4000)) * time.Millisecond)
		if x.rand.IntN(2) == 0 { // its VM freezes too
			x.group.ranks[l.rank].unreachableUntil = l.frozenUntil
		}
	case 4:
		x.group.restart(x.now)
	case 5, 6, 7:
		x.group.idle = !x.group.idle
	}
}

// modelElection is the election of the leaders where the store returns from older copies: it gives out generations again, in
// another era, and a new leader may begin while the one before leads on.
type modelElection struct {
	era        int64
	generation int64
	rand       *rand.Rand // of its own, so that earlier seeds play the same runs
}

const modelGenerationBits = 24 // of a token, below the era

// next returns the token of the next leader, as the ranks see it. The store has returned before with probability p.
func (e *modelElection) next(p float64) int64 {
	e.generation++
	if e.rand.Float64() < p {
		e.era++
		e.generation = e.rand.Int64N(e.generation) + 1
	}
	return e.era<<modelGenerationBits + e.generation
}

func explore(seed uint64, d disturbances, length time.Duration) *exploration {
	x := &exploration{disturbances: d, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	x.group = newModelGroup(modelRanks, x.now)
	x.group.unfenced = d.unfenced
	x.leaders = []*modelLeader{{token: 1, version: 1 << 20}}
	x.election = modelElection{generation: 1, rand: rand.New(rand.NewPCG(seed, 2))}
	for end := x.now.Add(length); x.now.Before(end) && x.group.violation == ""; x.now = x.now.Add(modelTick) {
		x.injectFaults()
		x.deliver()
		for _, l := range x.leaders {
			x.runLeader(l)
		}
		x.group.beginDuePass(x.now, modelTick, x.rand)
	}
	return x
}

// Guards against a pass that begins while two ranks have different maps, when orders or answers are lost, orders are
// carried out seconds later, a copy of an earlier answer or report comes in place of the next one or an answer comes twice,
// leaders freeze and are replaced, groups idle or restart, and the store of the election returns from older copies.
func TestNoPassWithTwoMaps(t *testing.T) {
	for name, c := range map[string]disturbances{
		"noLoss":    {},
		"late":      {late: 0.1},
		"lateOften": {late: 0.35},
		"lossy":     {lost: 0.2},
		"both":      {late: 0.2, lost: 0.2},
		"stray":     {stray: 0.1},
		"strayLate": {late: 0.1, lost: 0.1, stray: 0.1},
		"repeated":  {late: 0.1, lost: 0.1, repeated: 0.1, stray: 0.1},
		"returns":   {late: 0.1, lost: 0.1, returns: 0.5, stray: 0.1},
	} {
		t.Run(name, func(t *testing.T) { checkSeeds(t, c) })
	}
}

// Guards against the same where ranks take orders with any token: an order of a former leader that comes late, or one that it
// sends before it has heard of its successor, is carried out. Known to fail, see KNOWN-RED.txt.
func TestNoPassWithTwoMapsUnfenced(t *testing.T) {
	for name, c := range map[string]disturbances{
		"noLoss":   {unfenced: true},
		"late":     {late: 0.1, unfenced: true},
		"lossy":    {lost: 0.2, unfenced: true},
		"stray":    {stray: 0.1, unfenced: true},
		"repeated": {late: 0.1, lost: 0.1, repeated: 0.1, stray: 0.1, unfenced: true},
	} {
		t.Run(name, func(t *testing.T) { checkSeeds(t, c) })
	}
}

// checkSeeds plays runs with the same disturbances.
func checkSeeds(t *testing.T, d disturbances) {
	t.Helper()
	changes := 0
	for seed := range uint64(*seeds) { //nolint:gosec // a small number
		x := explore(seed, d, 30*time.Second)
		assert.Equal(t, x.group.violation, "", "seed %d", seed)
		for _, l := range x.leaders {
			changes += l.endedChanges
		}
	}
	assert.Assert(t, changes > *seeds, "only %d changes", changes)
}

// Guards against two active controllers in an epoch, because restarted ranks have forgotten the higher token, and against
// treating an unreachable rank as not armed although an earlier controller armed it.
func TestNoPassWithTwoMapsAfterRestarts(t *testing.T) {
	for _, seed := range []uint64{984, 1287} {
		x := explore(seed, disturbances{}, 30*time.Second)
		assert.Equal(t, x.group.violation, "", "seed %d", seed)
	}
}
