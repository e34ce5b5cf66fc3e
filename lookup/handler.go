package lookup

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/jacinthrack/jacinthrack/problem"
)

// EndpointPath is the URL path of the look-up endpoint.
const EndpointPath = "/v1/lookup"

// Names of the query parameters of the look-up endpoint.
const (
	// ParamClient is the IP address of the client. It is required.
	ParamClient = "client"
	// ParamZone is the availability zone of the caller. It is optional.
	ParamZone = "zone"
)

// notReadyRetryAfter is the Retry-After of an entry instance that has no
// configuration yet or knows no live instance.
const notReadyRetryAfter = time.Second

// SnapshotSource provides the snapshot that look-ups are answered from.
type SnapshotSource interface {
	// Snapshot returns the current snapshot, or nil as long as no configuration
	// has been applied.
	Snapshot() *Snapshot
}

// Answer is the response body of a successful look-up.
type Answer struct {
	// Version identifies the configuration generation and the set of live
	// instances. Callers may compare it for equality only.
	Version string `json:"version"`
	// Site is the site of the client block, empty if no block contains the
	// client.
	Site string `json:"site,omitempty"`
	// Block is the client block, or an implicit one if no block contains the
	// client. All clients of a block get the same answer.
	Block netip.Prefix `json:"block"`
	// Zone is the starting zone: the availability zone whose instances come
	// first.
	Zone string `json:"zone,omitempty"`
	// Instances are the entry instances to use, in order of preference.
	Instances []Instance `json:"instances"`
}

// Handler answers GET /v1/lookup?client=IP[&zone=Z]. Errors are problem
// documents.
type Handler struct{ Source SnapshotSource }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, maxAge, p := h.answer(r)
	if p != nil {
		if p.Status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", "GET, HEAD")
		}
		p.Write(w)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		problem.New(problem.TypeInternal, http.StatusInternalServerError, problem.DidNotRun, "encode the answer: %v", err).Write(w)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "max-age="+strconv.Itoa(int(maxAge/time.Second)))
	// A write error means that the caller has disconnected, so the error cannot
	// be reported to it.
	_, _ = w.Write(body)
}

// answer returns the answer to a request and how long the caller may cache it, or a
// problem document.
func (h *Handler) answer(r *http.Request) (*Answer, time.Duration, *problem.Document) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return nil, 0, problem.New(problem.TypeMethodNotAllowed, http.StatusMethodNotAllowed, problem.DidNotRun, "method %s is not allowed, want GET or HEAD", r.Method)
	}
	snapshot := h.Source.Snapshot()
	if snapshot == nil {
		return nil, 0, notReadyProblem("no configuration is in force yet")
	}
	query, p := parseQuery(r, snapshot.Membership)
	if p != nil {
		return nil, 0, p
	}
	answer := snapshot.Answer(query)
	if len(answer.Instances) == 0 {
		return nil, 0, notReadyProblem("no live entry instance is known")
	}
	return answer, snapshot.MaxAge, nil
}

func notReadyProblem(detail string) *problem.Document {
	return problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "%s", detail).WithRetryAfter(notReadyRetryAfter)
}

// parseQuery returns the query of a request, or a problem document if the client is
// not an IP address or the zone is unknown in v.
func parseQuery(r *http.Request, v *MembershipView) (Query, *problem.Document) {
	values := r.URL.Query()
	client, err := netip.ParseAddr(values.Get(ParamClient))
	if err != nil {
		return Query{}, badRequestProblem("query parameter %q is %q, want an IP address", ParamClient, values.Get(ParamClient))
	}
	zone := values.Get(ParamZone)
	if zone != "" && !v.HasZone(zone) {
		return Query{}, badRequestProblem("query parameter %q is %q, which is not an availability zone", ParamZone, zone)
	}
	return Query{Client: client, Zone: zone}, nil
}

func badRequestProblem(format string, args ...any) *problem.Document {
	return problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, format, args...)
}
