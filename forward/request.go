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

// requestState is the state of one request while it is being served.
type requestState struct {
	requestID    string
	receivedAt   time.Time
	route        *config.Route
	customer     string
	presentedKey string // API key from the request; never logged
	backendPath  string // path and query for the backend server
	body         *requestBody
	claim        Claim
	// fingerprint is set by readBody, see requestFingerprint.
	fingerprint  uint64
	maybeSent    bool // bytes of an attempt may have reached a backend server
	triedServers []string
}

// ran returns the value of the member ran of a rejection: whether the request may have run
// at a backend server.
func (s *requestState) ran() problem.RunStatus {
	if s.maybeSent {
		return problem.MayHaveRun
	}
	return problem.DidNotRun
}

// fairWeight returns the weight of the request's customer in fair sharing.
func (s *requestState) fairWeight(index *config.Index) float64 {
	customer, ok := index.Customer(s.customer)
	if !ok {
		return 1 // the route needs no key, so there is no customer
	}
	return customer.EffectiveWeight()
}

// requestFingerprint returns a hash that is equal for requests that are the same to a
// backend server. Of a streamed body it covers only the buffered start.
func requestFingerprint(r *http.Request, state *requestState) uint64 {
	h := xxhash.New()
	for _, part := range []string{state.route.Name, r.Method, state.backendPath, state.customer} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(state.body.buffered)
	return h.Sum64()
}

// newRequestID returns a random ID of 24 hexadecimal digits.
func newRequestID() string {
	var b [12]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// resolveRoute returns the state of a new request with its route, backend path and key. The
// state is returned with a rejection too; its route is nil if the route is unknown.
func resolveRoute(index *config.Index, r *http.Request) (*requestState, *problem.Document) {
	state := &requestState{requestID: newRequestID(), receivedAt: time.Now(), body: &requestBody{}}
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), PathPrefix)
	if !ok {
		return state, problem.New(problem.TypeRouteUnknown, http.StatusNotFound, problem.DidNotRun, "path must start with %s{route}/", PathPrefix)
	}
	name, path, _ := strings.Cut(rest, "/")
	route, ok := index.Route(name)
	if !ok {
		return state, problem.New(problem.TypeRouteUnknown, http.StatusNotFound, problem.DidNotRun, "route %q does not exist", name)
	}
	state.route = &route
	if !slices.Contains(state.route.Methods, r.Method) {
		return state, problem.New(problem.TypeMethodNotAllowed, http.StatusMethodNotAllowed, problem.DidNotRun, "route %q allows %s", name, strings.Join(state.route.Methods, ", "))
	}
	state.backendPath = "/" + path
	if r.URL.RawQuery != "" {
		state.backendPath += "?" + r.URL.RawQuery
	}
	state.presentedKey = r.Header.Get(HeaderKey)
	return state, nil
}

// withDeadline returns ctx with the earlier of the route's deadline and the timeout sent by
// the caller.
func withDeadline(ctx context.Context, route *config.Route, header http.Header) (context.Context, context.CancelFunc, *problem.Document) {
	timeout := route.Deadline.Std()
	callerTimeout := header.Get(HeaderTimeout)
	if callerTimeout != "" {
		ms, err := strconv.ParseInt(callerTimeout, 10, 64)
		if err != nil || ms <= 0 {
			return ctx, func() {}, problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "%s must be a positive number of milliseconds", HeaderTimeout)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	return bounded, cancel, nil
}
