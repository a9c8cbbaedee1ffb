package tgconfig

// scope is the set of entities that a change replaces or deletes.
type scope struct {
	all             bool // every entity; the other fields are not used
	accounts        map[string]bool
	dataCentres     map[string]bool
	groups          map[string]bool
	invalidSettings []Entity // settings with a name, or deleted settings
	pools           map[string]bool
	settings        bool
	upstreams       map[string]bool
}

func newScope(change Change) *scope {
	s := &scope{
		accounts: map[string]bool{}, dataCentres: map[string]bool{}, groups: map[string]bool{},
		pools: map[string]bool{}, upstreams: map[string]bool{},
	}
	for _, e := range change.Entities {
		switch e.Entity.Kind {
		case EntityAccount:
			s.accounts[e.Entity.Name] = true
		case EntityDataCentre:
			s.dataCentres[e.Entity.Name] = true
		case EntityGroup:
			s.groups[e.Entity.Name] = true
		case EntityPool:
			s.pools[e.Entity.Name] = true
		case EntitySettings:
			s.settings = true
			if e.Deleted || e.Entity.Name != "" {
				s.invalidSettings = append(s.invalidSettings, e.Entity)
			}
		case EntityUpstream:
			s.upstreams[e.Entity.Name] = true
		}
	}
	return s
}

// checkScope checks the entities of s, the entities that refer to them, and the uniqueness of values.
func (v *validator) checkScope(s *scope) {
	for range s.invalidSettings {
		v.addf(Path{tableSettings}, "settings have no name and cannot be deleted")
	}
	if s.settings {
		v.checkSettings()
	}
	checkChanged(v.cfg.Accounts, s.accounts, v.checkAccount)
	checkChanged(v.cfg.DataCentres, s.dataCentres, v.checkDataCentre)
	checkChanged(v.cfg.Pools, s.pools, v.checkPool)
	if len(s.dataCentres)+len(s.pools)+len(s.upstreams) > 0 {
		v.checkReferring(s)
	} else {
		checkChanged(v.cfg.Groups, s.groups, v.checkGroup)
	}
	v.checkUnique(s)
}

func checkChanged[T any](all map[string]T, changed map[string]bool, check func(string, T)) {
	for name := range changed {
		if e, ok := all[name]; ok {
			check(name, e)
		}
	}
}

// checkReferring checks upstreams and groups that are in s or refer to an entity in s.
func (v *validator) checkReferring(s *scope) {
	if len(s.dataCentres)+len(s.pools) > 0 {
		for name, u := range v.cfg.Upstreams {
			if s.upstreams[name] || s.dataCentres[u.DataCentre] || s.pools[u.Pool] {
				v.checkUpstream(name, u)
			}
		}
	} else {
		checkChanged(v.cfg.Upstreams, s.upstreams, v.checkUpstream)
	}
	for name, g := range v.cfg.Groups {
		refers := s.groups[name] || s.pools[g.Pool]
		for _, rank := range g.Ranks {
			refers = refers || s.upstreams[rank]
		}
		if refers {
			v.checkGroup(name, g)
		}
	}
}
