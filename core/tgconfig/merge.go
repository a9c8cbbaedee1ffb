package tgconfig

import "github.com/pelletier/go-toml/v2/unstable"

// merge merges overlay into base key by key; arrays and plain values are replaced as a whole. An overlay must not change
// a value that another overlay has set, since the order of overlays has no meaning.
func merge(base, overlay *tree, baseFile string, path Path) []FileProblem {
	var problems []FileProblem
	for _, key := range sortedKeys(overlay.fields) {
		next := overlay.fields[key]
		old, ok := base.fields[key]
		switch {
		case !ok:
			base.fields[key] = next
		case old.kind == unstable.Table && next.kind == unstable.Table:
			problems = append(problems, merge(old, next, baseFile, path.child(key))...)
		case old.at.File == baseFile || old.equal(next):
			base.fields[key] = next
		default:
			problems = append(problems, FileProblem{
				Position: next.at,
				Problem:  Problem{Path: path.child(key), Reason: "another overlay has a different value at " + old.at.String()},
			})
		}
	}
	return problems
}

func (t *tree) clone() *tree {
	c := *t
	if t.fields != nil {
		c.fields = make(map[string]*tree, len(t.fields))
		for key, field := range t.fields {
			c.fields[key] = field.clone()
		}
	}
	return &c
}

func (t *tree) equal(u *tree) bool {
	if t.kind != u.kind || t.text != u.text || len(t.items) != len(u.items) || len(t.fields) != len(u.fields) {
		return false
	}
	for i := range t.items {
		if !t.items[i].equal(u.items[i]) {
			return false
		}
	}
	for key, field := range t.fields {
		other, ok := u.fields[key]
		if !ok || !field.equal(other) {
			return false
		}
	}
	return true
}

// find returns the position of path, or of its longest prefix that the files contain.
func (t *tree) find(path Path) Position {
	at := t.at
	for _, element := range path {
		next := t.fields[element]
		for i, item := range t.items {
			if index(i) == element {
				next = item
			}
		}
		if next == nil {
			break
		}
		t, at = next, next.at
	}
	return at
}
