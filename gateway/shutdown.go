package gateway

import (
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/routes"
)

// idempotentStopMargin is the time that must be left until the process ends for an idempotent
// request to be sent to a server, as a multiple of the mean service time of its route. Few requests
// take longer, and a caller may repeat those that do.
const idempotentStopMargin = 3

// stopPlan is when a gateway that is shutting down must have written its last response.
type stopPlan struct{ lastResponseAt time.Time }

// PrepareStop makes the gateway reject, stating that they did not run, all requests that might
// still be running at lastResponseAt, whether they are new, wait for a server or need another
// attempt. It must be called only once.
func (g *Gateway) PrepareStop(lastResponseAt time.Time) {
	g.stopPlan.Store(&stopPlan{lastResponseAt: lastResponseAt})
	close(g.stopPlanned)
}

// RejectRequests makes the gateway reject all further requests, stating that they did not run.
func (g *Gateway) RejectRequests() { g.rejecting.Store(true) }

// endsBeforeStop reports whether a request that is sent to a server now will have its response
// before the process ends. The deadline decides for a request that must not run twice, since its
// caller could not repeat it. An idempotent one needs only be likely to end in time.
func (g *Gateway) endsBeforeStop(state *requestState) bool {
	return g.endsBefore(g.stopPlan.Load(), state)
}

// endsBefore is endsBeforeStop for a plan, which is nil if the process does not stop.
func (g *Gateway) endsBefore(plan *stopPlan, state *requestState) bool {
	if plan == nil || !state.deadline.After(plan.lastResponseAt) {
		return true
	}
	if state.route.Idempotency != routes.Idempotent {
		return false
	}
	g.mu.Lock()
	mean := g.dispatcher.RouteServiceTime(state.route.Name)
	g.mu.Unlock()
	return mean > 0 && !time.Now().Add(idempotentStopMargin*mean).After(plan.lastResponseAt)
}

// capDeadline makes a request that is taken under the plan end before the process does.
func (p *stopPlan) capDeadline(state *requestState) {
	if p != nil && p.lastResponseAt.Before(state.deadline) {
		state.deadline = p.lastResponseAt
	}
}

// stopProblem returns the rejection of a request that this instance does not start any more. If no
// server can have run the request, it also refunds the customer's quota token.
func (g *Gateway) stopProblem(state *requestState) *problem.Document {
	if state.mayHaveRun {
		return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, problem.MayHaveRun, "no further server: %s", reasonStopping)
	}
	g.refundQuota(state)
	return drainingProblem()
}

// drainingProblem returns the rejection of a request that has not taken a quota token.
func drainingProblem() *problem.Document {
	return problem.New(problem.TypeDraining, http.StatusServiceUnavailable, problem.DidNotRun, reasonStopping)
}

const reasonStopping = "this instance stops"
