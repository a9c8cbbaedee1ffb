package tgconfig

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"tanagergrade/core/tgcall"
)

var (
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methods        = []string{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"}
)

func (v *validator) checkAccount(name string, a Account) {
	path := Path{tableAccounts, name}
	v.checkName(tableAccounts, name)
	if !keyHashPattern.MatchString(a.KeyHash) {
		v.addf(path.child("keyHash"), "must be a SHA-256 hash in 64 lower-case hexadecimal digits")
	}
	v.checkPriority(path.child("priority"), a.Priority)
	if a.Share < 1 {
		v.addf(path.child("share"), "must be at least 1, not %d", a.Share)
	}
}

func (v *validator) checkPriority(path Path, priority string) {
	if priority != "" && !tgcall.Priority(priority).Valid() {
		v.addf(path, `must be "live", "standard" or "bulk", not %q`, priority)
	}
}

func (v *validator) checkState(path Path, state, out CapacityState) {
	if state != "" && state != Active && state != out {
		v.addf(path, "must be %q or %q, not %q", Active, out, state)
	}
}

func (v *validator) checkDataCentre(name string, dc DataCentre) {
	path := Path{tableDataCentres, name}
	v.checkName(tableDataCentres, name)
	if dc.Region == "" {
		v.addf(path.child("region"), "is missing")
	}
	v.checkState(path.child("state"), dc.State, Withdrawn)
}

func (v *validator) checkGroup(name string, g Group) {
	path := Path{tableGroups, name}
	v.checkName(tableGroups, name)
	v.checkAtLeast(path.child("experts"), g.Experts, 1)
	v.checkAtLeast(path.child("layers"), g.Layers, 1)
	v.checkAtLeast(path.child("slots"), g.Slots, 1)
	v.checkAtLeast(path.child("bytesPerExpert"), g.BytesPerExpert, 0)
	v.checkAtLeast(path.child("spares"), g.Spares, 0)
	v.checkAtLeast(path.child("storeRate"), g.StoreRate, 0)
	if g.TokenTime < 0 {
		v.addf(path.child("tokenTime"), "must not be negative, not %s", g.TokenTime)
	}
	if members := len(g.Ranks) - g.Spares; g.Experts > g.Slots*members {
		v.addf(path.child("slots"), "%d ranks with %d slots each cannot hold %d experts", members, g.Slots, g.Experts)
	}
	if p, ok := v.cfg.Pools[g.Pool]; !ok {
		v.addf(path.child("pool"), "pool %q does not exist", g.Pool)
	} else if p.Kind != ModelPool {
		v.addf(path.child("pool"), "pool %q is not of kind %q", g.Pool, ModelPool)
	}
	if len(g.Ranks) == 0 {
		v.addf(path.child("ranks"), "is missing")
	}
	for i, rank := range g.Ranks {
		if u, ok := v.cfg.Upstreams[rank]; !ok {
			v.addf(path.child("ranks", index(i)), "upstream %q does not exist", rank)
		} else if u.Pool != g.Pool {
			v.addf(path.child("ranks", index(i)), "upstream %q is in pool %q, not %q", rank, u.Pool, g.Pool)
		}
	}
}

func (v *validator) checkAtLeast(path Path, value, least int) {
	if value < least {
		v.addf(path, "must be at least %d, not %d", least, value)
	}
}

func (v *validator) checkPool(name string, p Pool) {
	path := Path{tablePools, name}
	v.checkName(tablePools, name)
	switch p.Kind {
	case ModelPool:
		v.checkModelPool(path, p)
	case PlainPool:
		v.checkPlainPool(path, p)
	default:
		v.addf(path.child("kind"), "must be %q or %q, not %q", ModelPool, PlainPool, p.Kind)
	}
}

func (v *validator) checkModelPool(path Path, p Pool) {
	if len(p.Models) == 0 {
		v.addf(path.child("models"), "is missing")
	}
	for i, model := range p.Models {
		if model == "" {
			v.addf(path.child("models", index(i)), "is empty")
		}
	}
	if len(p.Operations) > 0 {
		v.addf(path.child("operations"), "belongs to pools of kind %q", PlainPool)
	}
	if p.PathPrefix != "" {
		v.addf(path.child("pathPrefix"), "belongs to pools of kind %q", PlainPool)
	}
}

func (v *validator) checkPlainPool(path Path, p Pool) {
	if len(p.Models) > 0 {
		v.addf(path.child("models"), "belongs to pools of kind %q", ModelPool)
	}
	if !strings.HasPrefix(p.PathPrefix, "/") {
		v.addf(path.child("pathPrefix"), "must begin with /, not %q", p.PathPrefix)
	}
	type operationKey struct{ method, path string }
	seen := map[operationKey]bool{}
	for i, op := range p.Operations {
		at := path.child("operations", index(i))
		if !slices.Contains(methods, op.Method) {
			v.addf(at.child("method"), "must be one of %s, not %q", strings.Join(methods, ", "), op.Method)
		}
		if !strings.HasPrefix(op.Path, p.PathPrefix) {
			v.addf(at.child("path"), "%q is not under the pool's pathPrefix %q", op.Path, p.PathPrefix)
		}
		v.checkPriority(at.child("priority"), op.Priority)
		key := operationKey{op.Method, op.Path}
		if seen[key] {
			v.addf(at, "operation %s %s is declared twice", op.Method, op.Path)
		}
		seen[key] = true
	}
}

func (v *validator) checkUpstream(name string, u Upstream) {
	path := Path{tableUpstreams, name}
	v.checkName(tableUpstreams, name)
	v.checkAddress(path.child("address"), u.Address)
	v.checkAddress(path.child("companion"), u.Companion)
	if _, ok := v.cfg.DataCentres[u.DataCentre]; !ok {
		v.addf(path.child("dataCentre"), "data centre %q does not exist", u.DataCentre)
	}
	if _, ok := v.cfg.Pools[u.Pool]; !ok {
		v.addf(path.child("pool"), "pool %q does not exist", u.Pool)
	}
	v.checkState(path.child("state"), u.State, Drained)
}

func (v *validator) checkAddress(path Path, a netip.AddrPort) {
	switch {
	case !a.IsValid():
		v.addf(path, "is missing")
	case a.Port() == 0:
		v.addf(path, "must have a port, not %q", a)
	}
}
