package tglogclient

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgrecord"
)

const (
	maxBatchRecords = 512
	maxPending      = 8 * maxBatchRecords // records of one stream that wait to be appended
)

// ErrBacklogFull says that too many records wait to be appended.
var ErrBacklogFull = errors.New("too many records wait to be appended")

// Batcher groups the records of many callers into few appends: group commit. Each stream has its own
// queue, so the backlog of one does not delay another.
type Batcher struct {
	Log
	activeQueues int           // queues with an append on its way or due
	idle         chan struct{} // closed and replaced when activeQueues falls to 0
	interval     time.Duration // least time between the starts of two appends to one stream
	mu           sync.Mutex
	streams      map[string]*batchQueue
	timeout      time.Duration // bound of one append
}

type batchQueue struct {
	pending    []*batchItem // waiting for the next append
	records    int          // in pending
	active     bool         // an append of this stream is on its way or due
	lastAppend time.Time    // of the last append
}

type batchItem struct {
	done    chan struct{} // closed when offset and err are set
	err     error
	offset  uint64
	records []tgrecord.Record
}

// NewBatcher returns a batcher that starts at most one append for each stream and interval.
func NewBatcher(log Log, interval, timeout time.Duration) *Batcher {
	return &Batcher{Log: log, idle: make(chan struct{}), interval: interval, streams: map[string]*batchQueue{}, timeout: timeout}
}

// Append appends records together with those of other callers. After an error they may have been appended.
func (b *Batcher) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	item := &batchItem{done: make(chan struct{}), records: records}
	if err := b.enqueue(stream, item); err != nil {
		return 0, err
	}
	select {
	case <-item.done:
		return item.offset, item.err
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "append was not confirmed in time")
	}
}

// Wait waits until no append is on its way. Others may append meanwhile, which a WaitGroup does not allow.
func (b *Batcher) Wait() {
	b.mu.Lock()
	activeQueues, idle := b.activeQueues, b.idle
	b.mu.Unlock()
	if activeQueues > 0 {
		<-idle
	}
}

func (b *Batcher) enqueue(stream string, item *batchItem) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, ok := b.streams[stream]
	if !ok {
		q = &batchQueue{}
		b.streams[stream] = q
	}
	if q.records+len(item.records) > maxPending {
		return ErrBacklogFull
	}
	q.pending = append(q.pending, item)
	q.records += len(item.records)
	if !q.active {
		q.active = true
		b.activeQueues++
		go b.flush(stream, q)
	}
	return nil
}

// flush appends until nothing waits.
func (b *Batcher) flush(stream string, q *batchQueue) {
	for {
		b.mu.Lock()
		pause := b.interval - time.Since(q.lastAppend)
		b.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause)
		}
		items := b.takeBatch(q)
		if len(items) == 0 {
			return
		}
		b.appendBatch(stream, items)
	}
}

// takeBatch removes what fits into one append; with nothing left the queue's flush ends.
func (b *Batcher) takeBatch(q *batchQueue) []*batchItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, records := 0, 0
	for n < len(q.pending) && (n == 0 || records+len(q.pending[n].records) <= maxBatchRecords) {
		records += len(q.pending[n].records)
		n++
	}
	items := q.pending[:n:n]
	q.pending = q.pending[n:]
	q.records -= records
	q.active = n > 0
	q.lastAppend = time.Now()
	if !q.active {
		b.activeQueues--
		if b.activeQueues == 0 {
			close(b.idle)
			b.idle = make(chan struct{})
		}
	}
	return items
}

func (b *Batcher) appendBatch(stream string, items []*batchItem) {
	var records []tgrecord.Record
	for _, item := range items {
		records = append(records, item.records...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	offset, err := b.Log.Append(ctx, stream, records)
	for _, item := range items {
		item.offset, item.err = offset, err
		close(item.done)
	}
}
