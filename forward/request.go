package forward

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/problem"
)

// exchange is the state of one request while it is served.
type exchange struct {
	id       string
	start    time.Time
	route    *config.Route
	customer string
	key      string // presented key; never logged
	path     string // path and query for the backend server
	body     *requestBody
	claim    Claim
	// fingerprint identifies the work, from when the body was read.
	fingerprint uint64
	sent        bool // bytes of some attempt may have reached a backend server
	tried       []string
}

// ran returns what a refusal may say about the request.
func (x *exchange) ran() problem.Ran {
	if x.sent {
		return problem.RanUnknown
	}
	return problem.RanNo
}

func (x *exchange) weight(index *config.Index) float64 {
	customer, ok := index.Customer(x.customer)
	if !ok {
		return 1 // a request on a route open to all
	}
	return customer.EffectiveWeight()
}

// fingerprint identifies requests that are the same work for a backend server.
// The body is left out when it is streamed.
func fingerprint(r *http.Request, x *exchange) uint64 {
	h := xxhash.New()
	for _, part := range []string{x.route.Name, r.Method, x.path, x.customer} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body.held)
	return h.Sum64()
}

func newRequestID() string {
	var b [12]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// resolve finds the route of a request.
func resolve(index *config.Index, r *http.Request) (*exchange, *problem.Document) {
	x := &exchange{id: newRequestID(), start: time.Now(), body: &requestBody{}}
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), PathPrefix)
	if !ok {
		return x, problem.New(problem.TypeRouteUnknown, http.StatusNotFound, problem.RanNo, "path must start with %s{route}/", PathPrefix)
	}
	name, path, _ := strings.Cut(rest, "/")
	route, ok := index.Route(name)
	if !ok {
		return x, problem.New(problem.TypeRouteUnknown, http.StatusNotFound, problem.RanNo, "route %q does not exist", name)
	}
	x.route = &route
	if !slices.Contains(x.route.Methods, r.Method) {
		return x, problem.New(problem.TypeMethodNotAllowed, http.StatusMethodNotAllowed, problem.RanNo, "route %q allows %s", name, strings.Join(x.route.Methods, ", "))
	}
	x.path = "/" + path
	if r.URL.RawQuery != "" {
		x.path += "?" + r.URL.RawQuery
	}
	x.key = r.Header.Get(HeaderKey)
	return x, nil
}

// withDeadline bounds the request by the route's deadline and the caller's.
func withDeadline(ctx context.Context, route *config.Route, header http.Header) (context.Context, context.CancelFunc, *problem.Document) {
	timeout := route.Deadline.Std()
	text := header.Get(HeaderTimeout)
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return ctx, func() {}, problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.RanNo, "%s must be a positive number of milliseconds", HeaderTimeout)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	return bounded, cancel, nil
}
