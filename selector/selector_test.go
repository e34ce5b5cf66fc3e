package selector

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

// Checks which labels each operator matches, and that the text form of a parsed
// selector can be parsed again. A mistake here sends requests to wrong backend servers.
func TestMatches(t *testing.T) {
	labels := Labels{"service": "catalogue", "tier": "stable", "rack": "b"}
	cases := []struct {
		text string
		want bool
	}{
		{"", true},
		{"service=catalogue", true},
		{"service=orders", false},
		{"service=catalogue,tier!=canary", true},
		{"rack in (a, b)", true},
		{"rack notin (a,b)", false},
		{"zone notin (a)", true},
		{"zone!=a", true},
		{"tier", true},
		{"!tier", false},
		{"!draining", true},
		{"zone=a", false},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			s, err := Parse(c.text)
			must.NoError(t, err)
			must.Eq(t, c.want, s.Matches(labels))
			reparsed, err := Parse(s.String())
			must.NoError(t, err)
			must.Eq(t, s.String(), reparsed.String())
		})
	}
}

// A selector with a syntax error must be rejected instead of matching everything.
func TestParseRejectsInvalidText(t *testing.T) {
	for _, text := range []string{",", "a=b,", "a in b", "a=", "=b", "a b", "a in (b,)"} {
		_, err := Parse(text)
		var syntax *SyntaxError
		must.True(t, errors.As(err, &syntax), must.Sprintf("text %q", text))
	}
}
