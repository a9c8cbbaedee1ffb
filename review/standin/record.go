package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards out
	out   io.Writer  // nil after the verdict, which is the last line
	start time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, start: time.Now()} }

// linef writes a line with the seconds since the start.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out == nil {
		return
	}
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the last line of the record.
func (r *record) verdict(v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "verdict: %s\n", v)
	r.out = nil
}
