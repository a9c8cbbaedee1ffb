package tgconfig

import (
	"bytes"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is the content of a configuration file.
type File struct {
	Data []byte
	Name string // used in error messages
}

// tree is a TOML value with its position; exactly one of fields, items and text is meaningful, depending on kind.
type tree struct {
	at     Position
	closed bool // an inline table or a table whose header was read; it cannot be defined again
	fields map[string]*tree
	items  []*tree
	keyAt  Position // of the key or header that defines the value
	kind   unstable.Kind
	text   string
}

func newTable(at Position) *tree {
	return &tree{at: at, fields: map[string]*tree{}, keyAt: at, kind: unstable.Table}
}

// treeParser builds the tree of one file and collects all its problems.
type treeParser struct {
	file     File
	lines    []int // offsets of line starts
	offset   int   // of the parser's input in the file
	parser   unstable.Parser
	problems []FileProblem
	root     *tree
}

// parseTree returns the tree of file with all syntax errors and duplicate keys.
func parseTree(file File) (*tree, []FileProblem) {
	p := &treeParser{file: file, lines: []int{0}, root: newTable(Position{File: file.Name})}
	for i, c := range file.Data {
		if c == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	for p.offset < len(file.Data) && p.parse() {
	}
	if len(p.problems) == 0 {
		p.crossCheck()
	}
	return p.root, p.problems
}

// parse reads expressions up to the first syntax error and moves the offset to the next table header.
// It reports whether there is one.
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

// crossCheck reports what the decoder of go-toml refuses and this parser does not, such as redefined tables.
func (p *treeParser) crossCheck() {
	var ignored map[string]any
	err := toml.Unmarshal(p.file.Data, &ignored)
	if err == nil {
		return
	}
	at := Position{File: p.file.Name}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		at.Line, at.Column = decodeError.Position()
	}
	p.add(at, nil, strings.TrimPrefix(err.Error(), "toml: "))
}

func (p *treeParser) add(at Position, path Path, reason string) {
	p.problems = append(p.problems, FileProblem{Position: at, Problem: Problem{Path: path, Reason: reason}})
}

// position returns the place of an offset within the parser's input.
func (p *treeParser) position(offset int) Position {
	offset += p.offset
	line := sort.SearchInts(p.lines, offset+1)
	return Position{File: p.file.Name, Line: line, Column: offset - p.lines[line-1] + 1}
}

// header opens the table of a header and returns it with its path.
func (p *treeParser) header(e *unstable.Node) (*tree, Path) {
	keys := p.keys(e.Key())
	parent, path := p.descend(p.root, nil, keys[:len(keys)-1])
	last := keys[len(keys)-1]
	path = path.child(last.name)
	child := parent.fields[last.name]
	if e.Kind == unstable.ArrayTable {
		if child == nil {
			child = &tree{at: last.at, keyAt: last.at, kind: unstable.Array}
			parent.fields[last.name] = child
		}
		element := newTable(last.at)
		child.items = append(child.items, element)
		return element, path.child(index(len(child.items) - 1))
	}
	if child == nil {
		child = newTable(last.at)
		parent.fields[last.name] = child
	}
	if child.closed || child.kind != unstable.Table {
		p.add(last.at, path, "table is defined twice")
		child = newTable(last.at) // its keys are not duplicates of the first table's
	}
	child.closed = true
	return child, path
}

func (p *treeParser) keyValue(table *tree, path Path, e *unstable.Node) {
	keys := p.keys(e.Key())
	table, path = p.descend(table, path, keys[:len(keys)-1])
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

// descend returns the table under keys, making those that are missing.
func (p *treeParser) descend(table *tree, path Path, keys []treeKey) (*tree, Path) {
	for _, k := range keys {
		path = path.child(k.name)
		child := table.fields[k.name]
		if child != nil && child.kind == unstable.Array && len(child.items) > 0 {
			child = child.items[len(child.items)-1]
			path = path.child(index(len(table.fields[k.name].items) - 1))
		}
		if child == nil {
			child = newTable(k.at)
			table.fields[k.name] = child
		}
		if child.kind != unstable.Table {
			p.add(k.at, path, "key is defined twice, as a value and as a table")
			child = newTable(k.at)
		}
		table = child
	}
	return table, path
}

func (p *treeParser) value(n *unstable.Node, path Path, at Position) *tree {
	if n.Raw.Length > 0 {
		at = p.position(int(n.Raw.Offset))
	}
	switch n.Kind {
	case unstable.Array:
		t := &tree{at: at, kind: unstable.Array}
		it := n.Children()
		for it.Next() {
			if it.Node().Kind != unstable.Comment {
				t.items = append(t.items, p.value(it.Node(), path.child(index(len(t.items))), at))
			}
		}
		return t
	case unstable.InlineTable:
		t := newTable(at)
		it := n.Children()
		for it.Next() {
			if it.Node().Kind == unstable.KeyValue {
				p.keyValue(t, path, it.Node())
			}
		}
		t.closed = true
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
