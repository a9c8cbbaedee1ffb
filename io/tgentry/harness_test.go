package tgentry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// system is an entry with companions that are connected in memory. The n-th execution goes to the n-th engine, or to the
// last one if there are fewer, whichever upstream it was sent to.
type system struct {
	cfg     *tgconfig.Config
	dialled atomic.Int64 // connections to engines so far
	engines []*tgstandin.PipeEngine
	entry   *Entry
	link    *tgstandin.Link
}

const (
	plainUpstream = "q1"
	testKey       = "key"
	testKeyHash   = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683" // SHA-256 of testKey
)

var upstreamNames = []string{"u1", "u2", "u3", plainUpstream}

func companionAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
}

func engineAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(2000+i))
}

func newSystem(t *testing.T, upstreams int, link *tgstandin.Link, engines ...*tgstandin.PipeEngine) *system {
	t.Helper()
	s := &system{engines: engines, link: link}
	s.cfg = &tgconfig.Config{
		Accounts:    map[string]tgconfig.Account{"acc": {KeyHash: testKeyHash, Priority: "live", Share: 1}},
		DataCentres: map[string]tgconfig.DataCentre{"a": {Region: "r", State: tgconfig.Active}},
		Pools: map[string]tgconfig.Pool{
			"p": {Kind: tgconfig.ModelPool, Models: []string{"m"}},
			"q": {Kind: tgconfig.PlainPool, PathPrefix: "/q/", Operations: []tgconfig.Operation{{Idempotent: true, Method: "GET", Path: "/q/"}}},
		},
		Settings:  tgconfig.DefaultSettings(),
		Upstreams: map[string]tgconfig.Upstream{},
	}
	for i := range upstreams {
		s.cfg.Upstreams[upstreamNames[i]] = tgconfig.Upstream{
			Address: engineAddress(i), ChecksIdempotencyKeys: true, Companion: companionAddress(i), DataCentre: "a", Pool: "p", State: tgconfig.Active,
		}
	}
	plain := s.cfg.Upstreams[upstreamNames[0]]
	plain.Address, plain.Companion, plain.Pool = engineAddress(len(upstreamNames)-1), companionAddress(len(upstreamNames)-1), "q"
	s.cfg.Upstreams[plainUpstream] = plain
	s.entry = New(s.newNode(t))
	for i := range upstreams {
		s.startCompanion(t, i)
	}
	s.startCompanion(t, len(upstreamNames)-1)
	return s
}

// startCompanion starts the companion of upstream i and replaces an earlier one, as a restart does.
func (s *system) startCompanion(t *testing.T, i int) {
	t.Helper()
	client := tgupstream.New(netip.AddrPort{}, tgupstream.WithDial(s.dial))
	s.link.Register(companionAddress(i), tgcompanion.New(s.newNode(t), upstreamNames[i], client).Handle)
}

func (s *system) dial(ctx context.Context) (net.Conn, error) {
	n := int(s.dialled.Add(1))
	return s.engines[min(n, len(s.engines))-1].Dial(ctx)
}

func (s *system) newNode(t *testing.T) *tgnode.Node {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node := tgnode.New(tgnode.Settings{DataCentre: "a", Name: "n"}, s.link, logger)
	assert.NilError(t, s.cfg.Validate())
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), s.cfg)
	assert.NilError(t, err)
	record, err := tgrecord.New(tgrecord.KindConfigChange, "test", 0, change)
	assert.NilError(t, err)
	assert.NilError(t, node.ApplyEntry(tglogclient.Entry{Records: []tgrecord.Record{record}}))
	assert.Equal(t, len(node.Config().Upstreams), len(s.cfg.Upstreams), "test configuration was not accepted")
	return node
}

// executions returns how many requests the engines have run.
func (s *system) executions() int {
	n := int64(0)
	for _, e := range s.engines {
		n += e.Executions.Load()
	}
	return int(n)
}

func newRequest(idempotent, stream bool) *tgframe.Execute {
	x := &tgframe.Execute{
		Account: "a", Deadline: time.Now().Add(time.Minute), Idempotent: idempotent, Method: "POST", Path: "/x",
		Pool: "p", RequestID: "r1", Stream: stream, ExpectedTokens: 1,
	}
	if !idempotent {
		x.IdempotencyKey = "k"
	}
	return x
}

// run runs a request and returns the body that its caller gets, or the failure of one that is not streamed.
func (s *system) run(x *tgframe.Execute) (string, *tgcall.Failure) {
	l := s.entry.newCall(x, nil)
	body, failure := l.awaitAnswer()
	if failure != nil || !l.streaming {
		l.close(failure)
		return string(body), failure
	}
	stream := &streamBody{call: l}
	data, _ := io.ReadAll(stream)
	_ = stream.Close()
	return string(data), nil
}

// events returns the whole stream with which an engine answers.
func events(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tgstandin.PipeEvent(i))
	}
	return b.String() + "data: [DONE]\n\n"
}
