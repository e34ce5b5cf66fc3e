package httpclient

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

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
			WritesPerTransaction:     memory.MaxWritesPerTransaction,
			RowsPerScan:   memory.MaxScanRows,
			ValueBytes: memory.MaxValueBytes,
		},
	}
}

// Guards against a network client that keeps a weaker contract than the store
// behind it.
func TestContract(t *testing.T) { storetest.Run(t, newPlatform) }

// Guards against writes that are taken for "not applied" although they may have
// been, and the reverse.
func TestFailedWriteSaysWhetherItMayHaveBeenApplied(t *testing.T) {
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := unreachable.Addr().String()
	must.NoError(t, unreachable.Close())

	cases := []struct {
		name    string
		handler http.HandlerFunc
		unknown bool
	}{
		{"no connection", nil, false},
		{"connection breaks", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"no JSON", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, true},
		{"success cut off", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"versions":`)) }, true},
		{"platform refuses", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"kind":"unavailable","detail":"down"}`))
		}, false},
		{"platform does not know", func(w http.ResponseWriter, _ *http.Request) {
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
			must.Eq(t, c.unknown, tablestore.IsOutcomeUnknown(err), must.Sprintf("error %v", err))
			var unavailable *tablestore.UnavailableError
			must.Eq(t, !c.unknown, errors.As(err, &unavailable), must.Sprintf("error %v", err))
		})
	}
}
