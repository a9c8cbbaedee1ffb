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

	applied        atomic.Uint64 // of state
	batcher        *tglogclient.Batcher
	bootstrapped   atomic.Bool                     // the configuration was compared with the log or several peers
	cfg            atomic.Pointer[tgconfig.Config] // of state; requests read it without waiting for a change being applied
	configLog      tglogclient.Log
	counters       *counters
	fallbackAge    time.Duration       // age of the last confirmation at which this daemon reads the log although it is no reader
	fetchFrom      chan netip.AddrPort // address of a peer that has shown a newer configuration
	lastAnswer     atomic.Int64        // when a peer last answered, as time since started
	link           tglink.Dialer
	marks          *tgmark.Table
	members        *tgmember.Table
	peers          *tggossip.Peers
	pushSignal     chan struct{} // something to push to peers at once
	removalVersion atomic.Uint64 // grows with each change of removed
	removed        atomic.Pointer[removedCapacity]
	runStarted     atomic.Bool   // Run was called; before, there is no freshness to judge
	snapshotSlots  chan struct{} // one element for each snapshot being sent
	started        time.Time
	tracker        *tgfreshness.Tracker
	verifyMu       sync.Mutex // held while a silent member is probed
	vms            vmSource

	mu             sync.Mutex
	answeredPeers  map[string]bool // peers that answered before the node was bootstrapped
	decisions      []Decision
	history        history
	peerDigests    map[string]uint64 // digest of the marks that each peer showed last
	snapshot       []byte            // encoded state at snapshotOffset
	snapshotOffset uint64
	state          *tgconfig.State
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

func newNode(settings Settings, link tglink.Dialer, configLog tglogclient.Log, logger *logrus.Logger) *Node {
	now := time.Now()
	self := tgframe.Member{
		Address: settings.LinkAddress, DataCentre: settings.DataCentre, Generation: uint64(now.UnixNano()), Name: settings.Name,
	}
	n := &Node{
		Incarnation: uuid.New(),
		Log:         logger.WithField("process", settings.Name),
		Settings:    settings,

		answeredPeers: map[string]bool{},
		configLog:     configLog,
		counters:      newCounters(),
		fallbackAge:   jitter(meanFallbackAge),
		fetchFrom:     make(chan netip.AddrPort, 1),
		link:          link,
		marks:         tgmark.NewTable(),
		members:       tgmember.NewTable(self),
		peerDigests:   map[string]uint64{},
		peers:         tggossip.NewPeers(self),
		pushSignal:    make(chan struct{}, 1),
		snapshotSlots: make(chan struct{}, maxConcurrentSnapshots),
		started:       now,
		state:         tgconfig.NewState(),
		tracker:       tgfreshness.NewTracker(settings.DataCentre),
	}
	n.batcher = tglogclient.NewBatcher(directLog{n}, batchInterval, batchAppendTimeout)
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
	n.runStarted.Store(true)
	n.readInitialVMs(ctx)
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
