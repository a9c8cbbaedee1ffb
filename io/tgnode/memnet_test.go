package tgnode

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgmember"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

var errUnreachable = errors.New("not reachable")

// cluster runs the control part of many daemons over an in-memory transport, on the fake clock of testing/synctest.
type cluster struct {
	tb           testing.TB
	contacted    map[[2]string]bool         // pairs of daemons; the first has opened an exchange with the second
	cut          func(from, to string) bool // whether messages are dropped, by name of daemon; the log is named "log"
	dataCentreOf map[string]string
	duplicate    float64
	latency      time.Duration
	log          *tgstandin.Log
	loss         float64
	mu           sync.Mutex
	nameOf       map[netip.AddrPort]string
	names        []string
	nodes        map[string]*runningNode
	random       *rand.Rand
	vms          *tgstandin.VMList
}

type runningNode struct {
	*Node
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // the life of the daemon, needed by frames that arrive
	done   chan struct{}
}

// newCluster starts perDataCentre daemons in each of the data centres. The first letter of a data centre's name is its
// region.
func newCluster(tb testing.TB, seed uint64, perDataCentre int, dataCentres ...string) *cluster {
	tb.Helper()
	c := &cluster{
		tb: tb, contacted: map[[2]string]bool{}, cut: noneCut, dataCentreOf: map[string]string{}, latency: time.Millisecond,
		log: tgstandin.NewLog(24 * time.Hour), nameOf: map[netip.AddrPort]string{}, nodes: map[string]*runningNode{},
		random: rand.New(rand.NewPCG(seed, seed)), vms: tgstandin.NewVMList(0),
	}
	cfg := *tgconfig.NewState().Config()
	cfg.DataCentres, cfg.Upstreams = map[string]tgconfig.DataCentre{}, map[string]tgconfig.Upstream{}
	cfg.Pools = map[string]tgconfig.Pool{"p": {Kind: tgconfig.ModelPool, Models: []string{"m"}}}
	for _, d := range dataCentres {
		cfg.DataCentres[d] = tgconfig.DataCentre{Region: d[:1], State: tgconfig.Active}
		for range perDataCentre {
			name := fmt.Sprintf("%s-%d", d, len(c.names))
			c.names = append(c.names, name)
			c.dataCentreOf[name] = d
			address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(c.names)))
			c.nameOf[address] = name
			c.vms.Set(tgstandin.VM{Address: address, DataCentre: d, Name: name, State: "live"})
			cfg.Upstreams[name] = tgconfig.Upstream{
				Address: address, Companion: address, DataCentre: d, Pool: "p", State: tgconfig.Active,
			}
		}
	}
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), &cfg)
	assert.NilError(tb, err)
	c.publish(0, change)
	for _, name := range c.names {
		c.start(name, 0)
	}
	return c
}

// publish appends a configuration change to the log and returns its offset.
func (c *cluster) publish(base uint64, change tgconfig.Change) uint64 {
	r, err := tgrecord.New(tgrecord.KindConfigChange, "test", base, change)
	assert.NilError(c.tb, err)
	offset, err := tgstandin.DirectLog{Log: c.log}.Append(context.Background(), ConfigStream, []tgrecord.Record{r})
	assert.NilError(c.tb, err)
	return offset
}

// withdrawalChange returns a change that withdraws data centre d.
func withdrawalChange(tb testing.TB, d string) tgconfig.Change {
	tb.Helper()
	raw, err := cbor.Marshal(tgconfig.DataCentre{Region: d[:1], State: tgconfig.Withdrawn})
	assert.NilError(tb, err)
	return tgconfig.Change{Entities: []tgconfig.EntityChange{{
		Entity: tgconfig.Entity{Kind: tgconfig.EntityDataCentre, Name: d}, Value: raw,
	}}}
}

// start starts a daemon. A generation other than 0 replaces the one from the clock, as after the clock was set.
func (c *cluster) start(name string, generation uint64) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := Settings{DataCentre: c.dataCentreOf[name], Name: name}
	for address, n := range c.nameOf {
		if n == name {
			settings.LinkAddress = address
		}
	}
	n := newNode(settings, memLink{c, name}, memLog{c, name}, logger)
	n.vms = memVMs{c}
	if generation != 0 {
		self := n.members.Self()
		self.Generation = generation
		n.members = tgmember.NewTable(self)
	}
	r := &runningNode{Node: n, done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	c.mu.Lock()
	c.nodes[name] = r
	c.mu.Unlock()
	go func() {
		defer close(r.done)
		n.Run(r.ctx)
	}()
}

func (c *cluster) stop(names ...string) {
	for _, name := range names {
		c.nodes[name].cancel()
	}
	for _, name := range names {
		<-c.nodes[name].done
	}
}

func (c *cluster) restart(names ...string) {
	c.stop(names...)
	for _, name := range names {
		c.start(name, 0)
	}
}

// impair sets the faults of the transport: the probabilities that a message is lost or duplicated, and the cut.
func (c *cluster) impair(loss, duplicate float64, cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss, c.duplicate, c.cut = loss, duplicate, cut
}

// noneCut is the cut of a network without partitions.
func noneCut(string, string) bool { return false }

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut(from, to)
}

// namesWithPrefix returns the names of the daemons that start with prefix, which may be that of a region or data
// centre.
func (c *cluster) namesWithPrefix(prefix string) []string {
	var names []string
	for _, name := range c.names {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			names = append(names, name)
		}
	}
	return names
}

// waitFor waits until all named daemons satisfy ok, at most for limit. It returns the time waited and whether they do.
func (c *cluster) waitFor(limit time.Duration, names []string, ok func(n *Node) bool) (time.Duration, bool) {
	started := time.Now()
	for {
		all := true
		for _, name := range names {
			all = all && ok(c.nodes[name].Node)
		}
		if all || time.Since(started) >= limit {
			return time.Since(started), all
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// memLink is the transport as one daemon uses it.
type memLink struct {
	c    *cluster
	name string
}

func (memLink) RetireConnection(netip.AddrPort) {}

func (d memLink) Open(_ context.Context, address netip.AddrPort) (tglink.Exchange, error) {
	return &memExchange{c: d.c, from: d.name, in: make(chan []byte, 4), to: d.c.nameOf[address]}, nil
}

// memExchange is one side of an exchange. Peer is the other side; it is set only on the side that serves.
type memExchange struct {
	c        *cluster
	from, to string
	in       chan []byte
	peer     *memExchange
}

func (x *memExchange) Buffered() bool { return len(x.in) > 0 }

func (x *memExchange) Close() error { return nil }

func (x *memExchange) Receive(ctx context.Context) (tgframe.Frame, error) {
	var f tgframe.Frame
	select {
	case <-ctx.Done():
		return f, ctx.Err()
	case data := <-x.in:
		return f, cbor.Unmarshal(data, &f)
	}
}

func (x *memExchange) Send(_ context.Context, f tgframe.Frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	c := x.c
	c.mu.Lock()
	if x.peer == nil {
		c.contacted[[2]string{x.from, x.to}] = true
	}
	copies := 1
	if c.random.Float64() < c.loss || c.cut(x.from, x.to) {
		copies = 0
	} else if c.random.Float64() < c.duplicate {
		copies = 2
	}
	to := c.nodes[x.to]
	c.mu.Unlock()
	for range copies {
		time.AfterFunc(c.latency, func() { x.deliver(to, data) })
	}
	return nil
}

func (x *memExchange) deliver(to *runningNode, data []byte) {
	switch {
	case to == nil || to.ctx.Err() != nil:
	case x.peer != nil:
		select {
		case x.peer.in <- data:
		default:
		}
	default:
		served := &memExchange{c: x.c, from: x.to, in: make(chan []byte, 1), peer: x, to: x.from}
		served.in <- data
		go to.serve(to.ctx, served)
	}
}

// memLog is the log as one daemon uses it; it fails while the daemon is cut off from the log.
type memLog struct {
	c    *cluster
	name string
}

func (l memLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	if l.c.isCut(l.name, "log") {
		return 0, errUnreachable
	}
	return tgstandin.DirectLog{Log: l.c.log}.Append(ctx, stream, records)
}

func (l memLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (tglogclient.Page, error) {
	if l.c.isCut(l.name, "log") {
		return tglogclient.Page{}, errUnreachable
	}
	page, err := tgstandin.DirectLog{Log: l.c.log}.Read(ctx, stream, from, wait)
	if l.c.isCut(l.name, "log") {
		return tglogclient.Page{}, errUnreachable
	}
	return page, err
}

// memVMs is the VM list as a daemon reads it.
type memVMs struct{ c *cluster }

func (v memVMs) VMs(_ context.Context, since uint64) ([]tgframe.Member, uint64, error) {
	page, ok := v.c.vms.Page(since)
	if !ok {
		return nil, 0, errUnreachable
	}
	var vms []tgframe.Member
	for _, vm := range page.VMs {
		m := tgframe.Member{Address: vm.Address, DataCentre: vm.DataCentre, Name: vm.Name, Status: tgframe.MemberListed}
		if vm.State == vmStateLeaving {
			m.Status = tgframe.MemberLeaving
		}
		vms = append(vms, m)
	}
	return vms, page.Version, nil
}
