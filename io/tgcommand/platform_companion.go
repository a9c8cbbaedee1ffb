package tgcommand

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tggroupview"
	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgfleet"
	"tanagergrade/io/tgrank"
	"tanagergrade/io/tgreport"
	tgplatform "tanagergrade/platform"
)

func (c *config) newPlatformCompanionCmd() *cobra.Command {
	return &cobra.Command{
		Args:  cobra.NoArgs,
		Long:  "Runs the daemon beside a model engine. In a rank group it balances the experts over the ranks.",
		RunE:  c.runPlatformCompanion,
		Short: "Run a companion daemon on the users' platform",
		Use:   "companion",
	}
}

// electionTTL is how long a leader may fail to renew its session in the store before another companion takes over. The
// store may require a longer time, StoreTTLMin.
const electionTTL = 1000 * time.Millisecond

// platformCompanion is a companion daemon on the platform.
type platformCompanion struct {
	*platformDaemon

	stopMemberFollower context.CancelFunc // nil while this daemon does not lead; used by the leader's goroutine only

	mu             sync.Mutex
	profiles       map[string]tgcatalog.Engine // by pool; guarded by mu
	profilesReadAt time.Time                   // start of the last read of the configuration; guarded by mu
}

func (c *config) runPlatformCompanion(cmd *cobra.Command, _ []string) error {
	d, err := c.newPlatformDaemon(tgfleet.RoleCompanion)
	if err != nil {
		return err
	}
	defer func() { _ = d.report.Close() }() // never fails
	p := &platformCompanion{platformDaemon: d, profiles: map[string]tgcatalog.Engine{}}
	return p.run(cmd.Context())
}

func (p *platformCompanion) run(ctx context.Context) error {
	s := p.settings
	if !s.EngineAddr.IsValid() {
		return errors.New("the settings name no engine on this VM")
	}
	conn, err := p.listenPeers(ctx)
	if err != nil {
		return err
	}
	engines := tgplatform.NewEngineClient(dialEngine)
	leader := tgrank.NewLeader()
	leader.Peers = p.companions
	leader.OnReport = func(vm string) { p.peers.Heard(vm, time.Now()) }
	leader.OnTermChange = func(leads bool) { p.followMembers(ctx, leads, leader.NotifyPeersChanged) }
	leader.Election = &tgplatform.Election{Store: p.store, TTL: max(electionTTL, s.StoreTTLMin)}
	leader.Engines, leader.Log, leader.Pool, leader.EngineProfile, leader.VM = engines, p, s.EnginePool, p.engineProfile, s.VM
	leader.PublishSlowdowns = func(slow map[netip.AddrPort]float64) {
		if err := tgfleet.SendSlowdowns(conn, p.peers.List(tgfleet.RoleEntry, time.Now()), slow); err != nil {
			p.Dependency("peers", "encodeFailed", err)
		}
	}
	leader.PublishGroups = func(n tggroupview.Notice, to []netip.AddrPort) int { return p.sendGroups(conn, n, to) }
	agent := &tgrank.Agent{
		Conn: conn, EngineAddress: s.EngineAddr, Engines: engines, Leader: leader, Log: p, Pool: s.EnginePool, VM: s.VM,
	}
	// No setting that a companion uses can change while it runs; a reload only checks the file.
	go p.watchSettings(ctx, func(*tgplatform.Settings) {})
	admin := p.handleAdmin(agent)
	go func() { p.reportListenerError(serveHTTP(ctx, p.peerAddr(), admin)) }()
	go func() { p.reportListenerError(serveHTTP(ctx, p.metricsAddr(), admin)) }()
	go p.register(ctx, tgfleet.RoleCompanion) // not awaited: a call to the store may outlast the daemon
	var wg conc.WaitGroup
	wg.Go(func() { agent.Run(ctx) })
	wg.Wait()
	p.Line("stop", tgreport.Fields{"uptimeS": int(time.Since(p.started).Seconds())})
	return nil
}

// sendGroups sends a notice of the rank groups to some entries, or to all if to is nil.
func (p *platformCompanion) sendGroups(conn *net.UDPConn, n tggroupview.Notice, to []netip.AddrPort) int {
	if to == nil {
		for _, m := range p.peers.List(tgfleet.RoleEntry, time.Now()) {
			to = append(to, m.Address)
		}
	}
	bytes, err := tgfleet.SendGroups(conn, to, n)
	if err != nil {
		p.Dependency("peers", "encodeFailed", err)
	}
	p.report.Counters.Add("groupNoticeBytes", int64(bytes))
	return bytes
}

// handleAdmin returns the handler of the admin server.
func (p *platformCompanion) handleAdmin(agent *tgrank.Agent) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		p.handleDumpAndMetrics(ctx, func() map[string]any { return map[string]any{"rank": agent.Dump()} })
	}
}

// followMembers keeps the list of companions up to date while this daemon leads: only the leader uses the list.
func (p *platformCompanion) followMembers(ctx context.Context, leads bool, notifyChanged func()) {
	if p.stopMemberFollower != nil {
		p.stopMemberFollower()
		p.stopMemberFollower = nil
	}
	if !leads {
		return
	}
	ctx, p.stopMemberFollower = context.WithCancel(ctx)
	f := p.memberFollower()
	apply := f.Apply
	f.Apply = func(records []tglogtable.Record) {
		apply(records)
		notifyChanged()
	}
	go f.Run(ctx)
}

// Line implements tgrank.Log.
func (p *platformCompanion) Line(message string, fields map[string]any) {
	p.report.Line(message, fields)
}

// Dependency implements tgrank.Log.
func (p *platformCompanion) Dependency(name, state string, err error) {
	p.report.Dependency(name, state, err)
}

func (p *platformCompanion) companions() []tgrank.Peer {
	members := p.peers.List(tgfleet.RoleCompanion, time.Now())
	peers := make([]tgrank.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, tgrank.Peer{Address: m.Address, EngineAddress: m.EngineAddress, VM: m.VM})
	}
	return peers
}

const profileReadInterval = time.Second // minimum time between reads of the configuration for pools without a profile

// engineProfile returns the cost model of a pool's engines. While there is none, it returns false and starts a read of the
// configuration in the background, at most once per profileReadInterval.
func (p *platformCompanion) engineProfile(pool string) (tgcatalog.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.profiles[pool]
	if !ok && time.Since(p.profilesReadAt) > profileReadInterval {
		p.profilesReadAt = time.Now()
		go p.readProfiles()
	}
	return e, ok
}

func (p *platformCompanion) readProfiles() {
	records, _, err := p.store.Newest(context.Background(), tgplatform.TopicOperator)
	if err != nil {
		p.Dependency("store "+tgplatform.TopicOperator, "readFailed", err)
		return
	}
	for _, r := range records {
		if kind, _ := tgplatform.SplitOperatorKey(r.Key); kind != tgview.OperatorConfig {
			continue
		}
		cfg, err := tgplatform.DecodeConfig(r.Value)
		if err != nil {
			p.Dependency("configuration", "rejected", err)
			continue
		}
		p.mu.Lock()
		for name, pool := range cfg.Pools {
			p.profiles[name] = pool.Engine
		}
		p.mu.Unlock()
	}
}
