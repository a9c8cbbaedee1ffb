package tgconfig

import (
	"reflect"
	"slices"
)

// Document is the merged content of a base file and its overlays.
type Document struct {
	Config    *Config
	Processes map[string]Process

	merged *tree // for the positions of problems, and to tell a default from a value in a file
}

// documentTables are the top-level tables of a file.
type documentTables struct {
	Accounts    map[string]Account    `toml:"accounts"`
	DataCentres map[string]DataCentre `toml:"dataCentres"`
	Groups      map[string]Group      `toml:"groups"`
	Pools       map[string]Pool       `toml:"pools"`
	Processes   map[string]Process    `toml:"processes"`
	Settings    Settings              `toml:"settings"`
	Upstreams   map[string]Upstream   `toml:"upstreams"`
}

// Parse parses a base file and its overlays, merges them and validates the result. The error is a *FileError with all
// problems of all files.
func Parse(base File, overlays ...File) (*Document, error) {
	files := append([]File{base}, overlays...)
	var problems []FileProblem
	var merged *tree
	var fileDecoder decoder // collects the problems of each file, also of values that an overlay replaces
	for _, file := range files {
		t, found := parseTree(file)
		problems = append(problems, found...)
		fileDecoder.decode(t, nil, reflect.ValueOf(&documentTables{}).Elem())
		if merged == nil {
			merged = t.clone()
			continue
		}
		problems = append(problems, merge(merged, t.clone(), base.Name, nil)...)
	}
	complete := len(problems) == 0 // if a part was skipped, references to it would be reported as broken
	problems = append(problems, fileDecoder.problems...)
	tables := documentTables{Settings: DefaultSettings()}
	(&decoder{}).decode(merged, nil, reflect.ValueOf(&tables).Elem())
	d := newDocument(&tables, merged)
	if complete {
		problems = append(problems, d.validate(problems)...)
	}
	if len(problems) == 0 {
		return d, nil
	}
	slices.SortStableFunc(problems, compareFileProblems(files))
	return nil, &FileError{Problems: problems}
}

func newDocument(tables *documentTables, merged *tree) *Document {
	return &Document{
		Config: &Config{
			Accounts:    orEmpty(tables.Accounts),
			DataCentres: orEmpty(tables.DataCentres),
			Groups:      orEmpty(tables.Groups),
			Pools:       orEmpty(tables.Pools),
			Settings:    tables.Settings,
			Upstreams:   orEmpty(tables.Upstreams),
		},
		Processes: orEmpty(tables.Processes),
		merged:    merged,
	}
}

func orEmpty[T any](m map[string]T) map[string]T {
	if m == nil {
		return map[string]T{}
	}
	return m
}

// validate returns the problems of the merged document, except those of values that are known not to decode.
func (d *Document) validate(known []FileProblem) []FileProblem {
	undecoded := map[string]bool{}
	for _, p := range known {
		undecoded[p.Path.String()] = true
	}
	v := newValidator(d.Config)
	v.checkAll()
	v.checkProcesses(d.Processes)
	var problems []FileProblem
	for _, p := range v.sorted() {
		if !undecoded[p.Path.String()] {
			problems = append(problems, FileProblem{Position: d.merged.find(p.Path), Problem: p})
		}
	}
	return problems
}

// isSet reports whether the files have a value at path.
func (d *Document) isSet(path Path) bool {
	t := d.merged
	for _, element := range path {
		if t = t.fields[element]; t == nil {
			return false
		}
	}
	return true
}

// ConfigToPublish returns the configuration to publish in place of current. States that the files do not set keep their
// current value, so that publishing does not bring back capacity that operators took out of service.
func (d *Document) ConfigToPublish(current *Config) *Config {
	target := *d.Config
	target.DataCentres = map[string]DataCentre{}
	for name, dc := range d.Config.DataCentres {
		if old, ok := current.DataCentres[name]; ok && !d.isSet(Path{tableDataCentres, name, "state"}) {
			dc.State = old.State
		}
		target.DataCentres[name] = dc
	}
	target.Upstreams = map[string]Upstream{}
	for name, u := range d.Config.Upstreams {
		if old, ok := current.Upstreams[name]; ok && !d.isSet(Path{tableUpstreams, name, "state"}) {
			u.State = old.State
		}
		target.Upstreams[name] = u
	}
	return &target
}
