package tgcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgera"
	"tanagergrade/core/tglogtable"
	"tanagergrade/io/tgfleet"
	"tanagergrade/io/tgguard"
	"tanagergrade/io/tgproxy"
	"tanagergrade/io/tgreport"
	tgplatform "tanagergrade/platform"
)

const (
	gcPercent           = 200  // growth of the heap, relative to the live data, that starts a garbage collection
	memoryLimitFraction = 0.45 // soft memory limit of the Go runtime, as a fraction of the platform's limit
)

func (c *config) newPlatformCmd() *cobra.Command {
	cmd := newGroupCmd("platform", "Run daemons on the users' platform")
	cmd.Long = "Runs the daemons on the users' platform. The platform gives each process its settings in the file that " +
		tgplatform.SettingsEnv + " names."
	cmd.AddCommand(c.newPlatformCompanionCmd(), c.newPlatformConfigCmd(), c.newPlatformDumpCmd(), c.newPlatformEntryCmd(), c.newPlatformExplainCmd(),
		c.newPlatformQuarantineCmd(), c.newPlatformStatusCmd())
	return cmd
}

// platformDaemon holds what entry and companion daemons on the platform have in common.
type platformDaemon struct {
	eras           *tgera.Watch // of the store
	peers          *tgfleet.Peers
	registerSpread time.Duration  // in which daemons that started lately register again after a return of the store
	reloadSignals  chan os.Signal // SIGHUP: the settings file has to be read again
	report         *tgreport.Reporter
	settings       *tgplatform.Settings
	started        time.Time
	store          *tgplatform.Store
}

func (c *config) newPlatformDaemon(role tgfleet.Role) (*platformDaemon, error) {
	reloadSignals := make(chan os.Signal, 1)
	// Comes before anything else and is never undone: the default action of SIGHUP ends the process.
	signal.Notify(reloadSignals, syscall.SIGHUP)
	// Nobody reads the channel: the first SIGTERM starts the shutdown through the command's context, and a further one must
	// not end the process, which would cut off the requests that the shutdown lets finish. The platform ends it with SIGKILL.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
	s, err := tgplatform.LoadSettings(os.Getenv(tgplatform.SettingsEnv))
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(1) // a VM of the platform runs one thread at a time
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	d := &platformDaemon{
		peers: tgfleet.NewPeers(s.VM), reloadSignals: reloadSignals, report: tgreport.NewReporter(s.VM, c.stdout),
		registerSpread: defaultRegisterSpread, settings: s, started: time.Now(),
	}
	d.eras = tgera.NewWatch(d.reportRise)
	d.store = tgplatform.NewStore(s.StoreAddr, dialStore, tgplatform.WithEras(d.eras))
	d.report.Line("start", tgreport.Fields{"role": role, "ip": s.IP, "dataCentre": s.DataCentre})
	return d, nil
}

func dialStore(addr string) (net.Conn, error) { return tgproxy.NewDialer().Dial("tcp", addr) }

func dialEngine(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return tgproxy.NewDialer().DialContext(ctx, "tcp", addr.String())
}

// peerAddr returns the address of the daemon's UDP socket for peers and of its admin server (TCP).
func (d *platformDaemon) peerAddr() netip.AddrPort {
	return netip.AddrPortFrom(d.settings.IP, d.settings.FirstPeerPort)
}

// listenPeers opens the UDP socket for datagrams of peers.
func (d *platformDaemon) listenPeers(ctx context.Context) (*net.UDPConn, error) {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp4", d.peerAddr().String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, errors.AssertionFailedf("packet socket is a %T", conn)
	}
	return udp, nil
}

// register writes the daemon's registration to the store, and writes it again when the store may have lost it.
func (d *platformDaemon) register(ctx context.Context, role tgfleet.Role) {
	m := tgfleet.Member{
		Address: d.peerAddr(), DataCentre: d.settings.DataCentre, EngineAddress: d.settings.EngineAddr, Role: role,
		Started: d.started,
	}
	value, err := m.Encode()
	if err != nil {
		d.report.Dependency("store", "encodeFailed", err)
		return
	}
	for ctx.Err() == nil {
		era, raised := d.eras.Raised()
		if !d.writeRegistration(ctx, value) {
			return
		}
		d.report.Line("registered", tgreport.Fields{"address": m.Address, "era": era})
		written := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-raised:
		}
		if time.Since(written) > maxCopyAge {
			return // no copy is older than this registration, also at later returns
		}
		sleep(ctx, time.Duration(rand.Float64()*float64(d.registerSpread))) //nolint:gosec // needs no secrecy
	}
}

const (
	maxCopyAge = time.Minute // of the copy to which the store returns; copies are some seconds old
	// At most the registrations of 7,400 daemons in this time are within the writes that the store allows.
	defaultRegisterSpread = 20 * time.Second
)

// writeRegistration writes the registration, with a retry every second, and reports whether the store has it.
func (d *platformDaemon) writeRegistration(ctx context.Context, value []byte) bool {
	for ctx.Err() == nil {
		err := d.store.Put(tgplatform.TopicMembers, d.settings.VM, value)
		if err == nil {
			return true
		}
		d.report.Dependency("store", "registerFailed", err)
		sleep(ctx, time.Second)
	}
	return false
}

const (
	membersBatchInterval = 2 * time.Second  // pause after a read with records: batches daemons that start together
	membersReadWait      = 25 * time.Second // how long the store holds a read that has no new registration to return
)

// memberFollower returns a follower that applies the registrations of daemons to the list of peers.
func (d *platformDaemon) memberFollower() *tgfleet.Follower {
	f := d.follower(tgplatform.TopicMembers, newOwnTable(), membersReadWait, membersBatchInterval)
	f.Apply = func(changed []tglogtable.Record) {
		for _, err := range d.peers.Apply(changed, time.Now()) {
			d.report.Dependency("members", "malformed", err)
		}
	}
	return f
}

// newOwnTable returns a table of a topic that daemons write: what the store loses stays known until it is written again.
func newOwnTable() *tglogtable.Table {
	return tglogtable.NewTable(tglogtable.WithKeepFor(-1), tglogtable.WithPast())
}

// follower returns a follower of a topic that reports when the store stops and when it resumes answering. The caller
// sets Apply.
func (d *platformDaemon) follower(topic string, table *tglogtable.Table, wait, pause time.Duration) *tgfleet.Follower {
	name := "store " + topic
	return &tgfleet.Follower{
		Eras:        d.eras,
		OnRecovered: func() { d.report.Dependency(name, "answers", nil) },
		OnLost:      func(err error) { d.report.Dependency(name, "lost", err) },
		OnPanic:     func(err error) { d.report.Dependency(name, "panic", err) },
		OnReturned:  func(r tglogtable.ListingResult) { d.reportReturned(topic, r) },
		OnBehind:    func() {},
		Pause:       pause, Spread: d.listingSpread, Store: d.store, Table: table, Topic: topic, Wait: wait,
	}
}

const (
	defaultStoreReads = 2000.0 // calls a second, where the settings do not say what the store allows
	returnReadShare   = 0.1    // of the allowed calls that the entries may make together after a return of the store
	returnCalls       = 12.0   // of an entry then: a read that shows the return, a listing and a read for each of its topics
)

// listingSpread returns the time over which the entries list their topics after a return of the store.
func (d *platformDaemon) listingSpread() time.Duration {
	reads := d.settings.StoreReads
	if reads == 0 {
		reads = defaultStoreReads
	}
	entries := float64(d.peers.ServingEntries(time.Now()))
	return time.Duration(entries * returnCalls / (reads * returnReadShare) * float64(time.Second))
}

// reportRise reports that the store has returned from an older copy of itself.
func (d *platformDaemon) reportRise(r tgera.Rise) {
	d.report.Counters.Add("storeReturns", 1)
	d.report.Line("storeReturned", tgreport.Fields{"era": r.To, "formerEra": r.From})
}

// reportReturned reports what became of a topic in a return of the store.
func (d *platformDaemon) reportReturned(topic string, r tglogtable.ListingResult) {
	d.report.Counters.Add("storeRecordsLost", int64(len(r.Lost)))
	d.report.Line("topicReturned", tgreport.Fields{
		"changed": len(r.Changed) - r.Removed, "era": r.End.Era, "formerEnd": r.Former.Offset, "kept": len(r.Lost),
		"offset": r.End.Offset, "removed": r.Removed, "topic": topic,
	})
}

const settingsCheckInterval = time.Second // between reads of the settings file, which may change without a SIGHUP

// watchSettings applies the settings file when its content changes or SIGHUP arrives. If the file cannot be read or is
// invalid, the current settings stay.
func (d *platformDaemon) watchSettings(ctx context.Context, apply func(*tgplatform.Settings)) {
	path := os.Getenv(tgplatform.SettingsEnv)
	seen, _ := os.ReadFile(path) // after an error, the next successful read counts as a change
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-d.reloadSignals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, seen) && !signalled {
			continue
		}
		if err != nil && !signalled {
			continue // the platform may be replacing the file; the next tick reads it again
		}
		seen = data
		d.reload(data, err, signalled, apply)
	}
}

func (d *platformDaemon) reload(data []byte, err error, signalled bool, apply func(*tgplatform.Settings)) {
	var s *tgplatform.Settings
	if err == nil {
		s, err = tgplatform.ParseSettings(data)
	}
	if err != nil {
		d.report.Line("reload", tgreport.Fields{"error": err.Error(), "outcome": "kept", "signalled": signalled})
		return
	}
	apply(s)
	d.report.Line("reload", tgreport.Fields{"outcome": "applied", "signalled": signalled})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// serveHTTP serves a handler on an address until ctx ends.
func serveHTTP(ctx context.Context, addr netip.AddrPort, handler fasthttp.RequestHandler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &fasthttp.Server{
		CloseOnShutdown: true, Handler: guarded(handler), IdleTimeout: 30 * time.Second, NoDefaultServerHeader: true,
		ReadBufferSize: 4096, WriteBufferSize: 4096,
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // Serve returns when its listener is closed
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Wrapf(err, "serve on %s", addr)
	}
	return nil
}

// guarded returns a handler that answers with status 500 if the given one panics.
func guarded(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := tgguard.Handle(func() { handler(ctx) }); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	}
}

// Paths of the admin server.
const (
	dumpPath    = "/dump"
	metricsPath = "/metrics"
)

// metricsPort is the port of the daemons' metrics; deploy/system.toml names the same port.
const metricsPort = 9464

func (d *platformDaemon) metricsAddr() netip.AddrPort {
	return netip.AddrPortFrom(d.settings.IP, metricsPort)
}

func (d *platformDaemon) reportListenerError(err error) {
	if err != nil {
		d.report.Dependency("listener", "failed", err)
	}
}

// handleDumpAndMetrics serves the metrics and a dump of the daemon's state.
func (d *platformDaemon) handleDumpAndMetrics(ctx *fasthttp.RequestCtx, state func() map[string]any) {
	switch string(ctx.Path()) {
	case dumpPath:
		dump := state()
		dump["settings"], dump["started"], dump["store"] = d.settings, d.started, d.eras.State()
		d.writeJSON(ctx, dump)
	case metricsPath:
		ctx.SetBodyString(d.report.Counters.String())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (d *platformDaemon) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
