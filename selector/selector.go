// Package selector matches labels.
//
// A selector is a list of requirements that must all hold. It has a short text
// form, for example "service=catalogue,tier!=canary,rack in (a,b),!draining".
package selector

import (
	"fmt"
	"sort"
	"strings"
)

// Labels are the names and values attached to a backend server, customer or route.
type Labels map[string]string

// Operator is the comparison of a requirement.
type Operator string

// Operators.
const (
	Equals    Operator = "="
	NotEquals Operator = "!="
	In        Operator = "in"
	NotIn     Operator = "notin"
	Exists    Operator = "exists"
	NotExists Operator = "!"
)

// Requirement is one condition on one label.
type Requirement struct {
	Label    string
	Operator Operator
	Values   []string
}

// Matches reports whether labels satisfy the requirement. As in other label
// systems, NotEquals and NotIn hold for an absent label.
func (r Requirement) Matches(labels Labels) bool {
	value, present := labels[r.Label]
	switch r.Operator {
	case Exists:
		return present
	case NotExists:
		return !present
	case Equals, In:
		return present && r.has(value)
	case NotEquals, NotIn:
		return !present || !r.has(value)
	default:
		return false
	}
}

func (r Requirement) has(value string) bool {
	for _, v := range r.Values {
		if v == value {
			return true
		}
	}
	return false
}

// String returns the text form.
func (r Requirement) String() string {
	switch r.Operator {
	case Exists:
		return r.Label
	case NotExists:
		return "!" + r.Label
	case In, NotIn:
		return fmt.Sprintf("%s %s (%s)", r.Label, r.Operator, strings.Join(r.Values, ","))
	default:
		return r.Label + string(r.Operator) + r.Values[0]
	}
}

// Selector matches labels that satisfy every requirement. The zero value matches
// everything.
type Selector struct{ requirements []Requirement }

// Matches reports whether labels satisfy the selector.
func (s Selector) Matches(labels Labels) bool {
	for _, r := range s.requirements {
		if !r.Matches(labels) {
			return false
		}
	}
	return true
}

// And returns the selector that matches what every one of selectors matches.
func And(selectors ...Selector) Selector {
	var all Selector
	for _, s := range selectors {
		all.requirements = append(all.requirements, s.requirements...)
	}
	return all
}

// String returns the text form.
func (s Selector) String() string {
	parts := make([]string, len(s.requirements))
	for i, r := range s.requirements {
		parts[i] = r.String()
	}
	return strings.Join(parts, ",")
}

// SyntaxError reports text that is not a selector.
type SyntaxError struct {
	Selector   string
	Requirement   string
	Reason string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("selector %q: %q: %s", e.Selector, e.Requirement, e.Reason)
}

// Parse returns the selector with the text form text, or a *SyntaxError.
func Parse(text string) (Selector, error) {
	var s Selector
	for _, part := range split(text) {
		part = strings.TrimSpace(part)
		if part == "" {
			if strings.TrimSpace(text) == "" {
				return s, nil
			}
			return Selector{}, &SyntaxError{Selector: text, Requirement: part, Reason: "empty requirement"}
		}
		r, reason := parseRequirement(part)
		if reason != "" {
			return Selector{}, &SyntaxError{Selector: text, Requirement: part, Reason: reason}
		}
		s.requirements = append(s.requirements, r)
	}
	return s, nil
}

// split cuts text at commas outside parentheses.
func split(text string) []string {
	var parts []string
	depth, start := 0, 0
	for i, c := range text {
		switch c {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, text[start:i])
				start = i + 1
			}
		}
	}
	return append(parts, text[start:])
}

// parseRequirement returns a requirement, or the reason why part is not one.
func parseRequirement(part string) (Requirement, string) {
	if label, ok := strings.CutPrefix(part, "!"); ok {
		return checked(Requirement{Label: strings.TrimSpace(label), Operator: NotExists})
	}
	if label, value, ok := strings.Cut(part, "!="); ok {
		return comparison(label, NotEquals, value)
	}
	if label, value, ok := strings.Cut(part, "="); ok {
		return comparison(label, Equals, value)
	}
	if label, list, ok := strings.Cut(part, " notin "); ok {
		return membership(label, NotIn, list)
	}
	if label, list, ok := strings.Cut(part, " in "); ok {
		return membership(label, In, list)
	}
	return checked(Requirement{Label: part, Operator: Exists})
}

func comparison(label string, op Operator, value string) (Requirement, string) {
	return checked(Requirement{
		Label:    strings.TrimSpace(label),
		Operator: op,
		Values:   []string{strings.TrimSpace(value)},
	})
}

func membership(label string, op Operator, list string) (Requirement, string) {
	list = strings.TrimSpace(list)
	inner, opened := strings.CutPrefix(list, "(")
	inner, closed := strings.CutSuffix(inner, ")")
	if !opened || !closed {
		return Requirement{}, "want a list such as (a,b)"
	}
	r := Requirement{Label: strings.TrimSpace(label), Operator: op}
	for _, v := range strings.Split(inner, ",") {
		r.Values = append(r.Values, strings.TrimSpace(v))
	}
	sort.Strings(r.Values)
	return checked(r)
}

func checked(r Requirement) (Requirement, string) {
	if !ValidName(r.Label) {
		return Requirement{}, "label names use letters, digits, '.', '_', '-' and '/'"
	}
	for _, v := range r.Values {
		if !ValidName(v) {
			return Requirement{}, "label values use letters, digits, '.', '_', '-' and '/'"
		}
	}
	return r, ""
}

// ValidName reports whether s can be a label name or value.
func ValidName(s string) bool {
	if s == "" {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '_', c == '-', c == '/':
		default:
			return false
		}
	}
	return true
}

// MarshalText implements encoding.TextMarshaler.
func (s Selector) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a *SyntaxError.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}
