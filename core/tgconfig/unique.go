package tgconfig

import "net/netip"

// uniqueRule describes values that may occur only once in a table.
type uniqueRule[K comparable, T any] struct {
	changed map[string]bool // entities whose values are checked against all others, by name
	all     bool            // treat every entity as changed
	path    func(name string, i int) Path
	table   map[string]T
	values  func(e T, yield func(i int, value K)) // zero values are not compared
	what    string                                // name of the value in problems
}

// checkUnique checks values that must be unique. It scans only tables that have an entity in s.
func (v *validator) checkUnique(s *scope) {
	checkUnique(v, uniqueRule[string, Account]{
		all: s.all, changed: s.accounts, table: v.cfg.Accounts, what: "key hash",
		path:   func(name string, _ int) Path { return Path{tableAccounts, name, "keyHash"} },
		values: func(a Account, yield func(int, string)) { yield(0, a.KeyHash) },
	})
	checkUnique(v, uniqueRule[string, Group]{
		all: s.all, changed: s.groups, table: v.cfg.Groups, what: "upstream",
		path:   func(name string, i int) Path { return Path{tableGroups, name, "ranks", index(i)} },
		values: func(g Group, yield func(int, string)) { eachValue(g.Ranks, yield) },
	})
	checkUnique(v, uniqueRule[string, Pool]{
		all: s.all, changed: s.pools, table: v.cfg.Pools, what: "model",
		path:   func(name string, i int) Path { return Path{tablePools, name, "models", index(i)} },
		values: func(p Pool, yield func(int, string)) { eachValue(p.Models, yield) },
	})
	checkUnique(v, uniqueRule[string, Pool]{
		all: s.all, changed: s.pools, table: v.cfg.Pools, what: "path prefix",
		path:   func(name string, _ int) Path { return Path{tablePools, name, "pathPrefix"} },
		values: func(p Pool, yield func(int, string)) { yield(0, p.PathPrefix) },
	})
	checkUnique(v, uniqueRule[netip.AddrPort, Upstream]{
		all: s.all, changed: s.upstreams, table: v.cfg.Upstreams, what: "address",
		path:   func(name string, _ int) Path { return Path{tableUpstreams, name, "address"} },
		values: func(u Upstream, yield func(int, netip.AddrPort)) { yield(0, u.Address) },
	})
	checkUnique(v, uniqueRule[netip.AddrPort, Upstream]{
		all: s.all, changed: s.upstreams, table: v.cfg.Upstreams, what: "companion address",
		path:   func(name string, _ int) Path { return Path{tableUpstreams, name, "companion"} },
		values: func(u Upstream, yield func(int, netip.AddrPort)) { yield(0, u.Companion) },
	})
}

func eachValue(values []string, yield func(i int, value string)) {
	for i, value := range values {
		yield(i, value)
	}
}

func checkUnique[K comparable, T any](v *validator, u uniqueRule[K, T]) {
	if !u.all && len(u.changed) == 0 {
		return
	}
	names := sortedKeys(u.changed)
	if u.all {
		names = sortedKeys(u.table)
	}
	var zero K
	owners := map[K]string{}
	for _, name := range names {
		u.values(u.table[name], func(i int, value K) {
			if value == zero {
				return
			}
			if owner, ok := owners[value]; ok {
				v.addf(u.path(name, i), "%s is already used by %q", u.what, owner)
				return
			}
			owners[value] = name
		})
	}
	if u.all {
		return
	}
	for name, e := range u.table {
		u.values(e, func(i int, value K) {
			if owner, ok := owners[value]; ok && !u.changed[name] {
				v.addf(u.path(name, i), "%s is already used by %q", u.what, owner)
			}
		})
	}
}
