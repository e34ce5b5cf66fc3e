package config

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const smallDocument = `{
  "regions": [{"name": "r1"}, {"name": "r2"}],
  "zones": [{"name": "z1", "region": "r1"}],
  "links": [{"from": "r1", "to": "r2", "bits_per_second": 4000000000, "latency": "20ms"}],
  "services": [{"name": "stock", "health_path": "/healthz", "slow_start": "10s"}],
  "backend_servers": [
    {"name": "b1", "service": "stock", "zone": "z1", "address": "127.0.0.1:1", "slots": 3, "connections": 9, "labels": {"tier": "a"}},
    {"name": "b2", "service": "stock", "zone": "z1", "address": "127.0.0.1:2", "slots": 3, "connections": 9}],
  "customers": [{"name": "c1", "rate_per_second": 10, "burst": 20, "weight": 2}],
  "routes": [{"name": "check", "service": "stock", "selector": "tier=a", "methods": ["GET"], "idempotent": true, "access": "keyed", "deadline": "2s", "key_staleness": "6s"}],
  "shifts": [{"name": "s", "route": "check", "from": "tier", "to": "!tier", "fraction": 0.5, "cap_per_second": 4}],
  "sites": [{"name": "site1", "zone": "z1"}],
  "client_blocks": [{"prefix": "10.0.0.0/16", "site": "site1"}, {"prefix": "10.2.0.0/16", "site": "site1"}],
  "policy": {"lookup_max_age": "5s", "max_utilization": 0.9}
}`

// invalidEdit is a replacement in smallDocument that makes it invalid, with the path
// and value of the issue that must be reported.
type invalidEdit struct{ old, new, issuePath, issueValue string }

var invalidEdits = []invalidEdit{
	{`{"name": "r2"}`, `{"name": "r1"}`, "$.regions[1].name", "r1"},
	{`{"name": "r2"}`, `"r2"`, "$.regions[1]", "r2"},
	{`{"name": "r2"}`, `{"name": "r/2"}`, "$.regions[1].name", "r/2"},
	{`{"name": "r2"}`, `{}`, "$.regions[1].name", ""},
	{`"region": "r1"`, `"region": "rx"`, "$.zones[0].region", "rx"},
	{`"from": "r1"`, `"from": "rx"`, "$.links[0].from", "rx"},
	{`"to": "r2"`, `"to": "r1"`, "$.links[0].to", "r1"},
	{`"latency": "20ms"}`, `"latency": "20ms"}, {"from": "r2", "to": "r1", "bits_per_second": 1}`, "$.links[1]", "r2 to r1"},
	{`4000000000`, `0`, "$.links[0].bits_per_second", "0"},
	{`4000000000`, `1.5`, "$.links[0].bits_per_second", "1.5"},
	{`"20ms"`, `"20"`, "$.links[0].latency", "20"},
	{`"20ms"`, `20`, "$.links[0].latency", "20"},
	{`"/healthz"`, `"healthz"`, "$.services[0].health_path", "healthz"},
	{`"slow_start"`, `"slowstart"`, "$.services[0].slowstart", "10s"},
	{`"10s"`, `"-1s"`, "$.services[0].slow_start", "-1s"},
	{`"name": "b2", "service": "stock"`, `"name": "b2", "service": "none"`, "$.backend_servers[1].service", "none"},
	{`"name": "b2", "service": "stock", "zone": "z1"`, `"name": "b2", "service": "stock", "zone": "z9"`, "$.backend_servers[1].zone", "z9"},
	{`127.0.0.1:2`, `127.0.0.1:1`, "$.backend_servers[1].address", "127.0.0.1:1"},
	{`127.0.0.1:2`, `localhost:2`, "$.backend_servers[1].address", "localhost:2"},
	{`"slots": 3`, `"slots": 0`, "$.backend_servers[0].slots", "0"},
	{`"connections": 9`, `"connections": -1`, "$.backend_servers[0].connections", "-1"},
	{`"name": "b1"`, `"name": "b1", "name": "b3"`, "$.backend_servers[0].name", "b3"},
	{`{"tier": "a"}`, `{"tier": "a", "x": "b c"}`, "$.backend_servers[0].labels.x", "b c"},
	{`{"tier": "a"}`, `{"tier": "a", "x.y": 1}`, `$.backend_servers[0].labels["x.y"]`, "1"},
	{`"rate_per_second": 10`, `"rate_per_second": -10`, "$.customers[0].rate_per_second", "-10"},
	{`"burst": 20`, `"burst": 0.5`, "$.customers[0].burst", "0.5"},
	{`"weight": 2`, `"weight": -2`, "$.customers[0].weight", "-2"},
	{`"name": "check", "service": "stock"`, `"name": "check", "service": "none"`, "$.routes[0].service", "none"},
	{`"tier=a"`, `"tier=b"`, "$.routes[0].selector", "tier=b"},
	{`"tier=a"`, `"tier in a"`, "$.routes[0].selector", "tier in a"},
	{`["GET"]`, `["GET", "get"]`, "$.routes[0].methods[1]", "get"},
	{`["GET"]`, `["GET", "GET"]`, "$.routes[0].methods[1]", "GET"},
	{`["GET"]`, `[]`, "$.routes[0].methods", "[]"},
	{`"idempotent": true`, `"idempotent": "yes"`, "$.routes[0].idempotent", "yes"},
	{`"idempotent": true,`, ``, "$.routes[0].idempotent", ""},
	{`"keyed"`, `"closed"`, "$.routes[0].access", "closed"},
	{`"keyed"`, `"open"`, "$.routes[0].key_staleness", "6s"},
	{`"deadline": "2s"`, `"deadline": "0s"`, "$.routes[0].deadline", "0s"},
	{`"6s"`, `"10ms"`, "$.routes[0].key_staleness", "10ms"},
	{`"route": "check"`, `"route": "gone"`, "$.shifts[0].route", "gone"},
	{`"!tier"`, `"tier=c"`, "$.shifts[0].to", "tier=c"},
	{`0.5`, `1.5`, "$.shifts[0].fraction", "1.5"},
	{`"cap_per_second": 4`, `"cap_per_second": -4`, "$.shifts[0].cap_per_second", "-4"},
	{`"site1", "zone": "z1"`, `"site1", "zone": "z2"`, "$.sites[0].zone", "z2"},
	{`10.2.0.0/16`, `10.0.0.0/16`, "$.client_blocks[1].prefix", "10.0.0.0/16"},
	{`10.2.0.0/16`, `10.2.0.1/16`, "$.client_blocks[1].prefix", "10.2.0.1/16"},
	{`10.2.0.0/16`, `10.2.0.0`, "$.client_blocks[1].prefix", "10.2.0.0"},
	{`10.2.0.0/16", "site": "site1"`, `10.2.0.0/16", "site": "site2"`, "$.client_blocks[1].site", "site2"},
	{`"5s"`, `"1ms"`, "$.policy.lookup_max_age", "1ms"},
	{`"max_utilization": 0.9`, `"max_utilization": 9`, "$.policy.max_utilization", "9"},
	{`"regions": [{"name": "r1"}, {"name": "r2"}]`, `"regions": null`, "$.regions", "null"},
	{`"policy"`, `"Policy"`, "$.policy", ""},
	{`"policy"`, `"policy" "x"`, "$", `line 14, column 12: invalid character '"' after object key`},
}

// parseIssues parses an invalid document and returns its issues by path.
func parseIssues(t *testing.T, text string) map[string]Issue {
	t.Helper()
	doc, err := Parse([]byte(text))
	var invalid *ValidationError
	must.True(t, errors.As(err, &invalid), must.Sprintf("got %v", err))
	must.Nil(t, doc)
	byPath := make(map[string]Issue)
	for _, issue := range invalid.Issues {
		must.NotEq(t, "", issue.Allowed)
		must.MapNotContainsKey(t, byPath, issue.Path)
		byPath[issue.Path] = issue
	}
	return byPath
}

// Checks that each mistake is reported with its path and value.
func TestParseReportsPathAndValueOfMistake(t *testing.T) {
	_, err := Parse([]byte(smallDocument))
	must.NoError(t, err)
	for _, m := range invalidEdits {
		t.Run(m.issuePath+"="+m.issueValue, func(t *testing.T) {
			must.StrContains(t, smallDocument, m.old)
			issues := parseIssues(t, strings.Replace(smallDocument, m.old, m.new, 1))
			must.MapContainsKey(t, issues, m.issuePath)
			must.Eq(t, m.issueValue, issues[m.issuePath].Value)
		})
	}
}

// Checks that a client block inside another one is valid: look-ups use the longest
// matching prefix, so that part of a block can have another site.
func TestNestedClientBlocksAreAccepted(t *testing.T) {
	for _, inner := range []string{"10.0.128.0/24", "10.0.0.0/24", "10.0.0.0/8"} {
		_, err := Parse([]byte(strings.Replace(smallDocument, "10.2.0.0/16", inner, 1)))
		must.NoError(t, err, must.Sprintf("block %s", inner))
	}
}

// Checks that all mistakes of a document are reported together, and that a mistake
// causes no issues for the values below it.
func TestParseReportsAllMistakesAtOnce(t *testing.T) {
	wantPaths := []string{"$.zones[0].region", "$.links[0].latency", "$.services[0].slowstart",
		"$.backend_servers[1].address", "$.customers[0].weight", "$.routes[0].idempotent", "$.shifts[0].cap_per_second",
		"$.sites[0].zone", "$.client_blocks[1].prefix", "$.policy.max_utilization"}
	text := smallDocument
	for _, p := range wantPaths {
		m := invalidEdits[slices.IndexFunc(invalidEdits, func(m invalidEdit) bool { return m.issuePath == p })]
		text = strings.Replace(text, m.old, m.new, 1)
	}
	must.Eq(t, slices.Sorted(slices.Values(wantPaths)), slices.Sorted(maps.Keys(parseIssues(t, text))))
	nested := strings.Replace(smallDocument, `"20ms"`, `{"value": ["20ms"]}`, 1)
	must.MapLen(t, 1, parseIssues(t, nested))
}

// Checks that for any input Parse returns either a document or a *ValidationError and
// does not panic.
func TestParseOfDamagedInputReturnsDocumentOrIssues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(smallDocument)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			end := min(len(text), at+rapid.IntRange(0, 9).Draw(t, "length"))
			piece := rapid.SampledFrom([]string{"", "null", "{}", "[", "-1", `"x"`, "1e400", "\x00"}).Draw(t, "piece")
			text = slices.Concat(text[:at], []byte(piece), text[end:])
		}
		doc, err := Parse(text)
		var invalid *ValidationError
		must.True(t, (err == nil) != errors.As(err, &invalid))
		must.Eq(t, err == nil, doc != nil)
	})
}
