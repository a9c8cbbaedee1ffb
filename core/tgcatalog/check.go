package tgcatalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Severity is how grave a finding is.
type Severity string

// Severities, the gravest first.
const (
	SeverityError   Severity = "error"   // requests fail or go astray
	SeverityWarning Severity = "warning" // an entry has no effect, or two limits contradict each other
)

// Finding is something wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Subject  string   `json:"subject"` // such as `route "r1"`
	Text     string   `json:"text"`
}

// findings collects findings about one subject after another.
type findings struct {
	list    []Finding
	subject string
}

func (f *findings) addf(s Severity, format string, args ...any) {
	f.list = append(f.list, Finding{Severity: s, Subject: f.subject, Text: fmt.Sprintf(format, args...)})
}

func (f *findings) errorf(format string, args ...any) { f.addf(SeverityError, format, args...) }
func (f *findings) warnf(format string, args ...any)  { f.addf(SeverityWarning, format, args...) }

// Check returns what is wrong with a configuration: faults, entries that can never match, and limits that contradict each
// other. Errors come first.
func (c *Config) Check() []Finding {
	f := &findings{}
	c.checkLimits(f)
	c.checkAccounts(f)
	for name, p := range c.Pools {
		f.subject = fmt.Sprintf("pool %q", name)
		p.check(f)
	}
	for host, routes := range c.routesByHost {
		for i := range routes {
			f.subject = fmt.Sprintf("route %q", routes[i].Name)
			routes[i].check(f, c.Pools)
			for j := range routes[:i] {
				if routes[j].PathPrefix == routes[i].PathPrefix {
					f.errorf("has the host %q and prefix %q of route %q; only one of them can match", host, routes[i].PathPrefix, routes[j].Name)
				}
			}
		}
	}
	slices.SortFunc(f.list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Text, b.Text))
	})
	return f.list
}

func (c *Config) checkLimits(f *findings) {
	f.subject = "limits"
	l := c.Limits
	for _, limit := range []struct {
		name string
		bad  bool
	}{
		{"header bytes", l.HeaderBytes <= 0},
		{"header timeout", l.HeaderTimeout <= 0},
		{"idle timeout", l.IdleTimeout <= 0},
	} {
		if limit.bad {
			f.errorf("the limit of %s is not positive; all requests would be refused", limit.name)
		}
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		f.warnf("an idle connection ends after %v, before a request has to be complete (%v)", l.IdleTimeout, l.HeaderTimeout)
	}
}

func (c *Config) checkAccounts(f *findings) {
	for _, a := range c.accountsWithoutKeys {
		f.subject = fmt.Sprintf("account %q", a)
		f.warnf("has no key; no request can be its")
	}
	for _, conflict := range c.keyConflicts {
		f.subject = fmt.Sprintf("account %q", conflict.account)
		f.errorf("shares a key with account %q; requests with it count as those of %q", conflict.other, conflict.account)
	}
}

func (p *Pool) check(f *findings) {
	if p.MaxConnections > 0 && p.Engine.Slots > p.MaxConnections {
		f.warnf("an engine runs %d requests at once but accepts %d connections", p.Engine.Slots, p.MaxConnections)
	}
	if p.ColdTime > 0 && p.ColdRate <= 0 {
		f.warnf("is cold for %v after a start, but has no rate for that time", p.ColdTime)
	}
	if e := p.Engine; e.MemoryTokens > 0 && e.UsualAnswer > e.MemoryTokens {
		f.errorf("a usual answer of %.0f tokens exceeds the memory of %.0f", e.UsualAnswer, e.MemoryTokens)
	}
}

func (r *Route) check(f *findings, pools map[string]Pool) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		f.errorf("prefix %q does not begin and end with a slash; it can never match as meant", r.PathPrefix)
	}
	if r.Host == "" || strings.Contains(r.Host, ":") {
		f.errorf("host %q can never match: it is empty or has a port", r.Host)
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
		if _, ok := pools[t.Pool]; !ok {
			f.errorf("pool %q does not exist", t.Pool)
		}
		if t.Weight == 0 && len(r.Targets) > 1 {
			f.warnf("pool %q has the weight 0; it gets no request", t.Pool)
		}
	}
	if total <= 0 {
		f.errorf("the weights of its pools are all 0; requests go to the last one")
	}
	r.checkTimes(f)
	if r.Kind == KindNonIdempotent && r.MaxAttempts > 1 {
		f.warnf("allows %d attempts, but its requests are sent again only after a promise that they did not run", r.MaxAttempts)
	}
	if r.Kind != KindStreaming && (r.Resumable || r.EventGapTarget > 0) {
		f.warnf("has settings of streams, but the kind %q", r.Kind)
	}
}

func (r *Route) checkTimes(f *findings) {
	if r.Timeout <= 0 {
		f.warnf("has no timeout")
		return
	}
	for _, t := range []struct {
		name   string
		target time.Duration
	}{{"the first byte", r.FirstByteTarget}, {"the next event", r.EventGapTarget}} {
		if t.target > r.Timeout {
			f.warnf("the target of %v for %s exceeds the timeout of %v", t.target, t.name, r.Timeout)
		}
	}
}
