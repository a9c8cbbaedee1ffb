package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagergrade/platform/tgemulator"
)

const (
	partsEngines     = 6
	partsEntries     = 2
	restartTime      = 3 * time.Second // of an engine after a crash; the pages say some seconds
	soundInterval    = 60 * time.Millisecond
	poisonInterval   = 2 * time.Second
	poisonTime       = 22 * time.Second
	manyParts        = 33 // before the last part of a prompt
	partsCalm        = 3 * time.Second
	deadlyPart       = "dead0001"
	countedCrash     = 5               // from the pages: the crash from which requests count
	stabilityWindow  = 3 * time.Second // stabilityWindowMs of the settings
	maxPoisonReached = 3               // from the pages: more break the rule
)

// partsCase is the state of the case "parts".
type partsCase struct {
	d            *deployment
	deadlyEvents int // events of an answer on the deadly part before the engine ends
	entries      []string
	pad          string // before the ID of each part
	position     int    // of the deadly part in the prompt
	shared       int    // parts of a prompt before its last one

	mu         sync.Mutex // guards the fields below
	crashes    []time.Time
	lastPoison time.Time      // when the last request with the deadly part was sent
	outcomes   map[string]int // of requests, by "sound 200" and the like
	sound      []soundRequest
}

// soundRequest is a request without the deadly part.
type soundRequest struct {
	begun bool // its stream began at this attempt
	sent  time.Time
}

// runPartsCase plays model engines that crash as they begin an answer on one part of a prompt. Prompts have 34 parts; the
// deadly one is the last that requests share.
func runPartsCase(d *deployment, trouble bool) (verdict, error) {
	c := &partsCase{d: d, outcomes: map[string]int{}, position: manyParts, shared: manyParts}
	if p, err := strconv.Atoi(os.Getenv("POSITION")); err == nil && p >= 1 && p <= manyParts {
		c.position = p // to compare
	}
	if err := c.run(trouble); err != nil {
		return verdictNotRun, err
	}
	return c.judgeLost()
}

// runEventCase plays model engines that crash when they have written the first event of an answer on one part of a prompt.
// Prompts have 3 parts; the deadly one is the second.
func runEventCase(d *deployment, trouble bool) (verdict, error) {
	c := &partsCase{d: d, deadlyEvents: 1, outcomes: map[string]int{}, position: 2, shared: 2}
	if n, err := strconv.Atoi(os.Getenv("EVENTS")); err == nil && n >= 0 {
		c.deadlyEvents = n // to compare
	}
	if n, err := strconv.Atoi(os.Getenv("IDLENGTH")); err == nil && n > len(deadlyPart) {
		c.pad = strings.Repeat("a", n-len(deadlyPart)) // to compare
	}
	if err := c.run(trouble); err != nil {
		return verdictNotRun, err
	}
	return c.judgeBudget()
}

// run starts the deployment and sends requests until the end of the case.
func (c *partsCase) run(trouble bool) error {
	d := c.d
	d.rec.linef("prompts have %d parts; the deadly one is part %d; engines end after %d events", c.shared+1, c.position,
		c.deadlyEvents)
	for i := range partsEngines {
		if err := c.addEngine(i); err != nil {
			return err
		}
	}
	d.publishConfig(tgemulator.Shape{})
	for i := range partsEntries {
		entry, err := d.startEntry(i)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, entry)
	}
	if !c.waitForService() {
		return errors.New("an entry did not serve")
	}
	go c.send("sound", soundInterval)
	if d.sleep(partsCalm) && trouble {
		go c.send("poison", poisonInterval)
	}
	d.sleep(poisonTime)
	return nil
}

// addEngine starts an engine that is in no group.
func (c *partsCase) addEngine(i int) error {
	e := &engine{
		deadlyEvents: c.deadlyEvents, events: 12, eventInterval: 20 * time.Millisecond, id: fmt.Sprintf("i-%d", i),
	}
	addr, err := c.d.listen(c.d.ip(3, i), e.serve)
	if err != nil {
		return err
	}
	e.onCrash = func() { c.recordCrash(e.id, addr) }
	c.d.registerEngine(e.id, addr)
	return nil
}

// recordCrash notes that a request with the deadly part has reached an engine, which ends for restartTime.
func (c *partsCase) recordCrash(id, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
	c.d.rec.linef("a request with the deadly part reaches engine %s; crash %d", id, len(c.crashes))
	time.AfterFunc(restartTime, func() { c.d.registerEngine(id, addr) })
}

func (c *partsCase) waitForService() bool {
	for _, entry := range c.entries {
		served := false
		for i := 0; i < 60 && !served; i++ {
			status, err := exchange(entry, c.request(fmt.Sprintf("probe%02x", i), false))
			served = err == nil && status == 200
			if !served && !c.d.sleep(100*time.Millisecond) {
				return false
			}
		}
		if !served {
			return false
		}
	}
	return true
}

// request returns a request for a stream. All prompts share their parts but the last one and that at the position of the
// deadly one.
func (c *partsCase) request(id string, deadly bool) string {
	parts := make([]string, 0, c.shared+1)
	for i := 1; i <= c.shared; i++ {
		part := fmt.Sprintf("c0ffee%02x", i)
		if deadly && i == c.position {
			part = deadlyPart
		}
		parts = append(parts, c.pad+part+":20")
	}
	prompt := strings.Join(append(parts, id+":20"), ",")
	return strings.Replace(streamRequest(id), "a1:40,"+id+":60", prompt, 1)
}

// send sends requests of a kind at an interval, to the entries in turn, until the case ends.
func (c *partsCase) send(kind string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-c.d.ctx.Done():
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%x%05x", kind[:1], i)
		go func() {
			sent := time.Now()
			status, err := exchange(c.entries[i%len(c.entries)], c.request(id, kind == "poison"))
			outcome := fmt.Sprintf("%s %d", kind, status)
			if err != nil {
				outcome = kind + " cut off"
			}
			if kind == "poison" {
				c.d.rec.linef("request %s with the deadly part: %s", id, outcome)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outcomes[outcome]++
			if kind == "poison" {
				c.lastPoison = sent
			} else {
				c.sound = append(c.sound, soundRequest{begun: status == 200, sent: sent})
			}
		}()
	}
}

// countReached records the outcomes and returns the number of requests with the deadly part that reached engines later
// than stabilityWindow after the crash from which they count, and that crash; both are zero if there was none. The caller
// holds c.mu.
func (c *partsCase) countReached() (reached int, counted time.Time) {
	for outcome, n := range c.outcomes {
		c.d.rec.linef("requests %s: %d", outcome, n)
	}
	if len(c.crashes) == 0 {
		return 0, time.Time{}
	}
	counted = c.crashes[min(len(c.crashes), countedCrash)-1] // the last one if there are fewer
	for _, at := range c.crashes {
		if len(c.crashes) >= countedCrash && at.Sub(counted) > stabilityWindow {
			reached++
		}
	}
	c.d.rec.linef("%d crashes; %d requests with the deadly part reached engines later than %v after crash %d, %d are allowed",
		len(c.crashes), reached, stabilityWindow, countedCrash, maxPoisonReached)
	return reached, counted
}

// judgeBudget checks the rule BUDGET on parts of prompts that crash engines.
func (c *partsCase) judgeBudget() (verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reached, _ := c.countReached(); reached > maxPoisonReached {
		return verdictBroken, nil
	}
	return verdictHeld, nil
}

// judgeLost checks the rule LOST on sound requests beside those with a deadly part.
func (c *partsCase) judgeLost() (verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, counted := c.countReached()
	if counted.IsZero() {
		return verdictHeld, nil
	}
	before, n := c.begunShare(time.Time{}, c.crashes[0])
	during, m := c.begunShare(counted.Add(2*stabilityWindow), c.lastPoison)
	c.d.rec.linef("sound requests that began at the first attempt: %.2f of %d before the first crash, %.2f of %d from %v after "+
		"crash %d on", before, n, during, m, 2*stabilityWindow, min(len(c.crashes), countedCrash))
	if n < minSound || m < minSound {
		return verdictNotRun, errors.New("too few sound requests")
	}
	if during < before/2 {
		return verdictBroken, nil
	}
	return verdictHeld, nil
}

const minSound = 20 // from the pages: sound requests of each time

// begunShare returns the share of the sound requests sent in a time that began, and their number.
func (c *partsCase) begunShare(from, to time.Time) (share float64, n int) {
	begun := 0
	for _, r := range c.sound {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		n++
		if r.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n)), n
}
