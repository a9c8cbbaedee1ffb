package tgcommand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgfleet"
	"tanagergrade/io/tgproxy"
	"tanagergrade/io/tgreport"
	tgplatform "tanagergrade/platform"
)

func (c *config) newPlatformEntryCmd() *cobra.Command {
	flags := newEntryFlags()
	cmd := &cobra.Command{
		Args:  cobra.NoArgs,
		Long:  "Runs the daemon that takes callers' requests. SIGTERM starts a graceful shutdown.",
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.runPlatformEntry(cmd, flags) },
		Short: "Run an entry daemon on the users' platform",
		Use:   "entry",
	}
	cmd.Flags().Var(flags.admission, "admission",
		"streams without a place: "+flags.admission.Values()+" (auto: queue where streams differ in priority)")
	cmd.Flags().Var(flags.placement, "placement",
		"by whose streams the load of an upstream is judged: "+flags.placement.Values())
	cmd.Flags().Float64Var(&flags.unevenSpread, "uneven-spread", flags.unevenSpread,
		"spread of a route's answers (standard deviation of the logarithm) from which streams are placed by cost; 0: never")
	return cmd
}

// defaultUnevenSpread is the spread of answers of which one in six is more than twice as long as the median.
const defaultUnevenSpread = 0.8

// entryFlags are the flags of an entry on the platform.
type entryFlags struct {
	admission    *tgflag.Enum[tgproxy.Admission]
	placement    *tgflag.Enum[tgproxy.Placement]
	unevenSpread float64 // see tgproxy.WithUnevenSpread
}

func newEntryFlags() *entryFlags {
	return &entryFlags{
		admission:    tgflag.NewEnum(tgproxy.AdmissionAuto, tgproxy.Admissions()),
		placement:    tgflag.NewEnum(tgproxy.PlacementAuto, tgproxy.Placements()),
		unevenSpread: defaultUnevenSpread,
	}
}

const (
	bufferMemoryDivisor    = 16                     // part of the process's memory that bodies of requests and answers may take
	shutdownReserve        = 400 * time.Millisecond // part of the drain grace period kept for ending the process
	upstreamsBatchInterval = 500 * time.Millisecond // pause after a read with records: batches engines that change in turn
)

const (
	followWaitMargin = 300 * time.Millisecond // time left for the answer to the read that follows a lost one
	minFollowWait    = time.Second
)

// followWait returns how long a read asks the store to wait for a new record. The store may lose a waiting read without
// closing or resetting the connection. Such a read must time out, and the next one be answered, within StableAfter: the
// time after which a store that was unavailable counts as stable again.
func followWait(b *tgplatform.Bounds) time.Duration {
	return max(minFollowWait, b.StableAfter-tgplatform.CallTimeout-followWaitMargin)
}

// platformEntry is an entry daemon on the platform; it implements tgproxy.Catalog.
type platformEntry struct {
	*platformDaemon
	exchange   *tgfleet.Exchange
	groups     *tggroupview.View
	operator   *tglogtable.Table
	proxy      *tgproxy.Server
	quarantine *tgquarantine.Table
	upstreams  *tglogtable.Table
	view       *tgview.View
}

// Config implements tgproxy.Catalog.
func (e *platformEntry) Config() (*tgcatalog.Config, bool) { return e.view.Config() }

// EntryCount implements tgproxy.Catalog.
func (e *platformEntry) EntryCount() int { return e.peers.ServingEntries(time.Now()) }

// Slowdown implements tgproxy.Catalog.
func (e *platformEntry) Slowdown(u *tgcatalog.Upstream) float64 {
	return e.exchange.Slowdowns.Factor(u.Address, time.Now())
}

// RemoteStreams implements tgproxy.Catalog.
func (e *platformEntry) RemoteStreams(pool string) int {
	return e.peers.RemoteStreams(pool, time.Now())
}

// Upstreams implements tgproxy.Catalog.
func (e *platformEntry) Upstreams(pool string) []tgcatalog.Upstream { return e.view.Upstreams(pool) }

func (c *config) runPlatformEntry(cmd *cobra.Command, flags *entryFlags) error {
	d, err := c.newPlatformDaemon(tgfleet.RoleEntry)
	if err != nil {
		return err
	}
	defer func() { _ = d.report.Close() }() // never fails
	e := newPlatformEntry(d, flags)
	return e.run(cmd.Context())
}

func newPlatformEntry(d *platformDaemon, flags *entryFlags) *platformEntry {
	e := &platformEntry{
		groups: tggroupview.NewView(), operator: newOperatorTable(), platformDaemon: d,
		quarantine: tgquarantine.NewTable(d.settings.VM),
		upstreams:  tglogtable.NewTable(tglogtable.WithCompare(tgplatform.CompareUpstreams)),
		view:       tgview.NewView(tgplatform.Codec()),
	}
	e.quarantine.AwaitSaved(time.Now())
	e.proxy = tgproxy.NewServer(d.settings.DataCentre, e, tgplatform.Headers(), proxyLimits(d.settings), d.report,
		d.report.Counters, tgproxy.WithAdmission(flags.admission.Value), tgproxy.WithGroups(e.groups, flags.placement.Value),
		tgproxy.WithQuarantine(e.quarantine), tgproxy.WithUnevenSpread(flags.unevenSpread))
	e.exchange = &tgfleet.Exchange{
		Costs: e.proxy.Costs(), Groups: e.groups, Log: d.report, OperatorTable: e.operator, Peers: d.peers, Quarantine: e.quarantine,
		Streams:        e.proxy.Streams,
		UpstreamsTable: e.upstreams, VM: d.settings.VM, View: e.view,
	}
	return e
}

// operatorKeepTime is for how long a withdrawal counts that the store has lost. The operator writes it again before.
const operatorKeepTime = 10 * time.Second

func newOperatorTable() *tglogtable.Table {
	return tglogtable.NewTable(tglogtable.WithCompare(tgplatform.CompareOperator), tglogtable.WithKeepFor(operatorKeepTime),
		tglogtable.WithPast())
}

// proxyLimits returns the limits of the proxy that the settings give.
func proxyLimits(s *tgplatform.Settings) tgproxy.Limits {
	b := s.Bounds
	return tgproxy.Limits{
		BufferBytes: s.MemoryBytes / bufferMemoryDivisor, DrainGrace: b.DrainGrace, RetryBurst: b.RetryBurst,
		RetryRatio: b.RetryRatio, RetryWindow: b.RetryWindow, ShutdownReserve: shutdownReserve,
	}
}

func (e *platformEntry) run(ctx context.Context) error {
	s := e.settings
	if !s.CallersAddr.IsValid() || !s.ReadyAddr.IsValid() {
		return errors.New("the settings give this process no address for callers")
	}
	lc := tgproxy.NewListenConfig()
	callers, err := lc.Listen(ctx, "tcp", s.CallersAddr.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	datagrams, err := e.listenPeers(ctx)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { e.reportListenerError(serveHTTP(background, s.ReadyAddr, e.handleReady(ctx))) })
	wg.Go(func() { e.reportListenerError(serveHTTP(background, e.peerAddr(), e.handleAdmin)) })
	wg.Go(func() { e.reportListenerError(serveHTTP(background, e.metricsAddr(), e.handleAdmin)) })
	wg.Go(func() { e.exchange.Run(background, datagrams) })
	go e.watchSettings(background, func(s *tgplatform.Settings) { e.proxy.SetLimits(proxyLimits(s)) })
	go e.register(background, tgfleet.RoleEntry) // not awaited: a call to the store may outlast the daemon
	go e.operatorFollower().Run(background)
	go e.upstreamsFollower().Run(background)
	go e.memberFollower().Run(background)
	go e.quarantineFollower().Run(background)
	go e.quarantineSaver().Run(background)
	err = e.proxy.Serve(ctx, callers)
	cancel()
	wg.Wait()
	e.report.Line("stop", tgreport.Fields{"uptimeS": int(time.Since(e.started).Seconds())})
	return err
}

// operatorFollower returns a follower of the operator topic: the configuration and the withdrawn data centres.
func (e *platformEntry) operatorFollower() *tgfleet.Follower {
	f := e.follower(tgplatform.TopicOperator, e.operator, followWait(&e.settings.Bounds), 0)
	f.Apply = func(changed []tglogtable.Record) {
		e.applyOperator(changed)
		e.view.SetFollowing(true)
	}
	reportLost := f.OnLost
	f.OnLost = func(err error) {
		e.view.SetFollowing(false)
		reportLost(err)
	}
	f.OnBehind = func() { e.view.SetFollowing(false) }
	return f
}

// upstreamsFollower returns a follower of the topic of registered upstreams.
func (e *platformEntry) upstreamsFollower() *tgfleet.Follower {
	f := e.follower(tgplatform.TopicUpstreams, e.upstreams, followWait(&e.settings.Bounds), upstreamsBatchInterval)
	ofCopy := false // the next changes are of the first listing after a return of the store
	f.Apply = func(changed []tglogtable.Record) {
		e.applyUpstreams(changed, ofCopy)
		ofCopy = false
	}
	reportRecovered, reportLost, reportReturned := f.OnRecovered, f.OnLost, f.OnReturned
	f.OnReturned = func(r tglogtable.ListingResult) {
		ofCopy = true
		reportReturned(r)
	}
	f.OnRecovered = func() {
		e.view.StoreAvailable(time.Now())
		reportRecovered()
	}
	f.OnLost = func(err error) {
		e.view.StoreUnavailable(time.Now())
		reportLost(err)
	}
	return f
}

// quarantineReadWait is how long the store holds a read that has no new quarantine to return. Peers report them sooner.
const quarantineReadWait = 25 * time.Second

// quarantineFollower returns a follower of the quarantines in the store.
func (e *platformEntry) quarantineFollower() *tgfleet.Follower {
	f := e.follower(tgplatform.TopicQuarantine, newOwnTable(), quarantineReadWait, 0)
	reportReturned := f.OnReturned
	f.OnReturned = func(r tglogtable.ListingResult) {
		reportReturned(r)
		e.quarantine.NoteLost(r.Lost, time.Now())
	}
	f.Apply = func(changed []tglogtable.Record) {
		for _, err := range e.quarantine.ApplySaved(changed, time.Now()) {
			e.report.Dependency("quarantine", "malformed", err)
		}
	}
	return f
}

func (e *platformEntry) quarantineSaver() *tgfleet.QuarantineSaver {
	return &tgfleet.QuarantineSaver{
		OnFailed: func(err error) { e.report.Dependency("quarantine", "saveFailed", err) },
		OnSaved:  e.report.QuarantineSaved,
		Store:    e.store, Table: e.quarantine, Topic: tgplatform.TopicQuarantine,
		Writer: fmt.Sprintf("%s/%x", e.settings.VM, rand.Uint64()), //nolint:gosec // only has to differ
	}
}

func (e *platformEntry) applyOperator(changed []tglogtable.Record) {
	for _, c := range e.view.ApplyOperator(changed) {
		e.report.ViewChange("store", "operator", c)
	}
}

// applyUpstreams applies changed registrations. ofCopy is true if an older copy of the store brought them.
func (e *platformEntry) applyUpstreams(changed []tglogtable.Record, ofCopy bool) {
	now := time.Now()
	apply := e.view.ApplyUpstreams
	if ofCopy {
		apply = e.view.ApplyReturned
	}
	for _, c := range apply(changed, now) {
		e.report.ViewChange("store", "upstreams", c)
	}
	e.exchange.NoteUpstreamsRead(now)
}

// handleReady returns the handler of the platform's readiness probe. The probe fails while the daemon has no configuration
// and once the context draining is done.
func (e *platformEntry) handleReady(draining context.Context) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		cfg, _ := e.view.Config()
		if string(ctx.Path()) != tgplatform.ReadyPath {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if cfg == nil || draining.Err() != nil {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
}

// handleAdmin is the handler of the admin server: it serves the tables to peers, the rest to operators.
func (e *platformEntry) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case configPath:
		e.handleConfig(ctx)
		return
	case tgfleet.CostsPath:
		e.exchange.HandleCosts(ctx)
		return
	case tgfleet.TablesPath:
		e.exchange.HandleTables(ctx)
		return
	}
	e.handleDumpAndMetrics(ctx, func() map[string]any {
		return map[string]any{
			"groups": e.groups.States(time.Now()), "proxy": e.proxy.State(), "quarantine": e.quarantine.States(time.Now()), "view": e.view.State(),
		}
	})
}
