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
	maxPending      = 8 * maxBatchRecords // most records of one stream that may wait to be appended
)

// ErrBacklogFull means that too many records of a stream wait to be appended; the new ones were not queued.
var ErrBacklogFull = errors.New("too many records wait to be appended")

// Batcher combines the records of concurrent callers into few appends (group commit). Each stream has its own queue, so
// that the backlog of one stream does not delay another.
type Batcher struct {
	Log
	activeQueues int           // number of queues with an append in flight or due
	idle         chan struct{} // closed and replaced when activeQueues falls to 0
	interval     time.Duration // minimum time between the starts of two appends to one stream
	mu           sync.Mutex
	streams      map[string]*batchQueue
	timeout      time.Duration // of one append
}

type batchQueue struct {
	pending    []*batchItem // waiting for an append
	records    int          // number of records in pending
	active     bool         // an append to this stream is in flight or due
	lastAppend time.Time    // start of the last append
}

type batchItem struct {
	done    chan struct{} // closed when offset and err are set
	err     error
	offset  uint64
	records []tgrecord.Record
}

// NewBatcher returns a batcher that starts at most one append to each stream per interval.
func NewBatcher(log Log, interval, timeout time.Duration) *Batcher {
	return &Batcher{Log: log, idle: make(chan struct{}), interval: interval, streams: map[string]*batchQueue{}, timeout: timeout}
}

// Append appends records together with those of other callers. After an error other than ErrBacklogFull, they may have been
// appended.
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

// Wait waits until no append is in flight or due. Calls of Append may start while it waits, which a sync.WaitGroup does not
// allow.
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

// flush appends the records of a queue until none are pending.
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

// takeBatch removes the items that fit into one append. If there are none, the queue becomes inactive and its flush ends.
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

// appendBatch appends the records of items and passes the result to their callers.
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
