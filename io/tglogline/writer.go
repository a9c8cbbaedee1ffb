// Package tglogline writes log lines without making their authors wait.
package tglogline

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxPendingBytes = 256 << 10 // lines beyond it are dropped and counted
	flushDelay      = 50 * time.Millisecond
)

// Writer gathers lines and writes them from one goroutine. A line that finds the buffer full is dropped. It is safe
// for concurrent use.
type Writer struct {
	done    chan struct{}
	dropped atomic.Int64
	mu      sync.Mutex
	out     io.Writer
	pending []byte
	stop    chan struct{}
	wake    chan struct{}
}

// NewWriter returns a writer to out; Close ends it.
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

// Close writes what is pending and ends the goroutine.
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
			_, _ = w.out.Write(lines) // there is nowhere else to report that the log cannot be written
		}
		spare = lines
		if stopping {
			return
		}
	}
}
