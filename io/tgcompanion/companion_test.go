package tgcompanion

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

var testAddress = netip.MustParseAddrPort("127.0.0.1:1000")

func newTestCompanion(t *testing.T, link *tgstandin.Link, e *tgstandin.PipeEngine) *Companion {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node := tgnode.New(tgnode.Settings{Name: "c"}, link, logger)
	cfg := &tgconfig.Config{
		DataCentres: map[string]tgconfig.DataCentre{"a": {Region: "r", State: tgconfig.Active}},
		Pools:       map[string]tgconfig.Pool{"p": {Kind: tgconfig.ModelPool, Models: []string{"m"}}},
		Settings:    tgconfig.DefaultSettings(),
		Upstreams: map[string]tgconfig.Upstream{"u": {
			Address: testAddress, ChecksIdempotencyKeys: true, Companion: testAddress, DataCentre: "a", Pool: "p", State: tgconfig.Active,
		}},
	}
	cfg.Settings.DrainTimeout = 50 * time.Second // less than the deadline of the attempts
	assert.NilError(t, cfg.Validate())
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), cfg)
	assert.NilError(t, err)
	record, err := tgrecord.New(tgrecord.KindConfigChange, "test", 0, change)
	assert.NilError(t, err)
	assert.NilError(t, node.ApplyEntry(tglogclient.Entry{Records: []tgrecord.Record{record}}))
	c := New(node, "u", tgupstream.New(netip.AddrPort{}, tgupstream.WithDial(e.Dial)))
	link.Register(testAddress, c.Handle)
	return c
}

// execute sends an attempt and returns its end, or nil if the exchange ended without one.
func execute(t *testing.T, link *tgstandin.Link, n int) *tgframe.End {
	t.Helper()
	x, err := link.Open(t.Context(), testAddress)
	assert.NilError(t, err)
	defer x.Close()
	e := &tgframe.Execute{
		Attempt: testID(n), Deadline: time.Now().Add(time.Minute), Idempotent: true, Method: "POST", Path: "/x",
		Stream: true, Upstream: "u",
	}
	assert.NilError(t, x.Send(t.Context(), tgframe.Frame{Execute: e, Kind: tgframe.KindExecute}))
	for {
		f, err := x.Receive(t.Context())
		if err != nil {
			return nil
		}
		if f.End != nil {
			return f.End
		}
	}
}

// Guards against a planned stop that cuts attempts before the drain timeout, accepts new ones or waits beyond the timeout.
// Also guards against an attempt cut by the stop with a failure such as "cancelled", which its entry would not retry.
func TestDrain(t *testing.T) {
	for name, row := range map[string]struct {
		tokens  int // one every 2 s
		outcome tgcall.Outcome
		code    tgcall.Code
		drained time.Duration
	}{
		"finishes in time": {tokens: 10, outcome: tgcall.Answered, drained: 19 * time.Second},
		"takes too long":   {tokens: 30, outcome: tgcall.Unknown, code: tgcall.CodeDraining, drained: 50 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				link := tgstandin.NewLink()
				e := &tgstandin.PipeEngine{Interval: 2 * time.Second, Tokens: row.tokens}
				c := newTestCompanion(t, link, e)
				end := make(chan *tgframe.End, 1)
				go func() { end <- execute(t, link, 1) }()
				time.Sleep(time.Second)
				started := time.Now()
				drained := make(chan time.Duration, 1)
				go func() {
					c.drain()
					drained <- time.Since(started)
				}()
				time.Sleep(time.Second)
				refused := execute(t, link, 2)
				assert.Equal(t, refused.Failure.Code, tgcall.CodeDraining)
				assert.Equal(t, refused.Outcome, tgcall.NotRun)
				got := <-end
				assert.Equal(t, got.Outcome, row.outcome)
				if row.code != "" {
					assert.Equal(t, got.Failure.Code, row.code)
				}
				assert.Assert(t, (<-drained-row.drained).Abs() < 200*time.Millisecond)
				assert.Equal(t, e.Executions.Load(), int64(1))
				time.Sleep(3 * time.Second) // the engine notices the closed connection at its next token
			})
		})
	}
}

// Guards against a companion that stops before the entry of a finished answer, whose connection has fallen silent, has
// re-attached and fetched it.
func TestDrainWaitsForAttach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := tgstandin.NewLink(tgstandin.LinkFault{SilentAfter: 1})
		c := newTestCompanion(t, link, &tgstandin.PipeEngine{Interval: time.Second, Tokens: 1})
		go execute(t, link, 1)
		time.Sleep(500 * time.Millisecond)
		drained := make(chan struct{})
		go func() {
			c.drain()
			close(drained)
		}()
		time.Sleep(4 * time.Second)
		select {
		case <-drained:
			t.Fatal("stopped before its answer was fetched")
		default:
		}
		end := execute(t, link, 1)
		assert.Equal(t, end.Outcome, tgcall.Answered)
		<-drained
	})
}

// Guards against an entry that does not close an exchange after the end frame and so delays a stop of the companion.
func TestConfirmationIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := tgstandin.NewLink()
		newTestCompanion(t, link, &tgstandin.PipeEngine{Tokens: 1})
		x, err := link.Open(t.Context(), testAddress)
		assert.NilError(t, err)
		e := &tgframe.Execute{Attempt: testID(1), Deadline: time.Now().Add(time.Minute), Idempotent: true, Upstream: "u", Method: "GET", Path: "/"}
		assert.NilError(t, x.Send(t.Context(), tgframe.Frame{Execute: e, Kind: tgframe.KindExecute}))
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for err == nil {
			_, err = x.Receive(ctx)
		}
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, time.Since(started), confirmTimeout)
	})
}
