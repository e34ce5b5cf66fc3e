package balancer

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// probeState returns the state of a server after several probes to which it responds with text.
func probeState(t *testing.T, text string) serverstate.State {
	t.Helper()
	backend := httptest.NewServer(responsetest.Handler(text))
	defer backend.Close()
	doc := *testIndex(t).Document()
	doc.Services = []config.Service{{Name: "stock", HealthPath: "/health"}}
	doc.BackendServers = []config.BackendServer{{Name: "a", Service: "stock", Zone: "north-a", Address: backend.Listener.Addr().String(), Slots: 1}}
	b := newTestBalancer(t, "n1", "north-a", config.NewIndex(&doc), &shiftTokens{})
	for range 5 {
		b.prober.probe(t.Context(), b.currentConfigState(), doc.BackendServers[0])
	}
	state, _ := b.tracker.State("a")
	return state
}

// Guards against a server that answers its health probes with broken responses and counts as healthy.
func TestProbeWithInvalidHeadFails(t *testing.T) {
	must.Eq(t, serverstate.Serving, probeState(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	for name, text := range responsetest.WithInvalidHeads("{}") {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, serverstate.Suspect, probeState(t, text))
		})
	}
}
