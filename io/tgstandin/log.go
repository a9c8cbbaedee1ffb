// Package tgstandin has small stand-ins of the platform for tests and the demo.
package tgstandin

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Log is a stand-in of the log service.
type Log struct {
	mu        sync.Mutex
	appends   int
	changed   chan struct{} // closed and replaced at each append
	delay     time.Duration
	down      bool
	loseReply int // number of appends to come whose reply is lost
	retention time.Duration
	streams   map[string]*stream
}

type stream struct {
	first   uint64
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

// NewLog returns an empty log that keeps records for retention.
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

// SetDelay makes each call take d longer.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseReplies makes the next n appends take effect without a reply.
func (l *Log) LoseReplies(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseReply = n
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

// Handle serves the log's HTTP interface.
func (l *Log) Handle(ctx *fasthttp.RequestCtx) {
	path := strings.TrimPrefix(string(ctx.Path()), "/v1/streams/")
	name, ok := strings.CutSuffix(path, "/records")
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	l.mu.Lock()
	delay, down := l.delay, l.down
	l.mu.Unlock()
	time.Sleep(delay)
	switch {
	case down:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case ctx.IsPost():
		l.append(ctx, name)
	default:
		l.read(ctx, name)
	}
}

func (l *Log) append(ctx *fasthttp.RequestCtx, name string) {
	l.mu.Lock()
	s := l.stream(name)
	now := time.Now()
	for len(s.records) > 0 && now.Sub(s.records[0].Time) > l.retention {
		s.records = s.records[1:]
		s.first++
	}
	offset := s.first + uint64(len(s.records))
	data := append([]byte(nil), ctx.PostBody()...)
	s.records = append(s.records, logRecord{Data: data, Offset: offset, Time: now})
	l.appends++
	lose := l.loseReply > 0
	if lose {
		l.loseReply--
	}
	l.notify()
	l.mu.Unlock()
	if lose {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
		return
	}
	writeJSON(ctx, map[string]uint64{"offset": offset})
}

func (l *Log) read(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from, err := strconv.ParseUint(string(args.Peek("from")), 10, 64)
	if err != nil {
		ctx.Error("from is not an offset", fasthttp.StatusBadRequest)
		return
	}
	limit := args.GetUintOrZero("max")
	timeout := time.NewTimer(time.Duration(args.GetUintOrZero("waitMs")) * time.Millisecond)
	defer timeout.Stop()
	for {
		page, status, changed := l.page(name, from, limit)
		if status != fasthttp.StatusOK {
			ctx.SetStatusCode(status)
			return
		}
		if len(page.Records) > 0 {
			writeJSON(ctx, page)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(ctx, page)
			return
		}
	}
}

func (l *Log) page(name string, from uint64, limit int) (logPage, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logPage{}, fasthttp.StatusServiceUnavailable, nil
	}
	s := l.stream(name)
	page := logPage{First: s.first, Next: s.first + uint64(len(s.records)), Records: []logRecord{}}
	if from < s.first {
		return page, fasthttp.StatusGone, nil
	}
	if from < page.Next {
		records := s.records[from-s.first:]
		page.Records = append(page.Records, records[:min(len(records), max(limit, 1))]...)
	}
	return page, fasthttp.StatusOK, l.changed
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
