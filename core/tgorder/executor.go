package tgorder

import "sync"

// ActionKind is what the caller does next with the upstream.
type ActionKind string

// Kinds of actions.
const (
	ActionNone ActionKind = "none"
	ActionRead ActionKind = "read" // read the upstream's state and pass it to Observe
	ActionSend ActionKind = "send" // send the order and pass the result to HandleResult
)

// Action is the next thing to do with the upstream.
type Action struct {
	Kind  ActionKind
	Order Order
}

// Result is the outcome of an order that was sent.
type Result string

// Results of sending.
const (
	ResultDone    Result = "done"
	ResultStale   Result = "stale"   // the upstream has seen a higher token
	ResultUnknown Result = "unknown" // the reply was lost; the order may have been carried out or may be later
)

// Executor reconciles one upstream with the state that its orders ask for. It is the only sender of orders to the
// upstream and sends one at a time. Of several orders about a resource, the last one in log order applies. It is safe
// for concurrent use.
type Executor struct {
	mu             sync.Mutex
	fence          Fence
	inFlight       *Order             // nil if none is
	needsRead      bool               // the state has to be read before anything is sent
	pending        []Resource         // whose wanted order is to be sent, in the order of arrival
	upstreamFences bool               // the upstream checks tokens itself
	wanted         map[Resource]Order // last order about each resource, in log order
}

// NewExecutor returns the executor of an upstream. If the upstream checks fencing tokens itself, no LearnToken is needed
// after a restart.
func NewExecutor(upstreamFences bool) *Executor {
	return &Executor{needsRead: true, upstreamFences: upstreamFences, wanted: map[Resource]Order{}}
}

// LearnToken raises the highest known token to the one in the log.
func (x *Executor) LearnToken(token uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fence.LearnToken(token)
}

// Apply queues an order. It returns a StaleTokenError, SupersededError or TokenUnknownError if the order is rejected.
func (x *Executor) Apply(o Order) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.upstreamFences && !x.fence.known {
		x.fence.LearnToken(o.Token)
	}
	if err := x.fence.Check(o.Token); err != nil {
		return err
	}
	if old, ok := x.wanted[o.Resource]; ok && o.Position.Less(old.Position) {
		return &SupersededError{By: old.Position}
	}
	x.wanted[o.Resource] = o
	x.enqueue(o.Resource)
	return nil
}

func (x *Executor) enqueue(r Resource) {
	for _, p := range x.pending {
		if p == r {
			return
		}
	}
	x.pending = append(x.pending, r)
}

// Next returns the next action, which is ActionNone while an order is in flight.
func (x *Executor) Next() Action {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.inFlight != nil || len(x.pending) == 0 && !x.needsRead:
		return Action{Kind: ActionNone}
	case x.needsRead:
		return Action{Kind: ActionRead}
	}
	o := x.wanted[x.pending[0]]
	x.pending = x.pending[1:]
	x.inFlight = &o
	return Action{Kind: ActionSend, Order: o}
}

// HandleResult records the result of the order in flight. After a lost reply, the state is read to find out whether the
// order was carried out.
func (x *Executor) HandleResult(r Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o := x.inFlight
	if o == nil {
		return
	}
	x.inFlight = nil
	switch r {
	case ResultStale:
		// A newer lease holder issues the orders now. If this order is still valid in the log, that holder sends it again.
		if x.wanted[o.Resource] == *o {
			delete(x.wanted, o.Resource)
		}
	case ResultUnknown:
		x.needsRead = true
		x.enqueue(o.Resource)
	}
}

// Observe compares the upstream's state with the wanted orders and queues those that it does not satisfy. It is also
// called at intervals, to correct the effect of an order that was carried out late.
func (x *Executor) Observe(s State) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.needsRead = false
	missing := x.pending[:0]
	for _, r := range x.pending {
		if !s.Satisfies(x.wanted[r]) {
			missing = append(missing, r)
		}
	}
	x.pending = missing
	for r, o := range x.wanted {
		if !s.Satisfies(o) && (x.inFlight == nil || x.inFlight.Resource != r) {
			x.enqueue(r)
		}
	}
}

// Converged reports whether the upstream is in the state that its orders ask for.
func (x *Executor) Converged() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.needsRead && x.inFlight == nil && len(x.pending) == 0
}
