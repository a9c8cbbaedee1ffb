package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards file
	file  *os.File   // nil after the verdict, which is the last line
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// linef writes a line with the seconds since the start.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the last line of the record and closes it.
func (r *record) verdict(v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "verdict: %s\n", v)
	_ = r.file.Close()
	r.file = nil
}
