// Package selector matches the labels of an object against requirements.
//
// A selector is a list of requirements on labels, all of which must hold. It has a
// text form, for example "service=catalogue,tier!=canary,rack in (a,b),!draining".
package selector

import (
	"fmt"
	"sort"
	"strings"
)

// Labels maps the names of the labels of a backend server, customer or route to their
// values.
type Labels map[string]string

// Operator is the comparison that a requirement makes, as written in the text form.
type Operator string

// Operators. Exists and NotExists test only whether there is a label of the name.
const (
	Equals    Operator = "="
	NotEquals Operator = "!="
	In        Operator = "in"
	NotIn     Operator = "notin"
	Exists    Operator = "exists"
	NotExists Operator = "!"
)

// Requirement is a condition on one label.
type Requirement struct {
	Label    string // name of the label
	Operator Operator
	Values   []string // values to compare with; none for Exists and NotExists
}

// Matches reports whether labels satisfy the requirement. As in other label systems,
// an absent label satisfies NotEquals and NotIn.
func (r Requirement) Matches(labels Labels) bool {
	value, present := labels[r.Label]
	switch r.Operator {
	case Exists:
		return present
	case NotExists:
		return !present
	case Equals, In:
		return present && r.hasValue(value)
	case NotEquals, NotIn:
		return !present || !r.hasValue(value)
	default:
		return false
	}
}

func (r Requirement) hasValue(value string) bool {
	for _, v := range r.Values {
		if v == value {
			return true
		}
	}
	return false
}

// String returns the text form of the requirement.
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

// And returns a selector that matches labels if all the given selectors match them.
func And(selectors ...Selector) Selector {
	var combined Selector
	for _, s := range selectors {
		combined.requirements = append(combined.requirements, s.requirements...)
	}
	return combined
}

// String returns the text form of the selector.
func (s Selector) String() string {
	parts := make([]string, len(s.requirements))
	for i, r := range s.requirements {
		parts[i] = r.String()
	}
	return strings.Join(parts, ",")
}

// SyntaxError reports text that is not the text form of a selector.
type SyntaxError struct {
	Selector    string // the whole text
	Requirement string // the requirement that is invalid
	Reason      string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("selector %q: %q: %s", e.Selector, e.Requirement, e.Reason)
}

// Parse parses the text form of a selector. It returns *SyntaxError.
func Parse(text string) (Selector, error) {
	var s Selector
	for _, part := range splitRequirements(text) {
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

// splitRequirements splits text at the commas outside parentheses.
func splitRequirements(text string) []string {
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

// parseRequirement parses the text form of a requirement. It returns the reason if the
// text is invalid.
func parseRequirement(text string) (Requirement, string) {
	if label, ok := strings.CutPrefix(text, "!"); ok {
		return validated(Requirement{Label: strings.TrimSpace(label), Operator: NotExists})
	}
	if label, value, ok := strings.Cut(text, "!="); ok {
		return parseComparison(label, NotEquals, value)
	}
	if label, value, ok := strings.Cut(text, "="); ok {
		return parseComparison(label, Equals, value)
	}
	if label, list, ok := strings.Cut(text, " notin "); ok {
		return parseListRequirement(label, NotIn, list)
	}
	if label, list, ok := strings.Cut(text, " in "); ok {
		return parseListRequirement(label, In, list)
	}
	return validated(Requirement{Label: text, Operator: Exists})
}

// parseComparison returns a requirement that compares a label with one value.
func parseComparison(label string, op Operator, value string) (Requirement, string) {
	return validated(Requirement{
		Label:    strings.TrimSpace(label),
		Operator: op,
		Values:   []string{strings.TrimSpace(value)},
	})
}

// parseListRequirement returns a requirement that compares a label with a list of
// values such as "(a,b)".
func parseListRequirement(label string, op Operator, list string) (Requirement, string) {
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
	return validated(r)
}

// validated returns r, or the reason why its label or one of its values is invalid.
func validated(r Requirement) (Requirement, string) {
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

// ValidName reports whether s can be the name or the value of a label.
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
