package httpclient

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpserver"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/jacinthrack/jacinthrack/tablestore/storetest"
)

func newPlatform(t *testing.T) storetest.Platform {
	t.Helper()
	store := memory.New()
	server := httptest.NewServer(httpserver.New(store))
	t.Cleanup(server.Close)
	client := New(server.URL)
	t.Cleanup(func() { must.NoError(t, client.Stop(t.Context())) })
	return storetest.Platform{
		Table:        client,
		Objects:      client,
		Instances:    client,
		SetInstances: store.SetInstances,
		Limits: storetest.Limits{
			WritesPerTransaction: memory.MaxWritesPerTransaction,
			RowsPerScan:          memory.MaxScanRows,
			ValueBytes:           memory.MaxValueBytes,
		},
	}
}

// The client, connected to a server in front of the in-memory platform, fulfills the same
// contract as that platform.
func TestContract(t *testing.T) { storetest.Run(t, newPlatform) }

// A failed write that may have been applied returns *OutcomeUnknownError, and one that
// cannot have been applied returns *UnavailableError. A caller that confuses them would
// apply a write twice, or look for the result of a write that never happened.
func TestFailedWriteSaysWhetherItMayHaveBeenApplied(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := closedListener.Addr().String()
	must.NoError(t, closedListener.Close())

	cases := []struct {
		name           string
		handler        http.HandlerFunc
		outcomeUnknown bool
	}{
		{"connection refused", nil, false},
		{"connection closed without a response", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"error response without JSON", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, true},
		{"truncated success response", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"versions":`)) }, true},
		{"platform reports that the write had no effect", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"kind":"unavailable","detail":"down"}`))
		}, false},
		{"platform reports an unknown outcome", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusGatewayTimeout)
			_, _ = w.Write([]byte(`{"kind":"unknown","detail":"timeout"}`))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := "http://" + address
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				url = server.URL
			}
			_, err := New(url).Transact(t.Context(), "change-1", []tablestore.Write{{Key: "a"}})
			must.Eq(t, c.outcomeUnknown, tablestore.IsOutcomeUnknown(err), must.Sprintf("error %v", err))
			var unavailable *tablestore.UnavailableError
			must.Eq(t, !c.outcomeUnknown, errors.As(err, &unavailable), must.Sprintf("error %v", err))
		})
	}
}

// Guards against a write that counts as applied, and against data that is returned, although the
// response is broken.
func TestBrokenResponseIsAnError(t *testing.T) {
	broken := responsetest.WithInvalidHeads("{}")
	broken["end not marked"] = "HTTP/1.1 200 OK\r\n\r\n{}"
	for name, text := range broken {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(responsetest.Handler(text))
			defer server.Close()
			client := New(server.URL)
			err := client.Put(t.Context(), "object", []byte("data"))
			must.True(t, tablestore.IsOutcomeUnknown(err), must.Sprintf("put: error %v", err))
			_, err = client.Transact(t.Context(), "change-1", []tablestore.Write{{Key: "a"}})
			must.True(t, tablestore.IsOutcomeUnknown(err), must.Sprintf("transact: error %v", err))
			data, err := client.Get(t.Context(), "object")
			var unavailable *tablestore.UnavailableError
			must.True(t, errors.As(err, &unavailable), must.Sprintf("get: %q, error %v", data, err))
		})
	}
}
