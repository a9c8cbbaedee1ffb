package tgcatalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const fingerprintBytes = 4 // length of the shown part of a key's hash; enough to see that a key has changed

// lineList collects lines of the form "key = value".
type lineList []string

func (l *lineList) add(key string, value any) {
	text := fmt.Sprint(value)
	switch v := value.(type) {
	case string:
		text = strconv.Quote(v)
	case time.Duration:
		text = strconv.Quote(v.String())
	}
	*l = append(*l, key+" = "+text)
}

// Lines returns the configuration as TOML, one value per line, sorted. API keys are replaced by their
// fingerprints.
func (c *Config) Lines() []string {
	var l lineList
	l.add("version", c.Version)
	l.add("keysNeeded", c.KeyRequired)
	l.add("limits.bodyBytes", c.Limits.BodyBytes)
	l.add("limits.headerBytes", c.Limits.HeaderBytes)
	l.add("limits.headerTimeout", c.Limits.HeaderTimeout)
	l.add("limits.idleTimeout", c.Limits.IdleTimeout)
	c.addAccounts(&l)
	for name, p := range c.Pools {
		p.addLines(&l, "pools."+strconv.Quote(name)+".")
	}
	for _, routes := range c.routesByHost {
		for i := range routes {
			routes[i].addLines(&l, "routes."+strconv.Quote(routes[i].Name)+".")
		}
	}
	slices.Sort(l)
	return l
}

func (c *Config) addAccounts(l *lineList) {
	fingerprints := map[string][]string{}
	accounts := map[string]Account{}
	for key, a := range c.Accounts {
		sum := sha256.Sum256([]byte(key))
		fingerprints[a.Name] = append(fingerprints[a.Name], strconv.Quote(hex.EncodeToString(sum[:fingerprintBytes])))
		accounts[a.Name] = a
	}
	for name, a := range accounts {
		prefix := "accounts." + strconv.Quote(name) + "."
		slices.Sort(fingerprints[name])
		*l = append(*l, prefix+"keys = ["+strings.Join(fingerprints[name], ", ")+"]")
		if a.HasPriority {
			l.add(prefix+"priority", a.Priority)
		}
	}
}

func (p *Pool) addLines(l *lineList, prefix string) {
	l.add(prefix+"coldRate", p.ColdRate)
	l.add(prefix+"coldTime", p.ColdTime)
	l.add(prefix+"maxConnections", p.MaxConnections)
	if p.Engine.Slots == 0 {
		return
	}
	l.add(prefix+"engine.slots", p.Engine.Slots)
	l.add(prefix+"engine.stepTime", p.Engine.StepTime)
	l.add(prefix+"engine.stepsPerPass", p.Engine.StepsPerPass)
	l.add(prefix+"engine.streamTime", p.Engine.StepTimePerStream)
	if p.Engine.HasExperts() {
		l.add(prefix+"engine.experts", p.Engine.Experts)
		l.add(prefix+"engine.expertsPerRank", p.Engine.ExpertSlotsPerRank)
		l.add(prefix+"engine.sets", p.Engine.Sets)
	}
}

func (r *Route) addLines(l *lineList, prefix string) {
	l.add(prefix+"anonymous", r.Anonymous)
	l.add(prefix+"gapTarget", r.EventGapTarget)
	l.add(prefix+"host", r.Host)
	l.add(prefix+"kind", string(r.Kind))
	l.add(prefix+"latency", r.FirstByteTarget)
	l.add(prefix+"maxAttempts", r.MaxAttempts)
	l.add(prefix+"pathPrefix", r.PathPrefix)
	l.add(prefix+"priority", r.Priority)
	l.add(prefix+"resumable", r.Resumable)
	l.add(prefix+"timeout", r.Timeout)
	for _, t := range r.Targets {
		l.add(prefix+"weights."+strconv.Quote(t.Pool), t.Weight)
	}
}
