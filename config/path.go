package config

import (
	"strconv"
	"strings"
)

// path is the position of a value in a JSON document. It is formatted only when an
// issue is reported, because a document can contain hundreds of thousands of client
// blocks.
type path struct {
	parent *path
	name   string // of a field; unused for a list element
	index  int    // of a list element; notAnElement for a field
}

// notAnElement is the index in the path of a field.
const notAnElement = -1

// rootPath is the path of the document itself.
var rootPath *path

// field returns the path of the field with the name in the object at p.
func (p *path) field(name string) *path {
	return &path{parent: p, name: name, index: notAnElement}
}

// element returns the path of an element of the list at p.
func (p *path) element(index int) *path { return &path{parent: p, index: index} }

// String returns the path in the form $.routes[2].service. A field name that contains
// characters other than letters, digits and '_' is quoted, as in $.labels["a.b"].
func (p *path) String() string {
	if p == nil {
		return "$"
	}
	if p.index != notAnElement {
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	return p.parent.String() + fieldSuffix(p.name)
}

// fieldSuffix returns the text that a field adds to the path of its object.
func fieldSuffix(name string) string {
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
