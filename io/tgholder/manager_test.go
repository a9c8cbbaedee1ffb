package tgholder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tglease"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgholder"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

const (
	lease    = "group/g1"
	duration = 5 * time.Second
)

// pausable is a log whose calls block while its process is paused.
type pausable struct {
	tglogclient.Log
	gate chan struct{} // empty while paused; a channel, since synctest's clock does not advance while a mutex is awaited
}

func (p *pausable) pause()  { <-p.gate }
func (p *pausable) resume() { p.gate <- struct{}{} }

func (p *pausable) pass() {
	<-p.gate
	p.gate <- struct{}{}
}

func (p *pausable) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	p.pass()
	return p.Log.Append(ctx, stream, records)
}

func (p *pausable) Read(
	ctx context.Context, stream string, from uint64, wait time.Duration,
) (tglogclient.Page, error) {
	page, err := p.Log.Read(ctx, stream, from, wait)
	p.pass()
	return page, err
}

type process struct {
	log     *pausable
	manager *tgholder.Manager
	stop    context.CancelFunc
}

func start(log *tgstandin.Log, name string) *process {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := &process{log: &pausable{gate: make(chan struct{}, 1), Log: tgstandin.DirectLog{Log: log}}}
	p.log.resume()
	holder := tglease.Holder{Incarnation: uuid.New(), Process: name}
	p.manager = tgholder.NewManager(p.log, holder, logrus.NewEntry(logger))
	p.manager.Campaign(lease, duration)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.manager.Run(ctx)
	return p
}

func holders(processes []*process) (n int, highest tglease.Token) {
	for _, p := range processes {
		if token, ok := p.manager.Held(lease); ok {
			n++
			highest = max(highest, token)
		}
	}
	return n, highest
}

// Guards against two processes that hold a lease at the same time, against a lease that no process can acquire after
// its holder has stopped or paused, and against a fencing token that does not increase when the holder changes.
func TestLeaseUnderFaults(t *testing.T) {
	const settle = 4 * duration
	for _, tc := range []struct {
		name    string
		fault   func(log *tgstandin.Log, p []*process)
		changes bool // another process acquires the lease, with a higher token
		repair  func(log *tgstandin.Log, p []*process)
	}{
		{
			name:    "holderPausedLongerThanLease",
			fault:   func(_ *tgstandin.Log, p []*process) { p[0].log.pause() },
			changes: true,
			repair:  func(_ *tgstandin.Log, p []*process) { p[0].log.resume() },
		},
		{
			name:    "holderStops",
			fault:   func(_ *tgstandin.Log, p []*process) { p[0].stop() },
			changes: true,
			repair:  func(*tgstandin.Log, []*process) {},
		},
		{
			name:   "logDownShorterThanLease",
			fault:  func(log *tgstandin.Log, _ []*process) { log.SetDown(true); time.Sleep(time.Second); log.SetDown(false) },
			repair: func(*tgstandin.Log, []*process) {},
		},
		{
			name:   "repliesLost",
			fault:  func(log *tgstandin.Log, _ []*process) { log.LoseReplies(1000) },
			repair: func(log *tgstandin.Log, _ []*process) { log.LoseReplies(0) },
		},
		{
			name:   "slowLog",
			fault:  func(log *tgstandin.Log, _ []*process) { log.SetDelay(500 * time.Millisecond) },
			repair: func(log *tgstandin.Log, _ []*process) { log.SetDelay(0) },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := tgstandin.NewLog(time.Hour)
				first := start(log, "a")
				time.Sleep(duration)
				processes := []*process{first, start(log, "b"), start(log, "c")}
				n, before := holders(processes)
				assert.Equal(t, n, 1)
				tc.fault(log, processes)
				watch(t, processes, settle)
				tc.repair(log, processes)
				watch(t, processes, settle)
				n, after := holders(processes)
				assert.Equal(t, n, 1)
				assert.Equal(t, after > before, tc.changes, "token %d, before %d", after, before)
				for _, p := range processes {
					p.stop()
				}
				time.Sleep(settle)
			})
		})
	}
}

// Guards against a process that still regards itself as holder after the log has been down for longer than the lease.
func TestLeaseLapsesInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := tgstandin.NewLog(time.Hour)
		processes := []*process{start(log, "a"), start(log, "b")}
		time.Sleep(duration)
		n, before := holders(processes)
		assert.Equal(t, n, 1)
		log.SetDown(true)
		watch(t, processes, 2*duration)
		n, _ = holders(processes)
		assert.Equal(t, n, 0)
		log.SetDown(false)
		watch(t, processes, 4*duration)
		n, after := holders(processes)
		assert.Equal(t, n, 1)
		assert.Assert(t, after > before)
		for _, p := range processes {
			p.stop()
		}
		time.Sleep(duration)
	})
}

// watch checks every 50 ms that at most one process holds the lease.
func watch(t *testing.T, processes []*process, d time.Duration) {
	t.Helper()
	for range int(d / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		n, _ := holders(processes)
		assert.Assert(t, n <= 1, "%d processes hold the lease", n)
	}
}
