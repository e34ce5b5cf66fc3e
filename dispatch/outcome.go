package dispatch

import "time"

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes.
const (
	OutcomeSucceeded   Outcome = iota // a complete response that reports no failure
	OutcomeRejected                   // the server stated that it did not run the request
	OutcomeFailed                     // the server answered with a failure status
	OutcomeIncomplete                 // the response did not arrive whole; the metric label is "broken"
	OutcomeUnreachable                // no connection could be opened
	OutcomeTimedOut                   // no response before the deadline
	OutcomeCancelled                  // the caller went away, or the request was not sent
	OutcomeMisdirected                // another server answered at the address
)

// AttemptResult describes how an attempt on a server ended.
type AttemptResult struct {
	Outcome    Outcome
	Duration   time.Duration // from the start of the attempt to its end
	Load       *LoadReport   // load reported by the server, or nil
	WarmupLeft time.Duration // remaining warm-up time reported by the server, or 0
	Leaving    bool          // the server announced that it leaves
	Pause      time.Duration // time for which the server wants no requests of this instance, or 0
	// Incarnation identifies the server's process when the attempt started, see routes.Server.
	Incarnation int64
	Rate        *RateReport // rate reported by the server; nil without a response or if it is malformed
}

// Finish records the end of an attempt that was started on a server, and updates the
// estimates about the server.
func (d *Dispatcher) Finish(r *Request, s *Server, result AttemptResult, now time.Time) {
	s.ownInFlight--
	d.services[s.Service].removeInFlight(r)
	if s.Removed && s.ownInFlight <= 0 && d.servers[s.ID] == s {
		delete(d.servers, s.ID)
	}
	if result.WarmupLeft > 0 && result.Outcome != OutcomeMisdirected {
		s.markCold(result.WarmupLeft, now)
	}
	d.applyRateReport(s, result, now)
	d.applySelfReport(s, result, now)
	failed := 0.0
	switch result.Outcome {
	case OutcomeSucceeded:
		s.consecutiveFailures = 0
		s.resuming = s.resuming && now.Before(s.pausedUntil)
		d.recordServiceTime(r, s, result.Duration, now)
		s.rememberObject(r.ObjectHash, now)
	case OutcomeRejected, OutcomeFailed, OutcomeIncomplete:
		failed = 1
	case OutcomeTimedOut:
		failed = 1
		s.observeServiceTime(result.Duration, now)
	case OutcomeUnreachable, OutcomeMisdirected:
		s.eject(now)
		return // nothing that was reported comes from this server
	case OutcomeCancelled:
		return
	}
	if result.Pause == 0 { // otherwise the server is sound and says when to come back
		s.failureRate += failureRateGain * (failed - s.failureRate)
	}
	if result.Load != nil {
		s.applyLoadReport(*result.Load, d.services[s.Service].answeredInReport(result), now)
	}
}

// answeredInReport returns the number of requests in a load report that the response with the
// report ends. A rejected request is not among the requests of the server.
func (p *servicePool) answeredInReport(result AttemptResult) int {
	if result.Outcome == OutcomeRejected {
		return 0
	}
	if result.Outcome == OutcomeSucceeded && result.Load.InFlight == 0 {
		p.reportsOmitAnswered = true
	}
	if p.reportsOmitAnswered {
		return 0
	}
	return 1
}

// recordServiceTime adds a sample to the mean service times of the server, the service and
// the route. took includes the network round trip, which is subtracted.
func (d *Dispatcher) recordServiceTime(r *Request, s *Server, took time.Duration, now time.Time) {
	roundTrip, _ := d.networkCost(s, 0)
	serviceTime := max(took-roundTrip, time.Millisecond)
	s.observeServiceTime(serviceTime, now)
	pool := d.services[s.Service]
	pool.serviceTime = movingAverage(pool.serviceTime, serviceTime)
	d.routeServiceTimes[r.Route] = movingAverage(d.routeServiceTimes[r.Route], serviceTime)
}

// meanServiceTimeGain is the weight of a sample in the mean service time of a service or
// route.
const meanServiceTimeGain = 0.02

// movingAverage returns the exponential moving average after a sample. A mean of 0 stands
// for no samples.
func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanServiceTimeGain*float64(sample-mean))
}
