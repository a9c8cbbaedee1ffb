package tgdemo

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgsleep"
)

// loadDuration is the time over which the requests are spread; all faults occur within it.
const loadDuration = 20 * time.Second

// flowPollInterval is the time between checks whether the relay has open flows.
const flowPollInterval = 20 * time.Millisecond

// withdrawalBound is the time after a withdrawal from which on the data centre must not get new requests.
const withdrawalBound = 5 * time.Second

// Times of the withdrawal and the restoration of a data centre, from the start of the load.
const (
	restoredAt  = 11 * time.Second
	withdrawnAt = 3 * time.Second
)

// withdrawnIndex is the index of the data centre that is withdrawn and restored.
const withdrawnIndex = 1

// fault is the injection of a fault, or its repair, at a given time after the start of the load.
type fault struct {
	at     time.Duration
	name   string
	inject func(ctx context.Context) error
}

func (d *Demo) faults() []fault {
	return []fault{
		{at: time.Second, name: "a connection goes silent", inject: d.blackholeFlows},
		{at: withdrawnAt, name: "data centre " + dataCentreName(withdrawnIndex) + " is withdrawn", inject: func(ctx context.Context) error {
			return d.setDataCentre(ctx, tgconfig.Withdrawn)
		}},
		{at: 6 * time.Second, name: "other experts become hot", inject: func(context.Context) error {
			d.group.SetLoads(hotExperts(groupExperts / 2))
			return nil
		}},
		{at: restoredAt, name: "data centre " + dataCentreName(withdrawnIndex) + " is restored", inject: func(ctx context.Context) error {
			return d.setDataCentre(ctx, tgconfig.Active)
		}},
		{at: 12 * time.Second, name: "engine draft-1 dies", inject: func(context.Context) error {
			d.engines[0].SetDead(true)
			return nil
		}},
		{at: 14 * time.Second, name: "the log is down", inject: func(context.Context) error {
			d.log.SetDown(true)
			return nil
		}},
		{at: 17 * time.Second, name: "the log is back, engine draft-1 too", inject: func(context.Context) error {
			d.log.SetDown(false)
			d.engines[0].SetDead(false)
			return nil
		}},
	}
}

// blackholeFlows makes the relay drop the packets of all its flows, as soon as there is one.
func (d *Demo) blackholeFlows(ctx context.Context) error {
	d.wg.Go(func() {
		for d.relay.BlackholeFlows() == 0 && sleepUntil(ctx, time.Now().Add(flowPollInterval)) {
		}
	})
	return nil
}

func (d *Demo) setDataCentre(ctx context.Context, state tgconfig.CapacityState) error {
	name := dataCentreName(withdrawnIndex)
	return d.publish(ctx, func(cfg *tgconfig.Config) (tgconfig.Change, error) {
		next := *cfg
		next.DataCentres = map[string]tgconfig.DataCentre{}
		for n, dc := range cfg.DataCentres {
			if n == name {
				dc.State = state
			}
			next.DataCentres[n] = dc
		}
		return tgconfig.Diff(cfg, &next)
	})
}

// injector injects the faults and checks that the withdrawn data centre gets no requests.
type injector struct {
	demo           *Demo
	lateExecutions atomic.Int64 // executions in the withdrawn data centre after withdrawalBound
}

func (j *injector) run(ctx context.Context) error {
	started := time.Now()
	for _, f := range j.demo.faults() {
		if !sleepUntil(ctx, started.Add(f.at)) {
			return nil
		}
		if err := f.inject(ctx); err != nil {
			return errors.Wrap(err, f.name)
		}
		if w := j.demo.options.Progress; w != nil {
			fmt.Fprintf(w, "\r%6.1f s  %s\n", time.Since(started).Seconds(), f.name)
		}
	}
	return nil
}

// countLateExecutions counts the executions in the withdrawn data centre between withdrawalBound and its restoration.
func (j *injector) countLateExecutions(ctx context.Context) {
	started := time.Now()
	if !sleepUntil(ctx, started.Add(withdrawnAt+withdrawalBound)) {
		return
	}
	before := j.demo.executionsIn(withdrawnIndex)
	if sleepUntil(ctx, started.Add(restoredAt-100*time.Millisecond)) {
		j.lateExecutions.Store(j.demo.executionsIn(withdrawnIndex) - before)
	}
}

// executionsIn returns the number of requests that the engines of a data centre have executed.
func (d *Demo) executionsIn(dataCentre int) int64 {
	n := int64(0)
	for i, e := range d.engines {
		if i%dataCentreCount == dataCentre {
			n += e.Executions.Load()
		}
	}
	return n
}

func sleepUntil(ctx context.Context, at time.Time) bool { return tgsleep.Sleep(ctx, time.Until(at)) }
