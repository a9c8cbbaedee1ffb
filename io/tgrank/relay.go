package tgrank

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgmapchange"
)

const relayFreshness = 300 * time.Millisecond // orders go through an agent only if it reported within this time

// errNoReply means that an agent did not reply to a request within relayTimeout.
var errNoReply = errors.Newf("agent did not reply to the relayed order within %v", relayTimeout)

// pendingRequests are the requests to agents that await a reply. Orders are relayed by the agents because an engine is
// called at less cost from its own VM than from another.
type pendingRequests struct {
	lastNumber uint64
	mu         sync.Mutex
	replies    map[requestKey]chan Reply
}

// requestKey identifies a request. Numbers begin anew when the process restarts, which gets another token.
type requestKey struct {
	number uint64
	token  int64
}

func (r *pendingRequests) open(token int64) (requestKey, chan Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replies == nil {
		r.replies = map[requestKey]chan Reply{}
	}
	r.lastNumber++
	key := requestKey{number: r.lastNumber, token: token}
	c := make(chan Reply, 1)
	r.replies[key] = c
	return key, c
}

func (r *pendingRequests) close(key requestKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replies, key)
}

func (r *pendingRequests) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.replies)
}

// handleReply delivers the reply of an agent to the request that awaits it; a reply without one is dropped.
func (l *Leader) handleReply(r Reply) {
	l.relays.mu.Lock()
	c, ok := l.relays.replies[requestKey{number: r.Number, token: r.Token}]
	l.relays.mu.Unlock()
	if !ok {
		return
	}
	select {
	case c <- r:
	default: // a repeated datagram
	}
}

// sendOrders sends orders without waiting for their answers, which arrive in results.
func (l *Leader) sendOrders(a *Agent, g *group, owner orderOwner, orders []tgmapchange.Order, term int64) {
	for _, o := range orders {
		m := g.members[o.Rank].report
		if !m.EngineAddress.IsValid() { // the rank has not reported yet
			l.results.add(result{group: g.name, order: o, owner: owner, result: tgmapchange.ResultUnknown, term: term})
			continue
		}
		var plan preparePlan
		if o.Operation == tgmapchange.Prepare {
			plan = preparePlan{base: g.currentVersion, delta: g.current.Delta(g.current), replicas: g.current.Sets}
			if o.Version == g.nextVersion {
				plan = preparePlan{base: g.currentVersion, delta: g.nextDelta, replicas: g.next.Sets}
			}
		}
		group := g.name
		go func() {
			r, err := l.sendOrder(a, m, o, term, plan, group)
			if err != nil {
				l.Log.Line("order", map[string]any{
					"error": err.Error(), "group": group, "operation": o.Operation, "outcome": r, "rank": o.Rank,
					"step": o.Step, "version": o.Version,
				})
			}
			l.results.add(result{group: group, order: o, owner: owner, result: r, term: term})
		}()
	}
}

// sendOrder sends an order through the agent on the engine's VM, or directly to the engine if the agent is silent. An
// order to hold always goes directly: if the VM that relays it stops, the rank that holds can still be reached.
func (l *Leader) sendOrder(
	a *Agent, m Report, o tgmapchange.Order, term int64, plan preparePlan, group string,
) (tgmapchange.Result, error) {
	direct := o.Operation == tgmapchange.Hold || m.VM == l.VM || m.From == (netip.AddrPort{})
	if direct || time.Since(m.State.Seen) > relayFreshness {
		r, err := l.Engines.Order(m.EngineAddress, o, term, plan.replicas)
		if m.VM == l.VM {
			a.reportSoon()
		}
		return r, err
	}
	q := Request{Group: group, Order: o, Token: term}
	if o.Operation == tgmapchange.Prepare {
		q.BaseVersion, q.Delta = plan.base, &plan.delta
	}
	r, err := l.requestReply(a, m, q)
	if err == nil && r.BaseMissing {
		q.BaseVersion, q.Delta, q.Replicas = 0, nil, plan.replicas
		r, err = l.requestReply(a, m, q)
	}
	switch {
	case err != nil:
		return tgmapchange.ResultUnknown, err
	case r.Error != "":
		return r.Result, errors.New(r.Error)
	default:
		return r.Result, nil
	}
}

// preparePlan is the map of an order to prepare, whole and as the difference from a map that the agents have.
type preparePlan struct {
	base     int64
	delta    tgexpert.Delta
	replicas [][][]int
}

// requestReply sends a request to an agent and waits for its reply.
func (l *Leader) requestReply(a *Agent, m Report, q Request) (Reply, error) {
	key, replies := l.relays.open(q.Token)
	defer l.relays.close(key)
	q.Number = key.number
	a.send(envelope{Request: &q}, m.From)
	timer := time.NewTimer(relayTimeout)
	defer timer.Stop()
	select {
	case r := <-replies:
		return r, nil
	case <-timer.C:
		return Reply{}, errNoReply
	}
}

const (
	agentSilentAfter = 400 * time.Millisecond // an agent that has not reported for longer counts as down
	pollInterval     = 200 * time.Millisecond // between polls of an engine
)

// pollSilent polls the engines whose agents are silent, so that a group whose pass is held does not wait for an agent.
func (l *Leader) pollSilent(now time.Time) {
	if now.Sub(l.termStarted) < agentSilentAfter {
		return
	}
	for _, p := range l.Peers() {
		if now.Sub(l.lastReport[p.VM]) < agentSilentAfter || now.Sub(l.lastPoll[p.VM]) < pollInterval {
			continue
		}
		l.lastPoll[p.VM] = now
		go l.pollEngine(p)
	}
}

func (l *Leader) pollEngine(p Peer) {
	read := time.Now()
	s, err := l.Engines.State(p.EngineAddress)
	if err != nil || s.Ranks == 0 {
		return // the engine, and so its group, is down too, or it is in no group
	}
	l.EnqueueReport(Report{
		EngineAddress: p.EngineAddress, Group: s.Group, Memory: memoryLevel(s.Memory), Pool: l.Pool, Rank: s.Rank,
		Ranks: s.Ranks, Slowdown: s.Slowdown, State: s.State, StateAge: time.Since(read), Streams: &s.Streams, VM: p.VM,
	})
}
