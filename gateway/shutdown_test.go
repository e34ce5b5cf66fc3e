package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/ingress"
	"github.com/jacinthrack/jacinthrack/routes"
)

// An order that may still be running when the process ends must not be sent to a server, however
// short orders usually are. A request that may be repeated is sent while it is likely to end.
func TestWhichRequestsAreSentBeforeAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			left    = 3 * time.Second // until the last response must be written
			typical = 500 * time.Millisecond
		)
		g := newGateway(t)
		g.SetServers([]routes.Server{{ID: "s1", Address: "127.0.0.1:1", Service: "s", Zone: "a", Slots: 100, Ready: true}}, nil)
		request := &dispatch.Request{Service: "s", Route: "known", Deadline: time.Now().Add(time.Hour)}
		g.mu.Lock()
		decision, _ := g.dispatcher.Submit(request, time.Now())
		must.Eq(t, dispatch.VerdictStart, decision.Verdict)
		g.dispatcher.Finish(request, decision.Server, dispatch.AttemptResult{Outcome: dispatch.OutcomeSucceeded, Duration: typical}, time.Now())
		g.mu.Unlock()
		g.PrepareStop(time.Now().Add(left))
		for _, c := range []struct {
			name        string
			route       string
			idempotency routes.Idempotency
			elapsed     time.Duration // since the stop began
			timeout     time.Duration // of the request
			sent        bool
		}{
			{"order that ends before the process", "known", routes.NotIdempotent, 0, 2 * time.Second, true},
			{"order that may not", "known", routes.NotIdempotent, 0, 4 * time.Second, false},
			{"read that may not but is likely to", "known", routes.Idempotent, time.Second, 4 * time.Second, true},
			{"read late in the grace period", "known", routes.Idempotent, 2 * time.Second, 4 * time.Second, false},
			{"read of unknown duration", "unknown", routes.Idempotent, 0, 4 * time.Second, false},
			{"read of unknown duration that ends before the process", "unknown", routes.Idempotent, 0, 2 * time.Second, true},
		} {
			started := time.Now()
			g.stopPlan.Store(&stopPlan{lastResponseAt: started.Add(left - c.elapsed)})
			state := &requestState{route: &routes.Route{Name: c.route, Idempotency: c.idempotency}, deadline: started.Add(c.timeout)}
			must.Eq(t, c.sent, g.endsBeforeStop(state), must.Sprint(c.name))
		}
	})
}

// An order that waits for a server when the stop begins must be rejected at once, stating that it did
// not run, if it could not end in time any more.
func TestWaitingOrderIsRejectedWhenTheStopBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)
		g.ConfirmConfig(ago(0))
		g.SetServers([]routes.Server{{ID: "s1", Address: "127.0.0.1:1", Service: "s", Zone: "a", Slots: 4, Ready: true}}, nil)
		for { // until all of the server is in use
			request := &dispatch.Request{Service: "s", Route: "keyed", Deadline: time.Now().Add(time.Hour)}
			g.mu.Lock()
			decision, waiter := g.dispatcher.Submit(request, time.Now())
			if waiter != nil {
				g.dispatcher.RemoveWaiter(waiter)
			}
			g.mu.Unlock()
			if decision.Verdict != dispatch.VerdictStart {
				break
			}
		}
		responses := make(chan *ingress.Response, 1)
		go func() { responses <- handleRequest(t.Context(), g, "/x", "k") }()
		synctest.Wait()
		must.Eq(t, 1, len(g.waiterChannels))
		began := time.Now()
		g.PrepareStop(began.Add(500 * time.Millisecond)) // the request has almost a second
		response := <-responses
		must.Eq(t, http.StatusServiceUnavailable, response.Status)
		must.StrContains(t, string(response.Body), reasonStopping)
		must.Eq(t, began, time.Now())
		must.Zero(t, len(g.waiterChannels))
	})
}
