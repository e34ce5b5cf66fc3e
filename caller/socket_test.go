package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// newStubInstance starts a server on a loopback socket that stands for an entry instance.
// Handlers of one test may share state, as entry instances share the claim store.
func newStubInstance(t *testing.T, handler http.HandlerFunc) (address string, server *httptest.Server) {
	server = httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), server
}

// lookupHandler returns a handler that answers look-ups with the given addresses.
func lookupHandler(addresses ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		answer := lookup.Answer{Version: "1"}
		for _, a := range addresses {
			answer.Instances = append(answer.Instances, lookup.Instance{Name: a, Address: a})
		}
		w.Header().Set("Cache-Control", "max-age=60")
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// Guards against a non-idempotent request that runs twice because its response was lost
// or cut off, or because its instance was down. The second instance must receive the same
// idempotency key and body.
func TestNonIdempotentRequestWithLostResponseRunsOnce(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	bodies := make(map[string]bool)
	recordRun := func(r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(HeaderIdempotencyKey)
		bodies[string(body)] = true
		if runs[key] == 0 {
			runs[key]++
		}
	}
	losesResponse, _ := newStubInstance(t, func(_ http.ResponseWriter, r *http.Request) {
		recordRun(r)
		panic(http.ErrAbortHandler)
	})
	cutsResponse, _ := newStubInstance(t, func(w http.ResponseWriter, r *http.Request) {
		recordRun(r)
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
	})
	answersFromStore, _ := newStubInstance(t, func(w http.ResponseWriter, r *http.Request) {
		recordRun(r)
		_, _ = io.WriteString(w, "stored")
	})
	downInstance, server := newStubInstance(t, func(http.ResponseWriter, *http.Request) {})
	server.Close()
	for _, first := range []string{losesResponse, cutsResponse, downInstance} {
		seed, _ := newStubInstance(t, lookupHandler(first, answersFromStore))
		client := newTestClient(t, nil, seed)
		defer client.Close()
		resp, err := client.Do(t.Context(), &Request{Route: "orders", Method: http.MethodPost, Body: []byte("order")})
		must.NoError(t, err)
		must.EqOp(t, "stored", string(resp.Body))
		must.EqOp(t, answersFromStore, resp.Instance)
		must.Len(t, 1, resp.Attempts)
		must.EqOp(t, first == downInstance, resp.Attempts[0].Ran == problem.DidNotRun)
		must.EqOp(t, 1, runs[resp.IdempotencyKey])
	}
	must.MapLen(t, 3, runs)
	must.MapLen(t, 1, bodies)
}

// Guards against following a redirect, which would send the API key to another address.
func TestRedirectIsNotFollowed(t *testing.T) {
	var receivedKeys []string
	other, _ := newStubInstance(t, func(_ http.ResponseWriter, r *http.Request) {
		receivedKeys = append(receivedKeys, r.Header.Get(HeaderKey))
	})
	redirecting, _ := newStubInstance(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+other+"/", http.StatusTemporaryRedirect)
	})
	seed, _ := newStubInstance(t, lookupHandler(redirecting))
	client := newTestClient(t, nil, seed)
	defer client.Close()
	resp, err := client.Do(t.Context(), &Request{Route: "r"})
	must.NoError(t, err)
	must.EqOp(t, http.StatusTemporaryRedirect, resp.Status)
	must.SliceEmpty(t, receivedKeys)
}

// Guards against look-ups that stop at the first seed that is down or returns an unusable
// answer, and against look-ups that carry the API key.
func TestLookupTriesAllSeeds(t *testing.T) {
	downInstance, server := newStubInstance(t, func(http.ResponseWriter, *http.Request) {})
	server.Close()
	emptyAnswer, _ := newStubInstance(t, lookupHandler())
	hostnameAnswer, _ := newStubInstance(t, lookupHandler("entry.example:80"))
	notReady, _ := newStubInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.DidNotRun, "not ready").Write(w)
	})
	keySent := false
	good, _ := newStubInstance(t, func(w http.ResponseWriter, r *http.Request) {
		keySent = strings.Contains(fmt.Sprint(r.Header), testKey)
		lookupHandler("127.0.0.1:1")(w, r)
	})
	client := newTestClient(t, nil, downInstance, emptyAnswer, hostnameAnswer, notReady, good)
	defer client.Close()
	instances, err := client.Instances(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, instances)
	must.False(t, keySent)
	client = newTestClient(t, nil, downInstance, emptyAnswer, hostnameAnswer, notReady)
	defer client.Close()
	_, err = client.Instances(t.Context())
	var failed *LookupError
	must.True(t, errors.As(err, &failed))
	must.Len(t, 5, failed.Causes)
}

// Guards against invalid options that are found only by the first request.
func TestInvalidOptionsAreRejectedByNew(t *testing.T) {
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	addr := netip.MustParseAddr("127.0.0.1")
	for _, o := range []Options{{Client: addr}, {Seeds: seeds}, {Seeds: seeds, Client: addr, MaxAttempts: -1}} {
		_, err := New(o)
		must.True(t, errors.As(err, new(*OptionsError)))
	}
}

// Guards against returning a response whose head is invalid, in answer to a request or a look-up.
func TestResponseWithInvalidHeadIsNotReturned(t *testing.T) {
	for name, text := range responsetest.WithInvalidHeads(`{"instances":[{"name":"a","address":"127.0.0.1:9"}]}`) {
		t.Run(name, func(t *testing.T) {
			broken, _ := newStubInstance(t, responsetest.Handler(text))
			sound, _ := newStubInstance(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
			seed, _ := newStubInstance(t, lookupHandler(broken, sound))
			client := newTestClient(t, nil, broken, seed)
			defer client.Close()
			resp, err := client.Do(t.Context(), &Request{Route: "r"})
			must.NoError(t, err)
			must.EqOp(t, "sound", string(resp.Body))
			must.Len(t, 1, resp.Attempts)
			must.EqOp(t, problem.MayHaveRun, resp.Attempts[0].Ran)
		})
	}
}

// Guards against returning a part of a body as the whole one: a body that ends with its connection may
// have been cut.
func TestResponseThatEndsWithItsConnectionIsNotReturned(t *testing.T) {
	undelimited, _ := newStubInstance(t, responsetest.Handler("HTTP/1.1 200 OK\r\n\r\npart"))
	sound, _ := newStubInstance(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
	seed, _ := newStubInstance(t, lookupHandler(undelimited, sound))
	client := newTestClient(t, nil, seed)
	defer client.Close()
	resp, err := client.Do(t.Context(), &Request{Route: "r", Method: http.MethodPost, Body: []byte("order")})
	must.NoError(t, err)
	must.EqOp(t, "sound", string(resp.Body))
}
