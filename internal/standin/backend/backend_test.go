package backend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
)

func startServer(t *testing.T, o backend.Options) (*backend.Fleet, *backend.Server) {
	t.Helper()
	o.Servers = []config.BackendServer{{Name: "a", Address: "127.0.0.1:0", Slots: 1, Connections: 8}}
	fleet, err := backend.Start(o)
	must.NoError(t, err)
	t.Cleanup(fleet.Close)
	server, err := fleet.Server("a")
	must.NoError(t, err)
	return fleet, server
}

func newRequest(t *testing.T, s *backend.Server, path, body string, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+path, strings.NewReader(body))
	must.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	// The timeout keeps a failing test from hanging.
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// The journal counts every run of a key. If it missed runs, every test that a request runs
// at most once would pass.
func TestJournalCountsEveryRun(t *testing.T) {
	fleet, server := startServer(t, backend.Options{})
	client := newClient(t)
	for range 2 {
		resp, err := client.Do(newRequest(t, server, "/x", "body", "Idempotency-Key", "k", backend.HeaderNonce, "n1"))
		must.NoError(t, err)
		var answer backend.Answer
		must.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
		resp.Body.Close()
		must.EqOp(t, "n1", answer.Nonce)
		must.EqOp(t, 4, answer.BodyBytes)
	}
	must.EqOp(t, 2, fleet.Journal().Runs("k"))
	must.EqOp(t, 0, fleet.Journal().Runs("other"))
	must.SliceLen(t, 1, fleet.Journal().Summary().Repeated)
}

// The journal records a customer's key that reaches a backend server, also if it is in
// another header than the key header.
func TestKeyLeakIsRecorded(t *testing.T) {
	fleet, server := startServer(t, backend.Options{})
	for _, header := range []string{"Jacinthrack-Key", "X-Copied"} {
		resp, err := newClient(t).Do(newRequest(t, server, "/x", "", header, "jr_id_secret"))
		must.NoError(t, err)
		resp.Body.Close()
	}
	summary := fleet.Journal().Summary()
	must.EqOp(t, 2, summary.KeyLeaks)
	must.EqOp(t, "X-Copied", summary.Leaks[1].Header)
}

// A server whose slots are all in use rejects requests, and a rejected request does not
// count as run.
func TestRequestsAreShedWhenAllSlotsAreInUse(t *testing.T) {
	fleet, server := startServer(t, backend.Options{})
	server.SetBehavior(backend.Behavior{StallUpload: config.Duration(time.Hour)})
	ctx, cancel := context.WithCancel(t.Context())
	stalledErr := make(chan error, 1)
	stalled := newRequest(t, server, "/x", "b").WithContext(ctx)
	go func() {
		_, err := newClient(t).Do(stalled)
		stalledErr <- err
	}()
	for server.CurrentLoad().InUse == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, err := newClient(t).Do(newRequest(t, server, "/x", "", "Idempotency-Key", "k"))
	must.NoError(t, err)
	resp.Body.Close()
	must.EqOp(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.EqOp(t, 0, fleet.Journal().Runs("k"))
	must.EqOp(t, 1, server.CurrentLoad().Shed)
	cancel()
	must.ErrorIs(t, <-stalledErr, context.Canceled)
}

// Each response fault takes effect when it is switched on. Otherwise the tests that rely on
// the fault would verify nothing.
func TestResponseFaults(t *testing.T) {
	cases := []struct {
		name     string
		behavior backend.Behavior
		check    func(t *testing.T, resp *http.Response, body []byte, err error)
	}{
		{"truncated response", backend.Behavior{Truncate: true}, func(t *testing.T, _ *http.Response, _ []byte, err error) {
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}},
		{"fault limited to every second request", backend.Behavior{Truncate: true, Every: 2}, func(t *testing.T, _ *http.Response, _ []byte, err error) {
			must.NoError(t, err)
		}},
		{"slow response", backend.Behavior{SlowAnswer: config.Duration(time.Millisecond)}, func(t *testing.T, _ *http.Response, body []byte, err error) {
			must.NoError(t, err)
			must.True(t, json.Valid(body))
		}},
		{"connection close announced", backend.Behavior{CloseConnections: true}, func(t *testing.T, resp *http.Response, _ []byte, err error) {
			must.NoError(t, err)
			must.True(t, resp.Close)
		}},
		{"extra response", backend.Behavior{ExtraAnswer: true}, func(t *testing.T, resp *http.Response, body []byte, err error) {
			must.NoError(t, err)
			must.True(t, json.Valid(body))
			must.EqOp(t, int64(len(body)), resp.ContentLength)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, server := startServer(t, backend.Options{})
			server.SetBehavior(tc.behavior)
			resp, err := newClient(t).Do(newRequest(t, server, "/x?bytes=5000", ""))
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			tc.check(t, resp, body, err)
		})
	}
}

// A request with HeaderCrash crashes the server, which starts again on the same port.
func TestCrashAndRestart(t *testing.T) {
	fleet, server := startServer(t, backend.Options{CrashDowntime: time.Millisecond})
	address := server.Address()
	_, err := newClient(t).Do(newRequest(t, server, "/x", "", backend.HeaderCrash, "1", "Idempotency-Key", "k"))
	must.Error(t, err)
	must.EqOp(t, 1, fleet.Journal().Runs("k"))
	for server.State() != backend.StateServing {
		time.Sleep(time.Millisecond)
	}
	must.EqOp(t, address, server.Address())
	resp, err := newClient(t).Do(newRequest(t, server, "/x", ""))
	must.NoError(t, err)
	resp.Body.Close()
	must.EqOp(t, http.StatusOK, resp.StatusCode)
}

// A drain through the control API makes the server refuse connections, and invalid control
// requests are rejected.
func TestDrainThroughControlAPI(t *testing.T) {
	fleet, server := startServer(t, backend.Options{})
	control := httptest.NewServer(fleet.Control())
	defer control.Close()
	cases := []struct {
		path, body string
		status     int
	}{
		{"/servers/b/drain", `{}`, http.StatusNotFound},
		{"/servers/a/drain", `{"anounce":true}`, http.StatusBadRequest},
		{"/servers/all/drain", `{"announce":false}`, http.StatusNoContent},
	}
	for _, tc := range cases {
		resp, err := http.Post(control.URL+tc.path, "application/json", bytes.NewBufferString(tc.body))
		must.NoError(t, err)
		resp.Body.Close()
		must.EqOp(t, tc.status, resp.StatusCode)
	}
	must.EqOp(t, backend.StateDraining, server.State())
	_, err := newClient(t).Do(newRequest(t, server, "/x", ""))
	must.True(t, errors.Is(err, syscall.ECONNREFUSED))
}

// A server closes connections beyond its maximum, and still responds when connect and
// probe delays are configured.
func TestConnectionLimitAndDelays(t *testing.T) {
	fleet, server := startServer(t, backend.Options{ConnectTime: time.Millisecond, ProbeTime: time.Millisecond})
	var conns []net.Conn
	for range 9 { // one more than the server's maximum
		conn, err := net.Dial("tcp", server.Address())
		must.NoError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	for server.CurrentLoad().RefusedConnections == 0 {
		time.Sleep(time.Millisecond)
	}
	must.EqOp(t, 8, server.CurrentLoad().Connections)
	for _, conn := range conns {
		conn.Close()
	}
	for server.CurrentLoad().Connections > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, err := newClient(t).Get("http://" + fleet.BackendServers()[0].Address + backend.PathHealth)
	must.NoError(t, err)
	resp.Body.Close()
	must.EqOp(t, http.StatusOK, resp.StatusCode)
}

// Start rejects addresses that are not loopback addresses.
func TestStartRejectsNonLoopbackAddress(t *testing.T) {
	_, err := backend.Start(backend.Options{Servers: []config.BackendServer{{Name: "a", Address: "192.0.2.1:80"}}})
	var addressError *backend.AddressError
	must.True(t, errors.As(err, &addressError))
}
