package tgcompanion

import (
	"cmp"
	"context"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tglease"
	"tanagergrade/io/tggroup"
	"tanagergrade/io/tgholder"
	"tanagergrade/io/tglink"
)

const (
	groupCacheCostPerMove = time.Millisecond      // of a rank's prefix cache, for one expert moved
	groupChangePause      = 50 * time.Millisecond // about two steps, if a decision comes late
	groupHorizon          = 10 * time.Minute      // over which a better map has to pay for its change
	// groupLeaseDuration is renewed every third of it: 209 controllers make 42 appends/s at the two-year size. A group
	// without a controller keeps its map, so a slow takeover costs only a late rebalancing.
	groupLeaseDuration = 15 * time.Second
	groupPollInterval  = 200 * time.Millisecond
	groupStallTimeout  = 3 * time.Second       // without a step
	groupStepTime      = 26 * time.Millisecond // a step takes as long as the time allowed between tokens
)

// membership is the part of a rank group that runs beside this upstream.
type membership struct {
	agent      *tggroup.Agent
	controller *tggroup.Group
	group      tgconfig.Group
	manager    *tgholder.Manager // kept over changes of the group
	mu         sync.Mutex
	name       string
	stop       context.CancelFunc
}

// groupOf returns the group that an upstream belongs to and its rank there.
func groupOf(cfg *tgconfig.Config, upstream string) (name string, group tgconfig.Group, rank int) {
	for name, g := range cfg.Groups {
		if i := slices.Index(g.Ranks, upstream); i >= 0 {
			return name, g, i
		}
	}
	return "", tgconfig.Group{}, -1
}

// runGroup runs agent and controller while the configuration puts the upstream into a group.
func (c *Companion) runGroup(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	defer c.membership.leave()
	ticker := time.NewTicker(groupPollInterval)
	defer ticker.Stop()
	for {
		name, group, rank := groupOf(c.node.Config(), c.upstream)
		if !c.membership.matches(name, group) {
			c.membership.leave()
			if name != "" {
				c.join(ctx, &wg, name, group, rank)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Companion) join(ctx context.Context, wg *conc.WaitGroup, name string, group tgconfig.Group, rank int) {
	m := &c.membership
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.manager == nil {
		holder := tglease.Holder{Incarnation: c.node.Incarnation, Process: c.node.Settings.Name}
		m.manager = tgholder.NewManager(c.node.LogClient, holder, c.node.Log)
		wg.Go(func() { m.manager.Run(ctx) })
	}
	ctx, m.stop = context.WithCancel(ctx)
	leases := tgholder.Leases{Duration: groupLeaseDuration, Manager: m.manager}
	address := c.node.Config().Upstreams[c.upstream].Address
	m.agent = tggroup.NewAgent(rank, address, tggroup.LeaseName(name), leases)
	m.controller = tggroup.New(groupSettings(name, group), c.remoteRanks(name), leases, c.node.Log)
	m.group, m.name = group, name
	controller := m.controller
	wg.Go(func() { controller.Run(ctx) })
}

// Figures of a group whose configuration is silent.
const (
	defaultBytesPerExpert = 50 << 20
	defaultStoreRate      = 1 << 30
	defaultTokenTime      = 2 * time.Microsecond
)

func groupSettings(name string, g tgconfig.Group) tggroup.Settings {
	return tggroup.Settings{
		Costs: tgexpert.Costs{
			BytesPerExpert: float64(cmp.Or(g.BytesPerExpert, defaultBytesPerExpert)),
			CachePerMove:   groupCacheCostPerMove,
			Horizon:        int(groupHorizon / groupStepTime),
			Pause:          groupChangePause,
			StoreRate:      float64(cmp.Or(g.StoreRate, defaultStoreRate)),
			TokenTime:      cmp.Or(g.TokenTime, defaultTokenTime),
		},
		Experts: g.Experts,
		Layers:  g.Layers,
		Name:    name,
		Ranks:   len(g.Ranks),
		Size:    len(g.Ranks) - g.Spares,
		Slots:   g.Slots,
	}
}

func (c *Companion) remoteRanks(group string) *tggroup.RemoteRanks {
	return &tggroup.RemoteRanks{
		Address: func(rank int) (netip.AddrPort, bool) {
			cfg := c.node.Config()
			ranks := cfg.Groups[group].Ranks
			if rank >= len(ranks) {
				return netip.AddrPort{}, false
			}
			u, ok := cfg.Upstreams[ranks[rank]]
			return u.Companion, ok
		},
		Dialer: c.node.Transport,
		Group:  group,
		Sender: c.node.Sender,
	}
}

// serveRank answers a request of the group's controller.
func (c *Companion) serveRank(ctx context.Context, x tglink.Exchange, q *tgframe.RankMessage) {
	m := &c.membership
	m.mu.Lock()
	agent, name := m.agent, m.name
	m.mu.Unlock()
	if agent == nil || name != q.Group {
		refusal := &tgframe.RankMessage{Failure: "upstream is not in the group"}
		_ = x.Send(ctx, tgframe.Frame{Kind: tgframe.KindRank, Rank: refusal, Sender: c.node.Sender()})
		return
	}
	if err := agent.Serve(ctx, x, q, c.node.Sender()); err != nil {
		c.node.Log.WithError(err).WithField("group", name).Debug("answer to the group's controller was not sent")
	}
}

func (m *membership) matches(name string, group tgconfig.Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.name == name && (name == "" || reflect.DeepEqual(m.group, group))
}

// stalled reports whether the upstream's group makes no steps; it then takes no new work.
func (m *membership) stalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.agent != nil && m.agent.Stalled(groupStallTimeout, time.Now())
}

func (m *membership) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop != nil {
		m.stop()
	}
	m.agent, m.controller, m.group, m.name, m.stop = nil, nil, tgconfig.Group{}, "", nil
}

// GroupState is the part of the state dump about the upstream's rank group.
type GroupState struct {
	Controller tggroup.Status `json:"controller"`
	Leases     any            `json:"leases"`
}

// GroupState returns the state of the group's controller here, or nil if the upstream is in no group.
func (c *Companion) GroupState() *GroupState { return c.membership.dump() }

func (m *membership) dump() *GroupState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.controller == nil {
		return nil
	}
	return &GroupState{Controller: m.controller.Status(), Leases: m.manager.Dump()}
}
