package tgconfig

import (
	"fmt"
	"regexp"
	"slices"
)

// Names of tables in paths and files.
const (
	tableAccounts    = "accounts"
	tableDataCentres = "dataCentres"
	tableGroups      = "groups"
	tablePools       = "pools"
	tableProcesses   = "processes"
	tableSettings    = "settings"
	tableUpstreams   = "upstreams"
)

// namePattern restricts names of entities so that they can be part of URLs and stream names; the latter contain names of
// pools.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validator collects the problems of a configuration.
type validator struct {
	cfg      *Config
	problems []Problem
}

func newValidator(cfg *Config) *validator { return &validator{cfg: cfg} }

// Validate checks the whole configuration. An error is a *ValidationError with all problems.
func (c *Config) Validate() error {
	v := newValidator(c)
	v.checkAll()
	return v.err()
}

// ValidateChange checks what change affects in c, a configuration that has the change applied already: the changed
// entities, the entities that refer to them, and values that must be unique. Its cost does not depend on the number of
// entities, except for one scan of the table of each changed entity. An error is a *ValidationError.
func (c *Config) ValidateChange(change Change) error {
	v := newValidator(c)
	v.checkScope(newScope(change))
	return v.err()
}

func (v *validator) addf(path Path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) sorted() []Problem {
	slices.SortFunc(v.problems, compareProblems)
	return v.problems
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: v.sorted()}
}

func (v *validator) checkAll() {
	v.checkSettings()
	for name, a := range v.cfg.Accounts {
		v.checkAccount(name, a)
	}
	for name, dc := range v.cfg.DataCentres {
		v.checkDataCentre(name, dc)
	}
	for name, g := range v.cfg.Groups {
		v.checkGroup(name, g)
	}
	for name, p := range v.cfg.Pools {
		v.checkPool(name, p)
	}
	for name, u := range v.cfg.Upstreams {
		v.checkUpstream(name, u)
	}
	v.checkUnique(&scope{all: true})
}

func (v *validator) checkName(table, name string) {
	if !namePattern.MatchString(name) {
		v.addf(Path{table, name}, "a name has 1 to 63 letters, digits, dots, hyphens and underscores and starts with a letter or digit")
	}
}
