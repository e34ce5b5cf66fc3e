package config

import (
	"fmt"
	"strings"
)

// Issue is one mistake in a document.
type Issue struct {
	Path    string `json:"path"`    // JSON path, for example $.routes[2].service
	Value   string `json:"value"`   // the value found, truncated; empty when it is missing
	Allowed string `json:"allowed"` // description of the allowed values
}

// String returns the issue as one line.
func (i Issue) String() string {
	return fmt.Sprintf("%s: value %q is not allowed, want %s", i.Path, i.Value, i.Allowed)
}

// ValidationError reports every mistake found in a document.
type ValidationError struct{ Issues []Issue }

// maxIssuesInText is the maximum number of issues in the text of a ValidationError.
// Its field Issues contains all of them.
const maxIssuesInText = 50

// Error returns the number of issues and lists them, one per line.
func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration has %d issues", len(e.Issues))
	for i, issue := range e.Issues {
		if i == maxIssuesInText {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Issues)-i)
			break
		}
		b.WriteString("\n  " + issue.String())
	}
	return b.String()
}

// maxIssueValueBytes is the maximum length of Issue.Value in bytes, without the
// ellipsis.
const maxIssueValueBytes = 80

// truncateValue shortens s to maxIssueValueBytes and an ellipsis.
func truncateValue(s string) string {
	if len(s) <= maxIssueValueBytes {
		return s
	}
	return s[:maxIssueValueBytes] + "..."
}

// issueCollector collects the mistakes of one document. It drops an issue at or below
// a path that was already reported, because the value there could not be read.
type issueCollector struct {
	issues        []Issue
	reportedPaths map[string]bool
}

// add records that the value at p is not allowed.
func (s *issueCollector) add(p *path, value any, allowed string) {
	if s.reportedPaths == nil {
		s.reportedPaths = make(map[string]bool)
	}
	for ancestor := p; ancestor != nil; ancestor = ancestor.parent {
		if s.reportedPaths[ancestor.String()] {
			return
		}
	}
	text := p.String()
	s.reportedPaths[text] = true
	s.issues = append(s.issues, Issue{Path: text, Value: truncateValue(fmt.Sprint(value)), Allowed: allowed})
}

// err returns a *ValidationError with the issues, or nil when there are none.
func (s *issueCollector) err() error {
	if len(s.issues) == 0 {
		return nil
	}
	return &ValidationError{Issues: s.issues}
}
