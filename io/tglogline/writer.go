// Package tglogline writes log lines without blocking the goroutines that log.
package tglogline

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	flushDelay      = 50 * time.Millisecond // time for which lines are collected before they are written together
	maxPendingBytes = 256 << 10             // lines beyond it are dropped and counted
)

// Writer buffers lines and writes them from a goroutine of its own. A line that does not fit into the buffer is dropped.
// Writer is safe for concurrent use.
type Writer struct {
	done    chan struct{} // closed when the goroutine ends
	dropped atomic.Int64
	mu      sync.Mutex // guards pending
	out     io.Writer
	pending []byte
	stop    chan struct{} // closed by Close
	wake    chan struct{} // has an element after a write to pending
}

// NewWriter returns a writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{done: make(chan struct{}), out: out, stop: make(chan struct{}), wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	full := len(w.pending)+len(p) > maxPendingBytes
	if !full {
		w.pending = append(w.pending, p...)
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the pending lines and ends the goroutine.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for {
		stopping := false
		select {
		case <-w.wake:
			select {
			case <-time.After(flushDelay):
			case <-w.stop:
				stopping = true
			}
		case <-w.stop:
			stopping = true
		}
		w.mu.Lock()
		lines := w.pending
		w.pending = spare[:0]
		w.mu.Unlock()
		if len(lines) > 0 {
			_, _ = w.out.Write(lines) // a failure of the log itself cannot be reported anywhere
		}
		spare = lines
		if stopping {
			return
		}
	}
}
