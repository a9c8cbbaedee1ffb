// Package tgstandin has small stand-ins of the platform's services and upstreams for tests and the demo.
package tgstandin

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Log is an in-memory stand-in of the log service, with injected faults.
type Log struct {
	mu            sync.Mutex
	appends       int
	changed       chan struct{} // closed and replaced at each append and at each start or end of an outage
	delay         time.Duration // of each call
	down          bool
	repliesToLose int // number of further appends whose reply is dropped
	retention     time.Duration
	streams       map[string]*stream
}

type stream struct {
	first   uint64 // offset of records[0]
	records []logRecord
}

type logRecord struct {
	Data   []byte    `json:"data"`
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
}

type logPage struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Records []logRecord `json:"records"`
}

// NewLog returns an empty log that drops records older than retention.
func NewLog(retention time.Duration) *Log {
	return &Log{changed: make(chan struct{}), retention: retention, streams: map[string]*stream{}}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notify()
}

// SetDelay makes each call take the additional time d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseReplies makes the next n appends take effect and then fail as if the reply had been lost.
func (l *Log) LoseReplies(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repliesToLose = n
}

// Appends returns the number of appends so far.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Truncate drops the records of stream before offset.
func (l *Log) Truncate(name string, offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.first < offset {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// ErrDown reports that the log is in an outage started by SetDown.
var ErrDown = errors.New("log service is down")

// errReplyLost reports that an append took effect and its reply is to be dropped.
var errReplyLost = errors.New("reply is lost")

// errTruncated reports that the requested offset is before the first record kept.
var errTruncated = errors.New("offset is before the first record kept")

// injectFaults delays a call by the time set by SetDelay, and returns ErrDown if the call arrived during an outage.
func (l *Log) injectFaults() error {
	l.mu.Lock()
	delay, down := l.delay, l.down
	l.mu.Unlock()
	time.Sleep(delay)
	if down {
		return ErrDown
	}
	return nil
}

func (l *Log) append(name string, data []byte) (uint64, error) {
	if err := l.injectFaults(); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	now := time.Now()
	for len(s.records) > 0 && now.Sub(s.records[0].Time) > l.retention {
		s.records = s.records[1:]
		s.first++
	}
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, logRecord{Data: append([]byte(nil), data...), Offset: offset, Time: now})
	l.appends++
	l.notify()
	if l.repliesToLose > 0 {
		l.repliesToLose--
		return 0, errReplyLost
	}
	return offset, nil
}

func (l *Log) read(name string, from uint64, limit int, wait time.Duration) (logPage, error) {
	if err := l.injectFaults(); err != nil {
		return logPage{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, err := l.page(name, from, limit)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		}
	}
}

func (l *Log) page(name string, from uint64, limit int) (logPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logPage{}, nil, ErrDown
	}
	s := l.stream(name)
	page := logPage{First: s.first, Next: s.first + uint64(len(s.records)), Records: []logRecord{}}
	if from < s.first {
		return page, nil, errTruncated
	}
	if from < page.Next {
		records := s.records[from-s.first:]
		page.Records = append(page.Records, records[:min(len(records), max(limit, 1))]...)
	}
	return page, l.changed, nil
}
