package tgtwophase

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// bounds limits an exploration: the number of actions of each kind, of ranks and of steps.
type bounds struct {
	companionRestarts, controllers, engineRestarts, heldReplies, memberChanges, proposals, ranks int
	steps                                                                                        uint64
}

type delivery struct {
	controller int
	reply      Reply
}

type stepEntry struct {
	formation, mapID ID
	rank             int
	step             uint64
}

// world is one state of the explored system. Messages and replies stay in it after their delivery, so each can be
// lost, delayed, duplicated and overtaken. A controller that takes no action is paused or has crashed; a lease that
// cannot be acquired in a log outage is a run without a new controller.
type world struct {
	controllers  []Controller
	enteredSteps []stepEntry
	ranks        []Rank
	remaining    bounds
	replies      []delivery
	requests     []Message
}

func newWorld(b bounds, f fault) world {
	w := world{ranks: make([]Rank, b.ranks), remaining: b}
	first := ID{Sequence: 1, Token: 1}
	for i := range w.ranks {
		w.ranks[i] = *NewRank(i)
		w.ranks[i].fault = f
		w.ranks[i].LearnToken(1)
		w.ranks[i].State = State{Closed: first, Formation: first, Map: first, Members: 1<<b.ranks - 1, NextStep: 1, Token: 1}
	}
	return w
}

func (w *world) clone() world {
	c := *w
	c.controllers = slices.Clone(w.controllers)
	for i := range c.controllers {
		c.controllers[i].replies = slices.Clone(c.controllers[i].replies)
	}
	c.enteredSteps, c.ranks = slices.Clone(w.enteredSteps), slices.Clone(w.ranks)
	c.replies, c.requests = slices.Clone(w.replies), slices.Clone(w.requests)
	return c
}

// send adds the messages that controller i has due.
func (w *world) send(i int) {
	for _, m := range w.controllers[i].Messages() {
		if !slices.Contains(w.requests, m) {
			w.requests = append(w.requests, m)
		}
	}
	w.prune()
}

// prune removes what can have no effect any more: replies that their controller ignores, and requests whose
// token or change the rank refuses for good. With an injected fault a rank may accept such requests, so they stay.
func (w *world) prune() {
	w.replies = slices.DeleteFunc(w.replies, func(d delivery) bool {
		c := &w.controllers[d.controller]
		return d.reply.Round != c.round || c.phase == PhaseFenced || c.phase == PhaseIdle
	})
	w.requests = slices.DeleteFunc(w.requests, func(m Message) bool {
		r := &w.ranks[m.To]
		if r.fault != "" || r.tokenUnknown {
			return false
		}
		old := w.controllers[m.Token-2].round != m.Round
		closed := w.remaining.engineRestarts == 0 && !m.Change.IsZero() && !r.Closed.Less(m.Change)
		return m.Token < r.Token || old && (m.Kind == KindRead && m.Token == r.Token || closed)
	})
}

// deliver passes m to its rank, whose reply arrives at once, is lost or is held back for later.
func (w *world) deliver(m Message, reply string) {
	r := &w.ranks[m.To]
	d := delivery{controller: int(m.Token) - 2, reply: r.Receive(m)}
	if m.Kind == KindStage && d.reply.Refusal == "" && r.Map != m.Map {
		r.MarkStaged(m.Map)
		d.reply.State = r.State
	}
	switch reply {
	case "arrives":
		w.controllers[d.controller].Receive(d.reply)
	case "held":
		w.remaining.heldReplies--
		w.replies = append(w.replies, d)
	}
	w.send(d.controller)
}

// mayEnter reports whether rank i may enter its next step: the collective operations hold it back until all members have
// entered the step before.
func (w *world) mayEnter(i int) bool {
	r := &w.ranks[i]
	if r.NextStep > w.remaining.steps {
		return false
	}
	for j := range w.ranks {
		started := slices.ContainsFunc(w.enteredSteps, func(e stepEntry) bool {
			return e.rank == j && e.formation == r.Formation && e.step == r.NextStep-1
		})
		begins := !slices.ContainsFunc(w.enteredSteps, func(e stepEntry) bool {
			return e.formation == r.Formation && e.step < r.NextStep
		})
		if r.Members&(1<<j) != 0 && !started && !begins {
			return false
		}
	}
	return true
}

// enter makes rank i enter its next step and returns an error if another rank has entered that step with another map.
func (w *world) enter(i int) error {
	formation, step := w.ranks[i].Formation, w.ranks[i].NextStep
	mapID, ok := w.ranks[i].EnterStep()
	if !ok {
		return nil
	}
	e := stepEntry{formation: formation, mapID: mapID, rank: i, step: step}
	for _, other := range w.enteredSteps {
		if other.formation == formation && other.step == step && other.mapID != mapID {
			return fmt.Errorf("step %d of formation %v: rank %d uses map %v, rank %d uses map %v",
				step, formation, other.rank, other.mapID, i, mapID)
		}
	}
	if !slices.Contains(w.enteredSteps, e) {
		w.enteredSteps = append(w.enteredSteps, e)
	}
	return nil
}

// successors calls visit for every state that one action leads to.
func (w *world) successors(f fault, visit func(world, error)) {
	try := func(allowed bool, action func(n *world) error) {
		if allowed {
			n := w.clone()
			visit(n, action(&n))
		}
	}
	noError := func(action func(n *world)) func(*world) error {
		return func(n *world) error { action(n); return nil }
	}
	try(w.remaining.controllers > 0, noError(func(n *world) {
		n.remaining.controllers--
		all := uint64(1)<<len(n.ranks) - 1
		n.controllers = append(n.controllers, *NewController(uint64(len(n.controllers)+2), len(n.ranks), all, 1))
		n.controllers[len(n.controllers)-1].fault = f
		n.send(len(n.controllers) - 1)
	}))
	for i := range w.controllers {
		act := func(allowed bool, action func(c *Controller, n *world)) {
			try(allowed, noError(func(n *world) { action(&n.controllers[i], n); n.send(i) }))
		}
		phase := w.controllers[i].phase
		act(phase == PhaseIdle && w.remaining.proposals > 0, func(c *Controller, n *world) {
			n.remaining.proposals--
			c.Propose()
		})
		act(phase == PhaseArming || phase == PhaseStaging, func(c *Controller, _ *world) { c.Abandon() })
		act(w.remaining.memberChanges > 0 && phase != PhaseFenced, func(c *Controller, n *world) {
			n.remaining.memberChanges--
			c.ChangeMembers(c.members &^ 1) // without rank 0
		})
		for r := range w.ranks {
			act(phase == PhaseIdle, func(c *Controller, n *world) { c.Observe(r, n.ranks[r].State) })
		}
	}
	for _, m := range w.requests {
		for _, reply := range []string{"arrives", "lost", "held"} {
			try(reply != "held" || w.remaining.heldReplies > 0, noError(func(n *world) { n.deliver(m, reply) }))
		}
	}
	for _, d := range w.replies {
		try(true, noError(func(n *world) { n.controllers[d.controller].Receive(d.reply); n.send(d.controller) }))
	}
	for i := range w.ranks {
		try(w.mayEnter(i), func(n *world) error { return n.enter(i) })
		try(w.remaining.engineRestarts > 0, noError(func(n *world) { n.remaining.engineRestarts--; n.ranks[i].RestartEngine() }))
		try(w.remaining.companionRestarts > 0, noError(func(n *world) {
			n.remaining.companionRestarts--
			n.ranks[i].RestartCompanion()
		}))
		try(w.ranks[i].tokenUnknown, noError(func(n *world) { n.ranks[i].LearnToken(uint64(len(n.controllers) + 1)) }))
	}
}

// checkRecovery runs a new controller without faults and returns an error unless all ranks then enter steps, each with
// one map.
func (w *world) checkRecovery() error {
	token := uint64(len(w.controllers) + 2)
	members := uint64(1)<<len(w.ranks) - 1
	c := NewController(token, len(w.ranks), members, 1)
	for range 200 {
		for _, m := range c.Messages() {
			w.ranks[m.To].LearnToken(token - 1)
			reply := w.ranks[m.To].Receive(m)
			if m.Kind == KindStage && reply.Refusal == "" && w.ranks[m.To].Map != m.Map {
				w.ranks[m.To].MarkStaged(m.Map)
				reply.State = w.ranks[m.To].State
			}
			c.Receive(reply)
		}
	}
	if c.Phase() != PhaseIdle {
		return fmt.Errorf("new controller is still %s", c.Phase())
	}
	w.remaining.steps = 1000
	steps := make([]uint64, len(w.ranks))
	for range 10 {
		for i := range w.ranks {
			if w.mayEnter(i) {
				before := w.ranks[i].NextStep
				if err := w.enter(i); err != nil {
					return err
				}
				steps[i] += w.ranks[i].NextStep - before
			}
		}
	}
	if slices.Min(steps) == 0 {
		return fmt.Errorf("a rank enters no step: %v", steps)
	}
	return nil
}

func (w *world) key() string {
	b := []byte{byte(w.remaining.companionRestarts), byte(w.remaining.controllers), byte(w.remaining.engineRestarts),
		byte(w.remaining.heldReplies), byte(w.remaining.proposals), byte(w.remaining.memberChanges)}
	id := func(ids ...ID) {
		for _, v := range ids {
			b = append(b, byte(v.Token), byte(v.Sequence))
		}
	}
	num := func(values ...uint64) {
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
	}
	state := func(s State) {
		id(s.Armed, s.Closed, s.Committed, s.Formation, s.LatestStaged, s.Map, s.Staged)
		num(s.ArmedStep, s.Members, s.NextStep, s.Token)
	}
	for i := range w.ranks {
		state(w.ranks[i].State)
		b = strconv.AppendBool(b, w.ranks[i].tokenUnknown)
	}
	for _, c := range w.controllers {
		id(c.change, c.committed, c.formation, c.mapID)
		num(c.members, c.round, c.sequence, c.step)
		b = append(b, c.phase...)
		b = strconv.AppendBool(b, c.newMap)
		for _, r := range c.replies {
			if b = append(b, '-'); r.received {
				state(r.state)
			}
		}
	}
	start := len(b)
	var parts []string
	add := func() { parts = append(parts, string(b[start:])); b = b[:start] }
	for _, m := range w.requests {
		num(m.Token, m.Round, uint64(m.To)) // the round of a controller determines the rest
		id(m.Change, m.Formation, m.Map)
		num(m.Members, m.Step)
		b = append(b, m.Kind...)
		add()
	}
	for _, d := range w.replies {
		num(uint64(d.controller), uint64(d.reply.From), d.reply.Round)
		state(d.reply.State)
		b = append(b, d.reply.Refusal...)
		add()
	}
	for _, e := range w.enteredSteps {
		id(e.formation, e.mapID)
		num(uint64(e.rank), e.step)
		add()
	}
	slices.Sort(parts)
	for _, p := range parts {
		b = append(append(b, '|'), p...)
	}
	return string(b)
}
