package config

import (
	"strconv"
	"strings"
)

// path is a position in a JSON document. It is rendered only when an issue is
// reported, because a document can hold hundreds of thousands of client blocks.
type path struct {
	parent *path
	field  string
	index  int // of a list element; fieldIndex for a field
}

// fieldIndex marks the path of a field.
const fieldIndex = -1

// root is the path of the document itself.
var root *path

// at returns the path of a named field below p.
func (p *path) at(field string) *path {
	return &path{parent: p, field: field, index: fieldIndex}
}

// item returns the path of a list element below p.
func (p *path) item(index int) *path { return &path{parent: p, index: index} }

// String returns the path in the form $.routes[2].service. A field name with
// other characters than letters, digits and '_' is quoted, as in $.labels["a.b"].
func (p *path) String() string {
	if p == nil {
		return "$"
	}
	if p.index != fieldIndex {
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	return p.parent.String() + fieldStep(p.field)
}

func fieldStep(name string) string {
	if name == "" || strings.ContainsFunc(name, needsQuotes) {
		return "[" + strconv.Quote(name) + "]"
	}
	return "." + name
}

func needsQuotes(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
		return false
	default:
		return true
	}
}
