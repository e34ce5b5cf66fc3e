package config

import (
	"fmt"
	"strings"
)

// Issue is one mistake in a document.
type Issue struct {
	Path    string `json:"path"`    // JSON path, for example $.routes[2].service
	Value   string `json:"value"`   // the value found, shortened; empty when it is missing
	Allowed string `json:"allowed"` // what is allowed there
}

// String returns the issue as one line.
func (i Issue) String() string {
	return fmt.Sprintf("%s: value %q is not allowed, want %s", i.Path, i.Value, i.Allowed)
}

// ValidationError reports every mistake found in a document.
type ValidationError struct{ Issues []Issue }

// maxIssuesShown bounds the text of a ValidationError. Issues holds them all.
const maxIssuesShown = 50

// Error lists the issues, one a line.
func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration has %d issues", len(e.Issues))
	for i, issue := range e.Issues {
		if i == maxIssuesShown {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Issues)-i)
			break
		}
		b.WriteString("\n  " + issue.String())
	}
	return b.String()
}

// maxValueBytes bounds a value in an issue.
const maxValueBytes = 80

// shorten cuts s to maxValueBytes.
func shorten(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return s[:maxValueBytes] + "..."
}

// issues collects the mistakes of one document. A position below one that was
// already reported is left out, because its value could not be read.
type issues struct {
	list     []Issue
	reported map[string]bool
}

// add reports a value at p.
func (s *issues) add(p *path, value any, allowed string) {
	if s.reported == nil {
		s.reported = make(map[string]bool)
	}
	for at := p; at != nil; at = at.parent {
		if s.reported[at.String()] {
			return
		}
	}
	text := p.String()
	s.reported[text] = true
	s.list = append(s.list, Issue{Path: text, Value: shorten(fmt.Sprint(value)), Allowed: allowed})
}

// err returns a *ValidationError when there are issues.
func (s *issues) err() error {
	if len(s.list) == 0 {
		return nil
	}
	return &ValidationError{Issues: s.list}
}
