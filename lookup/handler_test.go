package lookup

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/problem"
)

// fixedSource is a SnapshotSource that always returns the same snapshot.
type fixedSource struct{ snapshot *Snapshot }

func (s fixedSource) Snapshot() *Snapshot { return s.snapshot }

// testSnapshot returns a snapshot of generation 7 with the given blocks, three regions of
// two zones and two instances per zone, and a maximum age that is not whole seconds.
func testSnapshot(tb testing.TB, blocks []config.ClientBlock) *Snapshot {
	doc := testDocument(2, 2, 2)
	doc.ClientBlocks = blocks
	doc.Policy.LookupMaxAge = config.Duration(5500 * time.Millisecond)
	snapshot, err := NewSnapshot(7, doc, testMembers(doc, 2))
	must.NoError(tb, err)
	return snapshot
}

// Checks the status, headers and body of each kind of response. Callers need a problem
// document with every error, a max-age that is not longer than configured, and a list of
// instances that is not empty.
func TestHandlerResponses(t *testing.T) {
	ready := testSnapshot(t, []config.ClientBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "site-r1z0"}})
	noInstances := ready.WithMembers(testDocument(1), nil)
	cases := []struct {
		name     string
		snapshot *Snapshot
		method   string
		target   string
		status   int
		problem  problem.Type
	}{
		{"answer", ready, "GET", "/v1/lookup?client=10.1.2.3", 200, ""},
		{"zone", ready, "GET", "/v1/lookup?client=10.1.2.3&zone=r2z1", 200, ""},
		{"no client", ready, "GET", "/v1/lookup", 400, problem.TypeBadRequest},
		{"not an address", ready, "GET", "/v1/lookup?client=10.1.2.3/8", 400, problem.TypeBadRequest},
		{"unknown zone", ready, "GET", "/v1/lookup?client=10.1.2.3&zone=x", 400, problem.TypeBadRequest},
		{"method", ready, "POST", "/v1/lookup?client=10.1.2.3", 405, problem.TypeMethodNotAllowed},
		{"no configuration", nil, "GET", "/v1/lookup?client=10.1.2.3", 503, problem.TypeNotReady},
		{"no live instance", noInstances, "GET", "/v1/lookup?client=10.1.2.3", 503, problem.TypeNotReady},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			(&Handler{Source: fixedSource{tc.snapshot}}).ServeHTTP(w, httptest.NewRequest(tc.method, tc.target, nil))
			must.EqOp(t, tc.status, w.Code)
			if tc.problem != "" {
				var p problem.Document
				must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
				must.EqOp(t, tc.problem, p.Type)
				must.EqOp(t, problem.DidNotRun, p.Ran)
				must.EqOp(t, tc.status == http.StatusServiceUnavailable, w.Header().Get("Retry-After") != "")
				must.EqOp(t, "no-store", w.Header().Get("Cache-Control"))
				return
			}
			var answer Answer
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
			must.EqOp(t, "max-age=5", w.Header().Get("Cache-Control"))
			must.EqOp(t, "site-r1z0", answer.Site)
			must.EqOp(t, answer.Zone, answer.Instances[0].Zone)
			must.Len(t, MaxAnswerInstances, answer.Instances)
		})
	}
}

// Checks that answers have the default max-age if the policy sets none, and that answers
// have different versions if the configuration generation or the live instances differ.
func TestSnapshotMaxAgeAndVersion(t *testing.T) {
	doc := testDocument(1)
	members := testMembers(doc, 2)
	first, err := NewSnapshot(1, doc, members)
	must.NoError(t, err)
	must.EqOp(t, config.DefaultLookupMaxAge, first.MaxAge)
	second, err := NewSnapshot(2, doc, members)
	must.NoError(t, err)
	third := second.WithMembers(doc, members[:1])
	query := Query{Client: netip.MustParseAddr("10.0.0.1")}
	versions := make(map[string]bool)
	for _, s := range []*Snapshot{first, second, third, second.WithMembers(doc, members), second.WithMembers(doc, members[1:])} {
		versions[s.Answer(query).Version] = true
	}
	must.MapLen(t, 4, versions)
	must.Len(t, 1, third.Answer(query).Instances)
	doc.ClientBlocks = []config.ClientBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "nowhere"}}
	_, err = NewSnapshot(3, doc, members)
	must.True(t, errors.As(err, new(*UnknownSiteError)))
}

// discardResponse is an http.ResponseWriter that discards the body.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}

func BenchmarkHandler(b *testing.B) {
	runForBlockCounts(b, func(b *testing.B, n int) {
		_, blocks := benchBlocks(n)
		clients := benchClients(blocks)
		for i := range blocks {
			blocks[i].Site = "site-r1z0"
		}
		h := &Handler{Source: fixedSource{testSnapshot(b, blocks)}}
		requests := make([]*http.Request, 1024)
		for i := range requests {
			requests[i] = httptest.NewRequest("GET", "/v1/lookup?client="+clients[i].String(), nil)
		}
		w := discardResponse{header: make(http.Header)}
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			h.ServeHTTP(w, requests[i&1023])
			i++
		}
		reportLookupRate(b)
	})
}

// BenchmarkAppendInstances orders the instances at the target scale: 24 zones in 8
// regions with 408 instances.
func BenchmarkAppendInstances(b *testing.B) {
	doc := testDocument(3, 3, 3, 3, 3, 3, 3, 3)
	view := NewMembershipView(doc, testMembers(doc, 17))
	dst := make([]Instance, 0, MaxAnswerInstances)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		view.AppendInstances(dst, Location{Block: testBlock(i & 0xffff), Zone: "r3z1"})
		i++
	}
	reportLookupRate(b)
}

// BenchmarkNewMembershipView builds the view at the target scale, which happens after
// each change of the membership.
func BenchmarkNewMembershipView(b *testing.B) {
	doc := testDocument(3, 3, 3, 3, 3, 3, 3, 3)
	members := testMembers(doc, 17)
	b.ReportAllocs()
	for b.Loop() {
		NewMembershipView(doc, members)
	}
}
