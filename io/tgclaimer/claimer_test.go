package tgclaimer_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgclaimer"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

const claimTimeout = 2 * time.Second

// system is a set of processes that share a log and may run requests of one pool.
type system struct {
	log        *tgstandin.Log
	mu         sync.Mutex
	executions map[tgclaim.Key]int
	processes  []*process
}

type process struct {
	claimer *tgclaimer.Claimer
	stop    context.CancelFunc
}

// delayedLog returns from an append with a timeout and lets it take effect later, like a network that delays messages.
type delayedLog struct {
	tglogclient.Log
	delay func() time.Duration
}

func (l delayedLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	if d := l.delay(); d > 0 {
		go func() {
			time.Sleep(d)
			_, _ = l.Log.Append(context.WithoutCancel(ctx), stream, records)
		}()
		return 0, context.DeadlineExceeded
	}
	return l.Log.Append(ctx, stream, records)
}

// duplicatingLog sends each append twice.
type duplicatingLog struct{ tglogclient.Log }

func (l duplicatingLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	_, _ = l.Log.Append(ctx, stream, records)
	return l.Log.Append(ctx, stream, records)
}

func newSystem() *system {
	return &system{log: tgstandin.NewLog(48 * time.Hour), executions: map[tgclaim.Key]int{}}
}

func (s *system) start(name string, wrap func(tglogclient.Log) tglogclient.Log) *process {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	identity := tgclaimer.Identity{Incarnation: uuid.New(), Name: name, Started: time.Now()}
	p := &process{claimer: tgclaimer.New(
		wrap(tgstandin.DirectLog{Log: s.log}), "ledger", tgclaim.MaxKeyAge, identity, logrus.NewEntry(logger),
	)}
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	go p.claimer.Run(ctx)
	s.processes = append(s.processes, p)
	return p
}

func (s *system) stop() {
	for _, p := range s.processes {
		p.stop()
	}
	time.Sleep(time.Minute)
}

// call runs a request at p as a companion does; pause is the time between the granted claim and the run.
func (s *system) call(p *process, r tgclaimer.Request, pause time.Duration) tgcall.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	g := p.claimer.Acquire(ctx, r)
	switch {
	case g.Failure != nil:
		return g.Failure.Outcome
	case g.Replay != nil:
		return tgcall.Answered
	}
	time.Sleep(pause)
	s.mu.Lock()
	s.executions[r.Key]++
	s.mu.Unlock()
	result := tgclaim.Result{Body: []byte("done"), Claim: g.Claim, Head: tgframe.Head{Status: 201}, Key: r.Key}
	p.claimer.Finish(r.Key, g.Claim, &result)
	return tgcall.Answered
}

func request(n int) tgclaimer.Request {
	key := fmt.Sprintf("key-%d", n)
	return tgclaimer.Request{
		Digest: tgclaim.NewDigest("POST", "/p", []byte(key)), IsHome: func() bool { return true },
		Key: tgclaim.NewKey("a", "ledger", key), KeyTime: time.Now(),
	}
}

func unwrapped(l tglogclient.Log) tglogclient.Log { return l }

// Guards against a request that runs twice when it reaches several processes at once, and against an outcome that
// says "not run" for a request that has run, under each fault of the log.
func TestAtMostOnce(t *testing.T) {
	delayEveryOther := func(d time.Duration) func(l tglogclient.Log) tglogclient.Log {
		var n atomic.Int64
		return func(l tglogclient.Log) tglogclient.Log {
			return delayedLog{Log: l, delay: func() time.Duration { return time.Duration(n.Add(1)%2) * d }}
		}
	}
	for _, tc := range []struct {
		name  string
		fault func(s *system)
		pause time.Duration
		wrap  func(l tglogclient.Log) tglogclient.Log
		runs  bool // the request must run despite the fault
	}{
		{name: "appendsAfterTimeout", wrap: delayEveryOther(3 * time.Second)},
		{name: "appendsLate", wrap: delayEveryOther(500 * time.Millisecond), runs: true},
		{name: "appendsTwice", wrap: func(l tglogclient.Log) tglogclient.Log { return duplicatingLog{Log: l} }, runs: true},
		{name: "healthy", runs: true},
		{name: "holderPaused", pause: time.Hour, runs: true},
		{name: "logDown", fault: func(s *system) { s.log.SetDown(true) }},
		{name: "logSlow", fault: func(s *system) { s.log.SetDelay(300 * time.Millisecond) }, runs: true},
		{name: "logDownBriefly", fault: func(s *system) {
			s.log.SetDown(true)
			go func() { time.Sleep(time.Second); s.log.SetDown(false) }()
		}},
		{name: "repliesLost", fault: func(s *system) { s.log.LoseReplies(100) }, runs: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				if tc.wrap == nil {
					tc.wrap = unwrapped
				}
				for i := range 3 {
					s.start(fmt.Sprintf("c%d", i), tc.wrap)
				}
				time.Sleep(10 * time.Minute) // more than the clock skew, so that the processes are older than the keys
				if tc.fault != nil {
					tc.fault(s)
				}
				r := request(1)
				outcomes := make([]tgcall.Outcome, len(s.processes))
				var wg sync.WaitGroup
				for i, p := range s.processes {
					wg.Go(func() { outcomes[i] = s.call(p, r, tc.pause) })
				}
				wg.Wait()
				s.log.SetDown(false)
				s.log.SetDelay(0)
				time.Sleep(time.Minute)
				repeat := s.call(s.start("late", unwrapped), r, 0)
				assert.Assert(t, s.executions[r.Key] <= 1, "ran %d times", s.executions[r.Key])
				if tc.runs {
					assert.Equal(t, s.executions[r.Key], 1)
					assert.Equal(t, repeat, tgcall.Answered)
					assert.Assert(t, slices.Contains(outcomes, tgcall.Answered))
				}
				s.stop()
			})
		})
	}
}

// Guards against a request that runs without a claim because the log is down, and against a refusal that comes only
// after the claim timeout.
func TestOutageRefusesQuickly(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration // of the process when the key is made
		home bool
		want tgcall.Outcome
	}{
		{name: "home", age: time.Hour, home: true, want: tgcall.NotRun},
		{name: "homeStartedAfterKey", age: 0, home: true, want: tgcall.Unknown},
		{name: "notHome", age: time.Hour, want: tgcall.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem()
				p := s.start("c", unwrapped)
				time.Sleep(tc.age)
				s.log.SetDown(true)
				time.Sleep(5 * time.Second)
				r := request(1)
				r.IsHome = func() bool { return tc.home }
				started := time.Now()
				assert.Equal(t, s.call(p, r, 0), tc.want)
				assert.Assert(t, time.Since(started) <= claimTimeout)
				assert.Equal(t, s.executions[r.Key], 0)
				s.stop()
			})
		})
	}
}

// Guards against a second run of a request whose claim holder stopped before it recorded the result, and of one whose
// claim record has been dropped from the log.
func TestRepeatAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		holder := s.start("holder", unwrapped)
		time.Sleep(time.Second)
		r := request(1)
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		assert.Assert(t, holder.claimer.Acquire(ctx, r).Claim != uuid.Nil)
		holder.stop() // while the request is at the upstream
		assert.Equal(t, s.call(s.start("other", unwrapped), r, 0), tgcall.Unknown)

		time.Sleep(time.Hour)
		filler := request(2)
		assert.Equal(t, s.call(s.processes[1], filler, 0), tgcall.Answered)
		s.log.Truncate(tgclaimer.Stream("ledger"), 1) // drops the claim of r
		late := s.start("late", unwrapped)
		time.Sleep(time.Second)
		assert.Equal(t, s.call(late, r, 0), tgcall.Unknown)
		assert.Equal(t, s.executions[r.Key], 0)
		s.stop()
	})
}

// Guards against a recorded result that is replayed to a request with other content under the same key, and against
// a result that is lost once it is evicted from the cache.
func TestRepeatGetsRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		p := s.start("c", unwrapped)
		time.Sleep(time.Second)
		r := request(1)
		big := tgclaim.Result{Body: make([]byte, 5<<20), Head: tgframe.Head{Status: 200}}
		for n := range 3 { // enough to evict the first result from the cache
			x := request(n + 1)
			g := p.claimer.Acquire(t.Context(), x)
			result := big
			result.Claim, result.Key = g.Claim, x.Key
			p.claimer.Finish(x.Key, g.Claim, &result)
			time.Sleep(time.Second)
		}
		g := p.claimer.Acquire(t.Context(), r)
		assert.Assert(t, g.Replay != nil)
		assert.Equal(t, len(g.Replay.Body), len(big.Body))
		r.Digest = tgclaim.NewDigest("POST", "/p", []byte("other"))
		assert.Equal(t, p.claimer.Acquire(t.Context(), r).Failure.Code, tgcall.CodeIdempotencyKeyReused)
		s.stop()
	})
}
