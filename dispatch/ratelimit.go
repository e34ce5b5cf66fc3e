package dispatch

import "time"

// RateReport is what a response says about the rate of requests that its server takes from all
// instances together.
type RateReport struct {
	Limited   bool
	PerSecond float64 // requests per second, if Limited is set
}

// rateLimit is a limit that a server has set on the rate of its requests.
type rateLimit struct {
	perSecond float64   // of all instances together
	since     time.Time // time of the first response with the limit; zero for no limit
}

// RateLimit returns the rate in requests per second to which the server has limited the requests
// of all instances, and whether it has.
func (s *Server) RateLimit() (perSecond float64, limited bool) {
	return s.rateLimit.perSecond, !s.rateLimit.since.IsZero()
}

// applyRateReport takes the limit in the response to a request that was sent at a time. A
// response to a request that was sent before the limit was known does not end it: it may have been
// written earlier than the response with the limit.
func (s *Server) applyRateReport(r RateReport, sentAt, now time.Time) {
	switch {
	case r.Limited && s.rateLimit.since.IsZero():
		s.rateLimit = rateLimit{perSecond: r.PerSecond, since: now}
	case r.Limited:
		s.rateLimit.perSecond = r.PerSecond
	case sentAt.After(s.rateLimit.since):
		s.rateLimit = rateLimit{}
	}
}
