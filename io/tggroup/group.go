package tggroup

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgexpert"
	"tanagergrade/core/tgsleep"
	"tanagergrade/core/tgtwophase"
)

// Settings describes a rank group and how its controller works.
type Settings struct {
	ArmTimeout       time.Duration // after which a change that is not armed on all members is abandoned
	Costs            tgexpert.Costs
	DecisionInterval time.Duration // between placement decisions
	Experts          int
	Layers           int
	LeadSteps        uint64 // steps between arming and the step of the change
	Name             string
	PollInterval     time.Duration // between reads of the members' states
	Ranks            int           // all ranks, including spares
	Size             int           // members of the complete group; the other ranks are spares
	Slots            int           // expert replicas that a rank can hold in each layer
	StageTimeout     time.Duration // after which a change that is not staged on all members is abandoned
	StallTimeout     time.Duration // without a step, or without an answer of a rank, after which the group is re-formed
}

// WithDefaults returns the settings with defaults in place of zero timeouts, intervals, LeadSteps and Size.
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
	budget    Budget // nil if transfers are not limited
	estimator *tgexpert.Estimator
	leases    Leases
	log       *logrus.Entry
	policy    tgexpert.Policy
	ranks     RankCaller
	settings  Settings

	mu     sync.Mutex
	status Status
}

// Status is the state of a group's controller as the dump shows it.
type Status struct {
	Available          bool               `json:"available"` // the group takes new work
	Change             tgtwophase.ID      `json:"change"`    // the change in progress, or the last finished one
	Changes            int                `json:"changes"`   // number of committed changes
	Formation          tgtwophase.ID      `json:"formation"`
	Group              string             `json:"group"`
	LastChangeDuration time.Duration      `json:"lastChange"` // of the last change, from arming to the last commit
	LastDecision       tgexpert.Decision  `json:"lastDecision"`
	Map                tgtwophase.ID      `json:"map"`
	Members            uint64             `json:"members"`
	Phase              tgtwophase.Phase   `json:"phase"`
	Skew               float64            `json:"skew"` // expected skew of the map in use
	Token              uint64             `json:"token"`
	Verdict            tgtwophase.Verdict `json:"verdict"`
	WaitingFor         []int              `json:"waiting"` // members that have not replied in the present phase
}

// New returns the controller of a group, which calls the agents through ranks. Each companion of the group runs one
// Group and one Agent; only the holder of the lease named LeaseName(settings.Name) acts as the controller.
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

// Budget limits the rate at which all groups together load weights from the weight store.
type Budget interface {
	// Wait waits until the transfer may begin. It returns an error if ctx is done before.
	Wait(ctx context.Context, group string, bytes int64, urgent bool) error
}

// Option changes a default of a group's controller.
type Option func(*Group)

// WithBudget makes changes of the map wait for the weight store's budget. Formations do not wait, since the group does
// no work before they are finished.
func WithBudget(b Budget) Option { return func(g *Group) { g.budget = b } }

// WithPolicy replaces the balancer, to compare it with a baseline.
func WithPolicy(p tgexpert.Policy) Option { return func(g *Group) { g.policy = p } }

// LeaseName returns the name of the lease that the controller of a group holds.
func LeaseName(group string) string { return "group/" + group }

// Status returns the state of this process's controller, which is outdated while another process holds the lease.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Available reports whether the group takes new work. While it is false, because ranks are lost or stalled, the caller
// has to refuse new work with outcome notRun and let idempotent requests resume elsewhere.
func (g *Group) Available() bool { return g.Status().Available }

// Run acts as the controller whenever this process holds the lease, until ctx is done.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		token, err := g.leases.Acquire(ctx, LeaseName(g.settings.Name))
		if err != nil {
			g.log.WithError(err).Debug("could not acquire the lease of the group")
			tgsleep.Sleep(ctx, g.settings.PollInterval)
			continue
		}
		g.log.WithField("token", token).Info("lease acquired; acting as controller of the group")
		newTerm(g, token).run(ctx)
	}
}
