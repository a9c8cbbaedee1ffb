// Package tgnode is the control part that entry and companion daemons share: it follows the configuration in the log,
// keeps the membership by gossip, judges the configuration's freshness, and handles volatile marks and snapshots.
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

// ConfigStream is the name of the log stream that holds the configuration changes.
const ConfigStream = "config"

// Settings are the values from a process's settings file that the control part needs.
type Settings struct {
	AdminAddress  netip.AddrPort
	DataCentre    string
	LinkAddress   netip.AddrPort
	LogAddress    netip.AddrPort
	Name          string
	Seeds         []netip.AddrPort // link addresses of peers to contact while no peer is known
	VMListAddress netip.AddrPort   // not valid if there is no VM list; peers then come from the configuration
}

// Node is the control part of a daemon.
type Node struct {
	Incarnation uuid.UUID
	Log         *logrus.Entry
	LogClient   tglogclient.Log
	Settings    Settings
	Transport   tglink.Link

	applied        atomic.Uint64 // offset after the last append applied to state
	batcher        *tglogclient.Batcher
	bootstrapped   atomic.Bool                     // set once the configuration was compared with the log or several peers
	cfg            atomic.Pointer[tgconfig.Config] // of state; requests read it without waiting for a change to be applied
	configLog      tglogclient.Log
	counters       *counters
	fallbackAge    time.Duration       // age of the last confirmation from which on even a non-reader reads the log
	fetchFrom      chan netip.AddrPort // link address of a peer that has shown a newer configuration
	lastAnswer     atomic.Int64        // when a peer last answered gossip, in nanoseconds after started
	link           tglink.Dialer
	marks          *tgmark.Table
	members        *tgmember.Table
	peers          *tggossip.Peers
	pushSignal     chan struct{} // holds an element if there is something to push before the next gossip round
	removalVersion atomic.Uint64 // incremented at each update of removed
	removed        atomic.Pointer[removedCapacity]
	runStarted     atomic.Bool   // set by Run; before, there is no freshness to judge
	snapshotSlots  chan struct{} // semaphore: one element for each snapshot being sent
	started        time.Time
	tracker        *tgfreshness.Tracker
	verifyMu       sync.Mutex // held while a member that does not answer is probed
	vms            vmSource   // nil if there is no VM list

	mu             sync.Mutex      // guards the fields below
	answeredPeers  map[string]bool // names of the peers that answered before the node was bootstrapped
	decisions      []Decision      // latest decisions, the oldest first
	history        history
	peerDigests    map[string]uint64 // digest of the marks that each peer showed last, by name
	snapshot       []byte            // encoded state as of snapshotOffset; nil until a peer first needs it
	snapshotOffset uint64
	state          *tgconfig.State
}

// New returns a node that is not started; Run starts it.
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
		Address: settings.LinkAddress, DataCentre: settings.DataCentre, Name: settings.Name,
		Generation: uint64(now.UnixNano()), //nolint:forbidigo // increases across restarts, which only the time of day does
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

// Applied returns the offset after the last append of the configuration stream that was applied; 0 if there is none.
func (n *Node) Applied() uint64 { return n.applied.Load() }

// Sender returns the identity of this process, which is sent with the first frame of each direction of an exchange.
func (n *Node) Sender() *tgframe.Sender {
	return &tgframe.Sender{
		Address: n.Settings.LinkAddress, Applied: n.Applied(), Incarnation: n.Incarnation, Name: n.Settings.Name,
	}
}

// Run keeps the control state up to date until ctx is done.
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

// Serve answers the control frames of other daemons until ctx is done, for a daemon that serves no other frames.
func (n *Node) Serve(ctx context.Context) error { return n.Transport.Serve(ctx, n.serve) }

func (n *Node) serve(ctx context.Context, x tglink.Exchange) {
	f, err := x.Receive(ctx)
	if err == nil && !n.HandleControl(ctx, x, f) {
		n.Log.WithField("kind", f.Kind).Warn("exchange does not start with a control frame")
	}
}
