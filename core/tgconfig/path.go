package tgconfig

import (
	"regexp"
	"strconv"
	"strings"
)

// Path is the path of a value in the configuration: table, entity name, key and, in arrays, an index such as "[2]".
type Path []string

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// String returns p as a dotted TOML key.
func (p Path) String() string {
	var b strings.Builder
	for i, element := range p {
		isIndex := strings.HasPrefix(element, "[")
		if i > 0 && !isIndex {
			b.WriteByte('.')
		}
		if isIndex || bareKey.MatchString(element) {
			b.WriteString(element)
		} else {
			b.WriteString(quote(element))
		}
	}
	return b.String()
}

func (p Path) child(elements ...string) Path {
	return append(p[:len(p):len(p)], elements...)
}

func index(i int) string { return "[" + strconv.Itoa(i) + "]" }
