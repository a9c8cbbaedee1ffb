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
	groupCacheCostPerMove = time.Millisecond      // work lost in a rank's prefix cache by moving one expert
	groupChangePause      = 50 * time.Millisecond // time lost by one change: about two steps, if the decision on it arrives late
	groupHorizon          = 10 * time.Minute      // within which a better expert map has to recover the cost of its change
	// groupLeaseDuration is the duration of the controllers' leases, which are renewed three times in it. 209
	// controllers, the number expected in two years, then make 42 appends/s. A group without a controller keeps its expert
	// map, so a slow takeover only delays its next rebalancing.
	groupLeaseDuration = 15 * time.Second
	groupPollInterval  = 200 * time.Millisecond // between checks for changes of the group's configuration
	groupStallTimeout  = 3 * time.Second        // without a step, after which a group counts as stalled
	groupStepTime      = 26 * time.Millisecond  // duration of a step, which is the time allowed between tokens
)

// membership is the rank group of this upstream, if it has one, with the agent of its rank and the group's controller,
// which competes with those beside the other ranks for the lease.
type membership struct {
	agent      *tggroup.Agent
	controller *tggroup.Group
	group      tgconfig.Group
	manager    *tgholder.Manager  // created at the first join and kept when the group changes
	mu         sync.Mutex         // guards the other fields
	name       string             // of the group; empty if there is none
	stop       context.CancelFunc // stops the controller
}

// groupOf returns the group that an upstream belongs to and its rank there, or an empty name and rank -1.
func groupOf(cfg *tgconfig.Config, upstream string) (name string, group tgconfig.Group, rank int) {
	for name, g := range cfg.Groups {
		if i := slices.Index(g.Ranks, upstream); i >= 0 {
			return name, g, i
		}
	}
	return "", tgconfig.Group{}, -1
}

// runGroup joins and leaves groups as the configuration assigns the upstream to them, until ctx ends.
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

// join starts the agent and the controller of a group.
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

// Defaults for groups whose configuration does not set the value.
const (
	defaultBytesPerExpert = 50 << 20
	defaultStoreRate      = 1 << 30              // bytes/s
	defaultTokenTime      = 2 * time.Microsecond // processing time of one token by its expert in one layer
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

// remoteRanks returns the client through which the controller reaches the agents of the group's ranks. It looks their
// addresses up in the configuration at each call.
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

// serveRank answers a request of the group's controller to the agent of this rank.
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

// matches reports whether the upstream is running in the given group with the given configuration. The empty name stands
// for no group.
func (m *membership) matches(name string, group tgconfig.Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.name == name && (name == "" || reflect.DeepEqual(m.group, group))
}

// stalled reports whether the upstream's group makes no steps. The companion then refuses new attempts.
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

// GroupState returns the state of the group's controller in this companion, or nil if the upstream is in no group.
func (c *Companion) GroupState() *GroupState { return c.membership.dump() }

func (m *membership) dump() *GroupState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.controller == nil {
		return nil
	}
	return &GroupState{Controller: m.controller.Status(), Leases: m.manager.Dump()}
}
