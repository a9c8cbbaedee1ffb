package tggroup

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgstep"
	"tanagergrade/core/tgwait"
)

// Settings describe a group.
type Settings struct {
	ArmTimeout       time.Duration // after which a change that is not armed everywhere is aborted
	Costs            tgexpert.Costs
	DecisionInterval time.Duration // between placement decisions
	Experts          int
	Layers           int
	LeadSteps        uint64 // steps between arming and the step of the change
	Name             string
	PollInterval     time.Duration // between reads of the ranks' states
	Ranks            int           // with spares
	Size             int           // members at first
	Slots            int
	StageTimeout     time.Duration
	StallTimeout     time.Duration // without a step, or without an answer of a rank
}

// WithDefaults returns the settings with the zero values replaced.
func (s Settings) WithDefaults() Settings {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&s.ArmTimeout, 500*time.Millisecond)
	set(&s.PollInterval, 100*time.Millisecond)
	set(&s.StageTimeout, time.Minute)
	set(&s.StallTimeout, 3*time.Second)
	set(&s.DecisionInterval, 5*time.Second)
	if s.LeadSteps == 0 {
		s.LeadSteps = 8 // at 26 ms a step, the arm messages have 200 ms to arrive
	}
	if s.Size == 0 {
		s.Size = s.Ranks
	}
	return s
}

// Group runs the controller of one rank group whenever this process holds the group's lease.
type Group struct {
	budget    Budget // nil without a limit
	estimator *tgexpert.Estimator
	leases    Leases
	log       *logrus.Entry
	policy    tgexpert.Policy
	ranks     RankCaller
	settings  Settings

	mu     sync.Mutex
	status Status
}

// Status is the state of a group's controller for the dump.
type Status struct {
	Available          bool              `json:"available"` // the group takes new work
	Change             tgstep.ID         `json:"change"`    // in progress or last finished
	Changes            int               `json:"changes"`   // committed
	Formation          tgstep.ID         `json:"formation"`
	Group              string            `json:"group"`
	LastChangeDuration time.Duration     `json:"lastChange"` // from arming to the last commit
	LastDecision       tgexpert.Decision `json:"lastDecision"`
	Map                tgstep.ID         `json:"map"`
	Members            uint64            `json:"members"`
	Phase              tgstep.Phase      `json:"phase"`
	Skew               float64           `json:"skew"` // expected, of the map in use
	Token              uint64            `json:"token"`
	Verdict            tgstep.Verdict    `json:"verdict"`
	WaitingFor         []int             `json:"waiting"` // ranks that have not replied
}

// New returns the controller of a group, which reaches the agents through ranks. Each companion of the group runs one
// Group and one Agent, and the lease named LeaseName(settings.Name) decides whose controller acts.
func New(settings Settings, ranks RankCaller, leases Leases, log *logrus.Entry, options ...Option) *Group {
	settings = settings.WithDefaults()
	g := &Group{
		estimator: tgexpert.NewEstimator(settings.Layers, settings.Experts),
		leases:    leases,
		log:       log.WithField("group", settings.Name),
		policy:    tgexpert.NewBalancer(settings.Costs),
		ranks:     ranks,
		settings:  settings,
		status:    Status{Group: settings.Name},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Budget is the weight store's rate shared by all groups.
type Budget interface {
	// Wait returns nil when the transfer may begin.
	Wait(ctx context.Context, group string, bytes int64, urgent bool) error
}

// Option changes a group's defaults.
type Option func(*Group)

// WithBudget makes changes of the map wait for the weight store's budget. Formations are not held back: the group
// does no work before they are done.
func WithBudget(b Budget) Option { return func(g *Group) { g.budget = b } }

// WithPolicy replaces the balancer, for comparison with a baseline.
func WithPolicy(p tgexpert.Policy) Option { return func(g *Group) { g.policy = p } }

// LeaseName returns the name of a group's lease.
func LeaseName(group string) string { return "group/" + group }

// Status returns the state for the dump.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Available reports whether the group takes new work. It is false while ranks are lost or stalled; the caller then
// refuses new work with outcome notRun and lets idempotent requests resume elsewhere.
func (g *Group) Available() bool { return g.Status().Available }

// Run acts as the controller whenever this process holds the lease, until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		token, err := g.leases.Acquire(ctx, LeaseName(g.settings.Name))
		if err != nil {
			g.log.WithError(err).Debug("lease is not held")
			tgwait.Sleep(ctx, g.settings.PollInterval)
			continue
		}
		g.log.WithField("token", token).Info("controller starts")
		newTerm(g, token).run(ctx)
	}
}
