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

	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// entryStub is an entry instance on a real socket. All stubs of a test share the
// claims, as entry instances share the table.
func entryStub(t *testing.T, handler http.HandlerFunc) (address string, server *httptest.Server) {
	server = httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), server
}

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

// Guards against a non-idempotent request that runs twice because its answer was
// lost, cut off, or because its instance went down; the second instance must see
// the same key and body.
func TestLostAnswerRunsOnce(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	bodies := make(map[string]bool)
	run := func(r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(HeaderIdempotencyKey)
		bodies[string(body)] = true
		if runs[key] == 0 {
			runs[key]++
		}
	}
	loses, _ := entryStub(t, func(_ http.ResponseWriter, r *http.Request) {
		run(r)
		panic(http.ErrAbortHandler)
	})
	cuts, _ := entryStub(t, func(w http.ResponseWriter, r *http.Request) {
		run(r)
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
	})
	answers, _ := entryStub(t, func(w http.ResponseWriter, r *http.Request) {
		run(r)
		_, _ = io.WriteString(w, "stored")
	})
	down, server := entryStub(t, func(http.ResponseWriter, *http.Request) {})
	server.Close()
	for _, first := range []string{loses, cuts, down} {
		seed, _ := entryStub(t, lookupHandler(first, answers))
		client := newTestClient(t, nil, seed)
		defer client.Close()
		resp, err := client.Do(t.Context(), &Request{Route: "orders", Method: http.MethodPost, Body: []byte("order")})
		must.NoError(t, err)
		must.EqOp(t, "stored", string(resp.Body))
		must.EqOp(t, answers, resp.Instance)
		must.Len(t, 1, resp.Attempts)
		must.EqOp(t, first == down, resp.Attempts[0].Ran == problem.RanNo)
		must.EqOp(t, 1, runs[resp.IdempotencyKey])
	}
	must.MapLen(t, 3, runs)
	must.MapLen(t, 1, bodies)
}

// Guards against a redirect that sends the key to another address.
func TestRedirectIsNotFollowed(t *testing.T) {
	var stolen []string
	other, _ := entryStub(t, func(_ http.ResponseWriter, r *http.Request) {
		stolen = append(stolen, r.Header.Get(HeaderKey))
	})
	redirects, _ := entryStub(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+other+"/", http.StatusTemporaryRedirect)
	})
	seed, _ := entryStub(t, lookupHandler(redirects))
	client := newTestClient(t, nil, seed)
	defer client.Close()
	resp, err := client.Do(t.Context(), &Request{Route: "r"})
	must.NoError(t, err)
	must.EqOp(t, http.StatusTemporaryRedirect, resp.Status)
	must.SliceEmpty(t, stolen)
}

// Guards against look-ups that stop at the first seed that is down or answers
// nonsense, and that carry the key.
func TestLookupTriesAllSeeds(t *testing.T) {
	down, server := entryStub(t, func(http.ResponseWriter, *http.Request) {})
	server.Close()
	empty, _ := entryStub(t, lookupHandler())
	named, _ := entryStub(t, lookupHandler("entry.example:80"))
	notReady, _ := entryStub(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.TypeNotReady, http.StatusServiceUnavailable, problem.RanNo, "not ready").Write(w)
	})
	leaked := false
	good, _ := entryStub(t, func(w http.ResponseWriter, r *http.Request) {
		leaked = strings.Contains(fmt.Sprint(r.Header), testKey)
		lookupHandler("127.0.0.1:1")(w, r)
	})
	client := newTestClient(t, nil, down, empty, named, notReady, good)
	defer client.Close()
	instances, err := client.Instances(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, instances)
	must.False(t, leaked)
	client = newTestClient(t, nil, down, empty, named, notReady)
	defer client.Close()
	_, err = client.Instances(t.Context())
	var failed *LookupError
	must.True(t, errors.As(err, &failed))
	must.Len(t, 5, failed.Causes)
}

// Guards against options that would fail only at the first request.
func TestOptionsAreChecked(t *testing.T) {
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	addr := netip.MustParseAddr("127.0.0.1")
	for _, o := range []Options{{Client: addr}, {Seeds: seeds}, {Seeds: seeds, Client: addr, MaxAttempts: -1}} {
		_, err := New(o)
		must.True(t, errors.As(err, new(*OptionsError)))
	}
}
