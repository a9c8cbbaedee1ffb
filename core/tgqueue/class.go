package tgqueue

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

const maxAhead = 256 // accounts ahead of their share that are remembered; a Pop visits each

// Ticket is a queued request.
type Ticket[T any] struct {
	account  string
	deadline time.Time
	queued   bool
	rank     int
	reason   Reason
	share    float64
	start    float64 // virtual time at which the account's share reaches the request
	value    T
	work     float64
}

// Deadline returns the time after which the request is not run any more.
func (t *Ticket[T]) Deadline() time.Time { return t.deadline }

// flow is the queued requests of one account in one priority.
type flow[T any] struct {
	account string
	index   int // in the heap
	queued  []*Ticket[T]
	work    float64
}

// class shares one priority among accounts by start-time fair queueing: a request starts, in virtual time, where the
// previous one of its account ended, work divided by share later, and never in the past.
type class[T any] struct {
	ahead   map[string]float64 // end of the last request taken, of accounts without queued requests; later than virtual
	flows   map[string]*flow[T]
	heap    flowHeap[T] // by start of the first request
	virtual float64     // start of the last request taken
	work    float64
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

// startOf returns where a new request of the account starts.
func (c *class[T]) startOf(account string) float64 {
	if f, ok := c.flows[account]; ok {
		last := f.queued[len(f.queued)-1]
		return last.start + last.work/last.share
	}
	return max(c.virtual, c.ahead[account])
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
	delete(c.ahead, t.account)
	c.flows[t.account] = f
	heap.Push(&c.heap, f)
}

// take removes t, the first request of its account, to be run.
func (c *class[T]) take(t *Ticket[T]) {
	c.virtual = max(c.virtual, t.start)
	end := t.start + t.work/t.share
	c.detach(t, 0)
	if _, ok := c.flows[t.account]; !ok {
		c.ahead[t.account] = end
	}
	if len(c.ahead) > maxAhead {
		// Without this the virtual time stands still while each request is of another account.
		c.virtual = max(c.virtual, slices.Min(slices.Collect(maps.Values(c.ahead))))
	}
	for account, v := range c.ahead {
		if v <= c.virtual {
			delete(c.ahead, account)
		}
	}
}

// remove removes t unrun; the requests behind it move up, since the account did not use its share.
func (c *class[T]) remove(t *Ticket[T]) {
	f := c.flows[t.account]
	i := slices.Index(f.queued, t)
	for _, later := range f.queued[i+1:] {
		later.start -= t.work / t.share
	}
	c.detach(t, i)
	if _, ok := c.flows[t.account]; !ok && t.start > c.virtual {
		c.ahead[t.account] = t.start
	}
}

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

// furthestBeyondShare returns the newest request of the account with the most queued work for its share.
func (c *class[T]) furthestBeyondShare() *Ticket[T] {
	var worst *flow[T]
	most := 0.0
	for _, f := range c.heap {
		if excess := f.work / f.queued[0].share; worst == nil || excess > most {
			worst, most = f, excess
		}
	}
	return worst.queued[len(worst.queued)-1]
}

// workBefore returns the queued work that is taken before a new request t.
func (c *class[T]) workBefore(t *Ticket[T]) float64 {
	start, n := c.startOf(t.account), 0.0
	for _, f := range c.heap {
		first := f.queued[0]
		if f.account == t.account {
			n += f.work
		} else if first.start <= start {
			n += min(f.work, (start-first.start)*first.share+first.work)
		}
	}
	return n
}
