package tgrank

import (
	"sync"
	"time"

	"tanagergrade/core/tgmapchange"
)

// orderOwner is what issues orders to the ranks of a group: a change of its map, or a recovery.
type orderOwner interface {
	HandleResult(o tgmapchange.Order, r tgmapchange.Result, now time.Time)
}

// result is an engine's answer to an order.
type result struct {
	group  string
	order  tgmapchange.Order
	owner  orderOwner // that issued the order
	result tgmapchange.Result
	term   int64
}

// resultQueue passes results to the leader's goroutine. It is not bounded, as each order has one result and a lost one
// leaves its rank without further orders; what is in flight bounds it.
type resultQueue struct {
	added chan struct{} // capacity 1: there are results

	mu      sync.Mutex
	results []result // guarded by mu
}

func newResultQueue() *resultQueue { return &resultQueue{added: make(chan struct{}, 1)} }

func (q *resultQueue) add(r result) {
	q.mu.Lock()
	q.results = append(q.results, r)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default: // the leader knows already
	}
}

// take removes and returns all results.
func (q *resultQueue) take() []result {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.results
	q.results = nil
	return taken
}
