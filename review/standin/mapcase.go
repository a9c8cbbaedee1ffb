package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"tanagergrade/platform/tgemulator"
)

const (
	ranks         = 4
	passInterval  = 20 * time.Millisecond
	faultyRank    = 3
	troubleTime   = 5 * time.Second // length of the disruption
	maxExtra      = 4               // answers that are sent twice, of some 180 in this time
	steadyTimeout = 40 * time.Second
	observedTime  = 15 * time.Second // from the start of the disruption, or from the time at which it would come
)

// mapCase is the state of the case "map".
type mapCase struct {
	d     *deployment
	group *tgemulator.Group

	mu      sync.Mutex // guards the fields below
	answers int        // of the faulty engine during the disruption
	extra   int        // answers that were sent twice
	faulty  time.Time  // end of the disruption
	held    bool       // a pass is held
}

var errNotSteady = errors.New("the group did not change its map")

// runMapCase plays a rank group whose engines change their maps. Some answers of one engine are followed by a second copy,
// after which the engine closes the connection. With VARIANT=late, one answer of one engine is followed late by a second
// copy, and the order that the copy seems to answer is carried out late.
func runMapCase(d *deployment, trouble bool) (verdict, error) {
	shape := tgemulator.Shape{Experts: 16, ExpertSlotsPerRank: 6, NewExpertsPerSet: 3, Ranks: ranks, Sets: 2}
	c := &mapCase{d: d, group: tgemulator.NewGroup("g", shape, passInterval, 1)}
	go c.group.Run(d.ctx.Done())
	for i := range ranks {
		if err := c.addRank(i); err != nil {
			return verdictNotRun, err
		}
	}
	d.publishConfig(shape)
	entry, err := d.startEntry(ranks)
	if err != nil {
		return verdictNotRun, err
	}
	clients := &streamClients{}
	for _, name := range []string{"a", "b", "c"} {
		go clients.run(d, name, entry)
	}
	if !c.waitForChange() || clients.answered.Load() == 0 {
		return verdictNotRun, errNotSteady
	}
	if trouble {
		c.mu.Lock()
		c.faulty = time.Now().Add(troubleTime)
		c.mu.Unlock()
	}
	d.sleep(observedTime)
	version, step := c.group.Progress()
	d.rec.linef("%d streams answered, %d refused, %d failed; map %d of rank 0 at pass %d", clients.answered.Load(),
		clients.refused.Load(), clients.failed.Load(), version, step)
	for _, line := range d.logLines("msg=order") {
		d.rec.linef("log %s", line)
	}
	return c.judge()
}

// judge checks the rule MAP.
func (c *mapCase) judge() (verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.rec.linef("engine %d gave %d answers to calls during the disruption, and a second copy of %d of them", faultyRank,
		c.answers, c.extra)
	mixed := c.group.MixedPasses()
	c.d.rec.linef("%d differences between maps as passes began", len(mixed))
	for _, m := range mixed[:min(len(mixed), 20)] {
		c.d.rec.linef("%s", m)
	}
	if len(mixed) > 0 {
		return verdictBroken, nil
	}
	return verdictHeld, nil
}

// addRank starts an engine behind a proxy, and the companion beside it.
func (c *mapCase) addRank(i int) error {
	d := c.d
	e := tgemulator.NewEngine(fmt.Sprintf("i-%d", i))
	e.Group, e.Rank, e.StreamEvents = c.group, i, 12
	engine, err := d.listen(d.ip(3, i), func(l net.Listener) { _ = e.Serve(l) })
	if err != nil {
		return err
	}
	p := &engineProxy{answered: c.recordAnswer, disturb: c.disturb, engine: engine, rank: i}
	app, err := d.listen(d.ip(4, i), p.serve)
	if err != nil {
		return err
	}
	d.registerEngine(e.ID, app)
	return d.startCompanion(i, app, poolModel)
}

// waitForChange waits until the group uses a map that the daemons made.
func (c *mapCase) waitForChange() bool {
	for end := time.Now().Add(steadyTimeout); time.Now().Before(end); {
		if version, _ := c.group.Progress(); version > 0 {
			return true
		}
		if !c.d.sleep(100 * time.Millisecond) {
			return false
		}
	}
	return false
}

func (c *mapCase) recordAnswer(call controlCall, status int) {
	if call.target != orderTarget {
		return
	}
	c.d.rec.linef("%s: answered %d", call, status)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch call.order.Operation {
	case "retention":
		c.held = status < statusRefused
	case "go":
		c.held = false
	}
}

const statusRefused = 400 // and above: the order was not accepted

// disturb chooses some calls of the faulty engine: reports while a pass is held and the order to arm is due or, with
// VARIANT=late, one order to arm.
func (c *mapCase) disturb(call controlCall) disturbance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.faulty) || call.rank != faultyRank {
		return undisturbed
	}
	c.answers++
	if os.Getenv("VARIANT") == "late" {
		if c.extra > 0 || call.order.Operation != "arm" || !call.hasLast {
			return undisturbed
		}
		c.extra++
		c.d.rec.linef("%s: a second copy of the answer before it comes; the order is not answered", call)
		return carryOutLate
	}
	if !c.held || call.target != reportTarget || c.extra >= maxExtra {
		return undisturbed
	}
	c.extra++
	c.d.rec.linef("rank %d: a second copy of the answer to %s %s follows it, and the connection is closed", call.rank,
		call.method, call.target)
	return answerTwice
}
