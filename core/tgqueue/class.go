package tgqueue

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// maxAheadAccounts bounds the accounts without queued requests whose finish tags are kept, since every Pop visits each.
const maxAheadAccounts = 256

// Ticket is a queued request.
type Ticket[T any] struct {
	account  string
	deadline time.Time
	queued   bool
	rank     int     // of the priority; 0 is the highest
	reason   Reason  // set when Push drops the request
	start    float64 // start tag: virtual time at which the account's fair share reaches the request
	value    T
	weight   float64
	work     float64 // expected tokens
}

// Deadline returns the time after which the request is dropped instead of run.
func (t *Ticket[T]) Deadline() time.Time { return t.deadline }

// flow has the queued requests of one account in one priority.
type flow[T any] struct {
	account string
	index   int          // in the heap
	queued  []*Ticket[T] // never empty while the flow is in the heap
	work    float64      // sum over queued
}

// class shares one priority among accounts by start-time fair queueing: the start tag of a request is the finish tag of
// the previous request of its account, or the current virtual time if that is later. The finish tag is the start tag
// plus work divided by weight.
type class[T any] struct {
	finishTags  map[string]float64  // finish tags of accounts without queued requests; each later than virtualTime
	flows       map[string]*flow[T] // by account
	heap        flowHeap[T]         // by start tag of the first request
	virtualTime float64             // at least the start tag of the last request taken; never decreases
	work        float64             // sum over all flows
}

type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int           { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool { return h[i].queued[0].start < h[j].queued[0].start }
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(v any) {
	f, _ := v.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// startOf returns the start tag of a new request of the account.
func (c *class[T]) startOf(account string) float64 {
	if f, ok := c.flows[account]; ok {
		last := f.queued[len(f.queued)-1]
		return last.start + last.work/last.weight
	}
	return max(c.virtualTime, c.finishTags[account])
}

func (c *class[T]) push(t *Ticket[T]) {
	t.start, t.queued = c.startOf(t.account), true
	c.work += t.work
	f, ok := c.flows[t.account]
	if ok {
		f.queued = append(f.queued, t)
		f.work += t.work
		return
	}
	f = &flow[T]{account: t.account, queued: []*Ticket[T]{t}, work: t.work}
	delete(c.finishTags, t.account)
	c.flows[t.account] = f
	heap.Push(&c.heap, f)
}

// take removes t, the first request of its account, in order to run it.
func (c *class[T]) take(t *Ticket[T]) {
	c.virtualTime = max(c.virtualTime, t.start)
	end := t.start + t.work/t.weight
	c.detach(t, 0)
	if _, ok := c.flows[t.account]; !ok {
		c.finishTags[t.account] = end
	}
	if len(c.finishTags) > maxAheadAccounts {
		// Without this, the virtual time would not advance while every request comes from a different account.
		c.virtualTime = max(c.virtualTime, slices.Min(slices.Collect(maps.Values(c.finishTags))))
	}
	for account, v := range c.finishTags {
		if v <= c.virtualTime {
			delete(c.finishTags, account)
		}
	}
}

// remove removes t without running it. The start tags of the account's later requests move back, since t did not use
// any of its share.
func (c *class[T]) remove(t *Ticket[T]) {
	f := c.flows[t.account]
	i := slices.Index(f.queued, t)
	for _, later := range f.queued[i+1:] {
		later.start -= t.work / t.weight
	}
	c.detach(t, i)
	if _, ok := c.flows[t.account]; !ok && t.start > c.virtualTime {
		c.finishTags[t.account] = t.start
	}
}

// detach removes the request t at index i of its flow, and the flow if it is empty then.
func (c *class[T]) detach(t *Ticket[T], i int) {
	f := c.flows[t.account]
	t.queued = false
	c.work -= t.work
	f.work -= t.work
	f.queued = slices.Delete(f.queued, i, i+1)
	if len(f.queued) == 0 {
		heap.Remove(&c.heap, f.index)
		delete(c.flows, t.account)
		return
	}
	heap.Fix(&c.heap, f.index)
}

// newestOfLargestBacklog returns the newest request of the account with the most queued work relative to its weight.
func (c *class[T]) newestOfLargestBacklog() *Ticket[T] {
	var worst *flow[T]
	most := 0.0
	for _, f := range c.heap {
		if excess := f.work / f.queued[0].weight; worst == nil || excess > most {
			worst, most = f, excess
		}
	}
	return worst.queued[len(worst.queued)-1]
}

// queuedWorkAhead returns the queued work that would be taken before a new request t.
func (c *class[T]) queuedWorkAhead(t *Ticket[T]) float64 {
	start, n := c.startOf(t.account), 0.0
	for _, f := range c.heap {
		first := f.queued[0]
		if f.account == t.account {
			n += f.work
		} else if first.start <= start {
			n += min(f.work, (start-first.start)*first.weight+first.work)
		}
	}
	return n
}
