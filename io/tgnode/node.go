// Package tgnode is the part that entry and companion share: identity, configuration, membership, gossip, freshness,
// volatile marks and state dump.
package tgnode

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgfreshness"
	"tanagergrade/core/tggossip"
	"tanagergrade/core/tgmark"
	"tanagergrade/core/tgmember"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tglogclient"
)

// ConfigStream is the stream of configuration changes.
const ConfigStream = "config"

// Settings are what a process learns from its settings file.
type Settings struct {
	AdminAddress  netip.AddrPort
	DataCentre    string
	LinkAddress   netip.AddrPort
	LogAddress    netip.AddrPort
	Name          string
	Seeds         []netip.AddrPort // link addresses of peers to contact while none is known
	VMListAddress netip.AddrPort   // not valid if there is no VM list; peers then come from the configuration
}

// Node is the control part of a daemon.
type Node struct {
	Incarnation uuid.UUID
	Log         *logrus.Entry
	LogClient   tglogclient.Log
	Settings    Settings
	Transport   tglink.Link

	applied    atomic.Uint64 // of state
	booted     atomic.Bool   // the configuration was compared with the log or several peers
	batcher    *tglogclient.Batcher
	behind     chan netip.AddrPort             // address of a peer that has shown a newer configuration
	cfg        atomic.Pointer[tgconfig.Config] // of state; requests read it without waiting for a change being applied
	counters   *counters
	fallback   time.Duration // age of the last confirmation at which this daemon reads the log although it is no reader
	lastAnswer atomic.Int64  // when a peer last answered, as time since started
	link       tglink.Dialer
	marks      *tgmark.Table
	members    *tgmember.Table
	news       chan struct{} // something to push to peers at once
	peers      *tggossip.Peers
	following  atomic.Bool   // Run was called; before, there is no freshness to judge
	removals   atomic.Uint64 // grows with each change of removed
	removed    atomic.Pointer[removedCapacity]
	source     tglogclient.Log
	started    time.Time
	tracker    *tgfreshness.Tracker
	vms        vmSource
	verify     sync.Mutex    // held while a silent member is probed
	serving    chan struct{} // one element for each snapshot being sent

	mu        sync.Mutex
	answered  map[string]bool // peers that answered before the node was bootstrapped
	decisions []Decision
	digests   map[string]uint64 // digest of the marks that each peer showed last
	history   history
	snapshot  []byte // encoded state at snapshotAt
	state     *tgconfig.State

	snapshotAt uint64
}

// New returns a node that does not run yet.
func New(settings Settings, transport tglink.Link, logger *logrus.Logger) *Node {
	client := tglogclient.New(settings.LogAddress)
	n := newNode(settings, transport, client, logger)
	n.LogClient, n.Transport = client, transport
	if settings.VMListAddress.IsValid() {
		n.vms = newVMClient(settings.VMListAddress)
	}
	return n
}

func newNode(settings Settings, link tglink.Dialer, source tglogclient.Log, logger *logrus.Logger) *Node {
	now := time.Now()
	self := tgframe.Member{
		Address: settings.LinkAddress, DataCentre: settings.DataCentre, Generation: uint64(now.UnixNano()), Name: settings.Name,
	}
	n := &Node{
		Incarnation: uuid.New(),
		Log:         logger.WithField("process", settings.Name),
		Settings:    settings,

		answered: map[string]bool{},
		behind:   make(chan netip.AddrPort, 1),
		counters: newCounters(),
		digests:  map[string]uint64{},
		fallback: jitter(fallbackAge),
		link:     link,
		marks:    tgmark.NewTable(),
		members:  tgmember.NewTable(self),
		news:     make(chan struct{}, 1),
		peers:    tggossip.NewPeers(self),
		serving:  make(chan struct{}, maxSnapshotsServed),
		source:   source,
		started:  now,
		state:    tgconfig.NewState(),
		tracker:  tgfreshness.NewTracker(settings.DataCentre),
	}
	n.batcher = tglogclient.NewBatcher(directLog{n}, gatherInterval, gatherAppend)
	n.removed.Store(&removedCapacity{})
	n.cfg.Store(n.state.Config())
	return n
}

// Config returns the accepted configuration.
func (n *Node) Config() *tgconfig.Config { return n.cfg.Load() }

// Applied returns the offset after the last configuration record folded.
func (n *Node) Applied() uint64 { return n.applied.Load() }

// Sender returns the identity that goes with the first frame of each direction.
func (n *Node) Sender() *tgframe.Sender {
	return &tgframe.Sender{
		Address: n.Settings.LinkAddress, Applied: n.Applied(), Incarnation: n.Incarnation, Name: n.Settings.Name,
	}
}

// Run keeps the control state up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer n.batcher.Wait()
	defer wg.Wait()
	n.following.Store(true)
	n.joinVMs(ctx)
	wg.Go(func() { n.readLog(ctx) })
	wg.Go(func() { n.gossip(ctx) })
	wg.Go(func() { n.push(ctx) })
	wg.Go(func() { n.catchUp(ctx) })
	wg.Go(func() { n.writeMarks(ctx) })
	wg.Go(func() { n.writeSnapshots(ctx) })
	wg.Go(func() { n.pollVMs(ctx) })
}

// Serve answers the control frames of other daemons until ctx ends, for a daemon that serves nothing else.
func (n *Node) Serve(ctx context.Context) error { return n.Transport.Serve(ctx, n.serve) }

func (n *Node) serve(ctx context.Context, x tglink.Exchange) {
	f, err := x.Receive(ctx)
	if err == nil && !n.HandleControl(ctx, x, f) {
		n.Log.WithField("kind", f.Kind).Warn("unexpected first frame")
	}
}
