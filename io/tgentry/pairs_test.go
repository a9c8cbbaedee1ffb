package tgentry

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgcompanion"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// pairSystem is two entries and three upstreams whose requests are claimed in the log.
type pairSystem struct {
	cfg       *tgconfig.Config
	ctx       context.Context //nolint:containedctx // ends the background work of the companions
	engine    *tgstandin.PipeEngine
	entries   []*Entry
	link      *tgstandin.Link
	log       *tgstandin.Log
	nodeCount atomic.Int64 // nodes made so far; numbers their names
	mu        sync.Mutex   // guards gates and nodes
	gates     []*gatedLog  // by node
	nodes     []*tgnode.Node
	t         *testing.T
}

// gatedLog is a log whose answers can be held back, as a paused process gets them: they arrive after the pause.
type gatedLog struct {
	tglogclient.Log
	gate chan struct{} // holds one token, except during a pause
}

// awaitOpen waits for the end of a pause.
func (l *gatedLog) awaitOpen() { l.gate <- <-l.gate }

func (l *gatedLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	offset, err := l.Log.Append(ctx, stream, records)
	l.awaitOpen()
	return offset, err
}

func (l *gatedLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (tglogclient.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, wait)
	l.awaitOpen()
	return page, err
}

// pause holds the log's answers to the first companion back for the given time.
func (s *pairSystem) pause(d time.Duration) {
	s.mu.Lock()
	gate := s.gates[0].gate
	s.mu.Unlock()
	<-gate
	time.AfterFunc(d, func() { gate <- struct{}{} })
}

func pairUpstream(i int) string { return fmt.Sprintf("u%d", i) }

func newPairSystem(ctx context.Context, t *testing.T, e *tgstandin.PipeEngine, faults []tgstandin.LinkFault) *pairSystem {
	t.Helper()
	s := &pairSystem{
		ctx: ctx, engine: e, link: tgstandin.NewLink(faults...), log: tgstandin.NewLog(48 * time.Hour), t: t,
		cfg: &tgconfig.Config{
			DataCentres: map[string]tgconfig.DataCentre{
				"a": {Region: "r", State: tgconfig.Active}, "b": {Region: "r", State: tgconfig.Active},
			},
			Pools:     map[string]tgconfig.Pool{"p": {Kind: tgconfig.PlainPool, PathPrefix: "/x"}},
			Settings:  tgconfig.DefaultSettings(),
			Upstreams: map[string]tgconfig.Upstream{},
		},
	}
	for i := range 3 {
		s.cfg.Upstreams[pairUpstream(i)] = tgconfig.Upstream{
			Address: engineAddress(i), Companion: companionAddress(i), DataCentre: "ab"[i%2 : i%2+1], Pool: "p",
			State: tgconfig.Active,
		}
	}
	for i := range 3 {
		s.startCompanion(i)
	}
	s.entries = []*Entry{New(s.newNode()), New(s.newNode())}
	return s
}

func (s *pairSystem) newNode() *tgnode.Node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node := tgnode.New(tgnode.Settings{DataCentre: "a", Name: fmt.Sprintf("n%d", s.nodeCount.Add(1))}, s.link, logger)
	gate := &gatedLog{Log: tgstandin.DirectLog{Log: s.log}, gate: make(chan struct{}, 1)}
	gate.gate <- struct{}{}
	node.LogClient = gate
	s.fold(node, 0, tgconfig.NewState().Config(), s.cfg)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates, s.nodes = append(s.gates, gate), append(s.nodes, node)
	return node
}

func (s *pairSystem) fold(node *tgnode.Node, offset uint64, from, to *tgconfig.Config) {
	change, err := tgconfig.Diff(from, to)
	assert.NilError(s.t, err)
	record, err := tgrecord.New(tgrecord.KindConfigChange, "test", offset, change)
	assert.NilError(s.t, err)
	assert.NilError(s.t, node.ApplyEntry(tglogclient.Entry{Offset: offset, Records: []tgrecord.Record{record}}))
}

func (s *pairSystem) startCompanion(i int) {
	client := tgupstream.New(netip.AddrPort{}, tgupstream.WithDial(s.engine.Dial))
	c := tgcompanion.New(s.newNode(), pairUpstream(i), client)
	go c.RunBackground(s.ctx)
	s.link.Register(companionAddress(i), c.Handle)
}

func (s *pairSystem) withdraw() {
	next := *s.cfg
	next.DataCentres = map[string]tgconfig.DataCentre{
		"a": {Region: "r", State: tgconfig.Withdrawn}, "b": {Region: "r", State: tgconfig.Active},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		s.fold(n, 1, s.cfg, &next)
	}
}

func (s *pairSystem) call(entry int, x *tgframe.Execute) (string, *tgcall.Failure) {
	return (&system{entry: s.entries[entry]}).run(x)
}

// pairFault is one fault. It fails an exchange, changes the engine or acts on the running system; unused fields are nil.
type pairFault struct {
	name   string
	link   *tgstandin.LinkFault
	engine func(e *tgstandin.PipeEngine)
	inject func(s *pairSystem) // called just before the first call
}

// later returns a fault that runs f 700 ms after the first call has begun.
func later(f func(s *pairSystem)) func(s *pairSystem) {
	return func(s *pairSystem) { time.AfterFunc(700*time.Millisecond, func() { f(s) }) }
}

var pairFaults = []pairFault{
	{name: "companionsRestart", inject: later(func(s *pairSystem) {
		for i := range 3 {
			s.startCompanion(i)
		}
	})},
	{name: "connectionCut", link: &tgstandin.LinkFault{DisconnectAfter: 1}},
	{name: "connectionRefused", link: &tgstandin.LinkFault{RefuseOpen: true}},
	{name: "connectionSilent", link: &tgstandin.LinkFault{SilentAfter: 1}},
	{name: "dataCentreWithdrawn", inject: later(func(s *pairSystem) { s.withdraw() })},
	{name: "framesTwice", link: &tgstandin.LinkFault{DuplicateReplies: true}},
	{name: "logDown", inject: func(s *pairSystem) {
		s.log.SetDown(true)
		time.AfterFunc(20*time.Second, func() { s.log.SetDown(false) })
	}},
	{name: "logDownLater", inject: later(func(s *pairSystem) {
		s.log.SetDown(true)
		time.AfterFunc(20*time.Second, func() { s.log.SetDown(false) })
	})},
	{name: "logSlow", inject: func(s *pairSystem) { s.log.SetDelay(400 * time.Millisecond) }},
	{name: "processPaused", inject: later(func(s *pairSystem) { s.pause(15 * time.Second) })},
	{name: "repliesLost", inject: func(s *pairSystem) { s.log.LoseReplies(3) }},
	{name: "requestLate", link: &tgstandin.LinkFault{RequestDelay: 8 * time.Second}},
	{name: "upstreamCold", engine: func(e *tgstandin.PipeEngine) { e.Interval *= 5 }},
	{name: "upstreamDies", engine: func(e *tgstandin.PipeEngine) { e.DisconnectAfter = 3 }},
}

// forEachPair calls check with each fault alone and with each pair of different faults. If both fail an exchange, the
// first fault fails the first exchange and the second fault the next one.
func forEachPair(t *testing.T, newEngine func() *tgstandin.PipeEngine, check func(t *testing.T, s *pairSystem)) {
	t.Helper()
	for i, first := range pairFaults {
		for _, second := range pairFaults[i:] {
			t.Run(first.name+"+"+second.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newEngine()
					var links []tgstandin.LinkFault
					pair := slices.CompactFunc([]pairFault{first, second}, func(a, b pairFault) bool { return a.name == b.name })
					for _, f := range pair {
						if f.link != nil {
							links = append(links, *f.link)
						}
						if f.engine != nil {
							f.engine(e)
						}
					}
					ctx, cancel := context.WithCancel(context.Background())
					s := newPairSystem(ctx, t, e, links)
					// Longer than the clock skew that is allowed for keys, so that the keys are surely younger than the processes.
					time.Sleep(10 * time.Minute)
					for _, f := range pair {
						if f.inject != nil {
							f.inject(s)
						}
					}
					check(t, s)
					cancel()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// Guards, under each pair of faults, against three failures when a caller repeats a request with the same idempotency key
// at another entry: the request runs twice, an incomplete answer is taken for a whole one, or every call is answered with
// "not run" although the request ran.
func TestPairsOfFaultsClaimed(t *testing.T) {
	whole := strings.Repeat("1", tokens)
	forEachPair(t, plainEngine, func(t *testing.T, s *pairSystem) {
		t.Helper()
		key := uuid.Must(uuid.NewV7()).String()
		newCall := func(n int) *tgframe.Execute {
			x := newRequest(false, false)
			x.Deadline, x.IdempotencyKey, x.RequestID = time.Now().Add(30*time.Second), key, fmt.Sprintf("r%d", n)
			return x
		}
		type result struct {
			body    string
			failure *tgcall.Failure
		}
		results := make([]result, 3)
		second := make(chan struct{})
		go func() {
			defer close(second)
			time.Sleep(2 * time.Second) // the caller stops waiting and repeats the request
			body, failure := s.call(1, newCall(1))
			results[1] = result{body, failure}
		}()
		body, failure := s.call(0, newCall(0))
		results[0] = result{body, failure}
		<-second
		time.Sleep(time.Minute)
		body, failure = s.call(1, newCall(2))
		results[2] = result{body, failure}
		runs := s.engine.Executions.Load()
		assert.Assert(t, runs <= 1, "ran %d times", runs)
		notRun := 0
		for i, r := range results {
			switch {
			case r.failure == nil:
				assert.Equal(t, r.body, whole, "call %d", i)
				assert.Equal(t, runs, int64(1))
			case r.failure.Outcome == tgcall.NotRun:
				notRun++
			}
		}
		assert.Assert(t, notRun < len(results) || runs == 0, "all calls were answered with not run, but the request ran")
	})
}

// Guards, under each pair of faults, against a stream that is cut without an error event, or that repeats or loses tokens.
func TestPairsOfFaultsStreamed(t *testing.T) {
	forEachPair(t, engine, func(t *testing.T, s *pairSystem) {
		t.Helper()
		x := newRequest(true, true)
		x.Deadline = time.Now().Add(time.Minute)
		body, failure := s.call(0, x)
		if failure != nil {
			if failure.Outcome == tgcall.NotRun {
				assert.Equal(t, s.engine.Executions.Load(), int64(0))
			}
			return
		}
		if strings.HasSuffix(body, "data: [DONE]\n\n") {
			assert.Equal(t, body, events(tokens))
			return
		}
		delivered, last, ok := strings.Cut(body, `data: {"error":`)
		assert.Assert(t, ok && strings.HasSuffix(last, "\n\n"), "ends without an error: %s", body)
		assert.Assert(t, strings.HasPrefix(events(tokens), delivered), "%s", delivered)
	})
}
