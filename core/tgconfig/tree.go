package tgconfig

import (
	"bytes"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is the content of a configuration file.
type File struct {
	Data []byte
	Name string // used in error messages
}

// tree is a TOML value with its position. Depending on kind, exactly one of fields, items and text is used.
type tree struct {
	at     Position
	fields map[string]*tree
	items  []*tree
	keyAt  Position // position of the key or header that defines the value
	kind   unstable.Kind
	origin origin // for tables and arrays
	text   string // for plain values
}

// origin is the syntax that defined a table or array; TOML allows additions only by the same syntax.
type origin int

const (
	byHeader        origin = iota + 1 // [a], or [[a]] for an array
	byHeaderOfChild                   // [a.b] defines a; [a] may follow once
	byDottedKey                       // a.b = 1 defines a
	byValue                           // inline table or array value
)

func newTable(at Position, o origin) *tree {
	return &tree{at: at, fields: map[string]*tree{}, keyAt: at, kind: unstable.Table, origin: o}
}

// treeParser builds the tree of one file and collects all its problems.
type treeParser struct {
	file     File
	lines    []int // offset of the start of each line
	offset   int   // start of the parser's input within the file
	parser   unstable.Parser
	problems []FileProblem
	root     *tree
}

// parseTree parses file and returns its tree and all syntax errors and duplicate keys.
func parseTree(file File) (*tree, []FileProblem) {
	p := &treeParser{file: file, lines: []int{0}, root: newTable(Position{File: file.Name}, byHeader)}
	for i, c := range file.Data {
		if c == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	for p.offset < len(file.Data) && p.parse() {
	}
	return p.root, p.problems
}

// parse parses expressions up to the first syntax error and moves the offset to the next table header after it. It
// reports whether there is such a header, where parsing can go on.
func (p *treeParser) parse() bool {
	rest := p.file.Data[p.offset:]
	p.parser.Reset(rest)
	current, path := p.root, Path{}
	for p.parser.NextExpression() {
		e := p.parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			p.keyValue(current, path, e)
		case unstable.Table, unstable.ArrayTable:
			current, path = p.header(e)
		default: // comments
		}
	}
	err := p.parser.Error()
	if err == nil {
		return false
	}
	at, reason := len(rest), err.Error()
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) {
		reason = parserError.Message
		if len(parserError.Highlight) > 0 {
			at = int(p.parser.Range(parserError.Highlight).Offset)
		}
	}
	p.add(p.position(at), path, "syntax error: "+reason)
	next := bytes.Index(rest[min(at, len(rest)):], []byte("\n["))
	p.offset += at + next + 1
	return next >= 0
}

func (p *treeParser) add(at Position, path Path, reason string) {
	p.problems = append(p.problems, FileProblem{Position: at, Problem: Problem{Path: path, Reason: reason}})
}

// position returns the position in the file of an offset within the parser's input.
func (p *treeParser) position(offset int) Position {
	offset += p.offset
	line := sort.SearchInts(p.lines, offset+1)
	return Position{File: p.file.Name, Line: line, Column: offset - p.lines[line-1] + 1}
}

// header returns the table that a header defines or extends, and its path.
func (p *treeParser) header(e *unstable.Node) (*tree, Path) {
	keys := p.keys(e.Key())
	parent, path := p.root, Path{}
	for _, k := range keys[:len(keys)-1] {
		parent, path = p.headerChild(parent, path, k)
	}
	last := keys[len(keys)-1]
	path = path.child(last.name)
	child := parent.fields[last.name]
	if e.Kind == unstable.ArrayTable {
		element := newTable(last.at, byHeader)
		switch {
		case child == nil:
			child = &tree{at: last.at, keyAt: last.at, kind: unstable.Array, origin: byHeader}
			parent.fields[last.name] = child
		case child.kind != unstable.Array || child.origin != byHeader:
			p.add(last.at, path, "key is defined twice, once as an array of tables")
			return element, path
		}
		child.items = append(child.items, element)
		return element, path.child(index(len(child.items) - 1))
	}
	switch {
	case child == nil:
		child = newTable(last.at, byHeader)
		parent.fields[last.name] = child
	case child.kind == unstable.Table && child.origin == byHeaderOfChild:
		child.origin = byHeader
	default:
		p.add(last.at, path, "table is defined twice")
		child = newTable(last.at, byHeader) // separate, so that its keys do not count as duplicates of the first table's
	}
	return child, path
}

// headerChild returns the table of the key k in parent, as a step on the path of a header.
func (p *treeParser) headerChild(parent *tree, path Path, k treeKey) (*tree, Path) {
	path = path.child(k.name)
	child := parent.fields[k.name]
	switch {
	case child == nil:
		child = newTable(k.at, byHeaderOfChild)
		parent.fields[k.name] = child
	case child.kind == unstable.Array && child.origin == byHeader:
		path = path.child(index(len(child.items) - 1))
		child = child.items[len(child.items)-1]
	case child.kind != unstable.Table || child.origin == byValue:
		p.add(k.at, path, "key is defined twice, as a value and as a table")
		child = newTable(k.at, byHeaderOfChild)
	}
	return child, path
}

func (p *treeParser) keyValue(table *tree, path Path, e *unstable.Node) {
	keys := p.keys(e.Key())
	for _, k := range keys[:len(keys)-1] {
		path = path.child(k.name)
		child := table.fields[k.name]
		if child == nil {
			child = newTable(k.at, byDottedKey)
			table.fields[k.name] = child
		}
		if child.kind != unstable.Table || child.origin != byDottedKey {
			p.add(k.at, path, "key is defined twice, here as part of a dotted key")
			child = newTable(k.at, byDottedKey)
		}
		table = child
	}
	last := keys[len(keys)-1]
	path = path.child(last.name)
	if _, ok := table.fields[last.name]; ok {
		p.add(last.at, path, "key is defined twice")
		return
	}
	field := p.value(e.Value(), path, last.at)
	field.keyAt = last.at
	table.fields[last.name] = field
}

func (p *treeParser) value(n *unstable.Node, path Path, at Position) *tree {
	if n.Raw.Length > 0 {
		at = p.position(int(n.Raw.Offset))
	}
	switch n.Kind {
	case unstable.Array:
		t := &tree{at: at, kind: unstable.Array, origin: byValue}
		it := n.Children()
		for it.Next() {
			if it.Node().Kind != unstable.Comment {
				t.items = append(t.items, p.value(it.Node(), path.child(index(len(t.items))), at))
			}
		}
		return t
	case unstable.InlineTable:
		t := newTable(at, byValue)
		it := n.Children()
		for it.Next() {
			if it.Node().Kind == unstable.KeyValue {
				p.keyValue(t, path, it.Node())
			}
		}
		return t
	default:
		return &tree{at: at, kind: n.Kind, text: string(n.Data)}
	}
}

// treeKey is one element of a dotted key.
type treeKey struct {
	at   Position
	name string
}

func (p *treeParser) keys(it unstable.Iterator) []treeKey {
	var keys []treeKey
	for it.Next() {
		n := it.Node()
		keys = append(keys, treeKey{at: p.position(int(n.Raw.Offset)), name: string(n.Data)})
	}
	return keys
}
