// Package dispatch decides which backend server runs a request, which requests wait for
// a free slot and which are rejected.
//
// It uses no locks, clock, sockets or goroutines: callers serialize their calls and pass
// the time. It is made for fleets whose instances share servers without consulting each
// other for each request, and for overloads that last for seconds.
package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthrack/jacinthrack/routes"
)

// Parameters of the estimates about a server.
const (
	// serviceTimeGain is the weight of a new sample in a server's mean service time.
	serviceTimeGain = 0.2
	// serviceTimeDecay is the time constant with which the expected service time of a
	// server without new samples returns to the mean of its service, so that a server
	// that was slow gets requests again.
	serviceTimeDecay = 4 * time.Second
	// loadReportDecay is the time constant with which the estimated load returns from the
	// last report to the long-term mean. It is in the order of one service time.
	loadReportDecay = 400 * time.Millisecond
	// meanLoadGain is the weight of a report in the long-term mean.
	meanLoadGain = 0.1
	// initialLoadShare is the fraction of a server's slots that other instances are assumed
	// to use until the server has reported its load.
	initialLoadShare = 0.35
	// maxRecentObjects is the number of objects remembered per server.
	maxRecentObjects = 256
	// minEjection and maxEjection are the shortest and the longest time for which a server
	// gets no requests after it was unreachable or another server answered at its address.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
)

// LoadReport is the load that a server reports with a response, counted in requests of all
// instances, and its number of slots. Most servers write the header of a response before the
// request ends, so that InFlight includes the request that the response belongs to.
type LoadReport struct{ InFlight, Waiting, Slots int }

// Server is what an instance knows about a backend server: its record from the platform,
// and estimates from the requests that the instance has sent to it.
type Server struct {
	routes.Server
	Region string // region of its zone
	// Removed is set when the platform no longer lists the server. It gets no new requests.
	Removed bool
	// Evacuated is set while the operator has evacuated its zone. It gets no new requests.
	Evacuated bool

	idHash              uint64        // for the affinity order of objects
	ownInFlight         int           // requests of this instance
	reportedOtherLoad   float64       // requests of other instances in the last load report
	reportedAt          time.Time     // time of that report, zero if there was none
	meanOtherLoad       float64       // long-term mean of reportedOtherLoad
	meanServiceTime     time.Duration // 0 before the first sample
	serviceTimeAt       time.Time     // time of the last sample
	consecutiveFailures int           // unreachable or misdirected attempts since the last success
	ejectedUntil        time.Time
	coldSince           time.Time            // start of the current or last warm-up
	coldUntil           time.Time            // its end
	nextColdRequest     time.Time            // time of this instance's next request to the cold server
	leaving             bool                 // announced in a response
	pausedUntil         time.Time            // asked for in a response
	resuming            bool                 // no request has succeeded since its last pause
	rateLimit           rateLimit            // set by the server in its responses
	unlimitedAt         time.Time            // time of the response that ended the last rate limit
	recentObjects       map[uint64]time.Time // last time at which the server handled an object, by its hash
	failureRate         float64              // recent share of attempts that were rejected, failed or got no complete response in time
}

func newServer(s routes.Server, region string) *Server {
	return &Server{Server: s, Region: region, idHash: xxhash.Sum64String(s.ID), meanOtherLoad: initialLoadShare * float64(s.Slots), recentObjects: make(map[uint64]time.Time)}
}

// update takes a new record from the platform. A server that has a new incarnation or
// address loses all estimates.
func (s *Server) update(listed routes.Server, now time.Time) {
	if listed.Incarnation != s.Incarnation || listed.Address != s.Address {
		ownInFlight := s.ownInFlight
		replacement := newServer(listed, s.Region)
		replacement.Evacuated = s.Evacuated
		*s = *replacement
		s.ownInFlight = ownInFlight
	}
	s.Server = listed
	s.Removed = false
	if listed.WarmupLeft > 0 {
		s.markCold(listed.WarmupLeft, now)
	}
}

// markCold marks the server as cold for d from now.
func (s *Server) markCold(d time.Duration, now time.Time) {
	if !s.isCold(now) {
		s.coldSince = now
	}
	if until := now.Add(d); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// isCold reports whether the server is warming up and can take few requests.
func (s *Server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// usable reports whether the server may get new requests.
func (s *Server) usable(now time.Time) bool {
	return s.listedForUse() && !s.leaving && !now.Before(s.pausedUntil) && !now.Before(s.ejectedUntil)
}

// listedForUse reports whether the platform and the operator let the server get requests.
func (s *Server) listedForUse() bool { return s.Ready && !s.Removed && !s.Evacuated && s.Slots > 0 }

// estimatedLoad estimates the number of requests that run or wait at the server, from all
// instances.
func (s *Server) estimatedLoad(now time.Time) float64 {
	return float64(s.ownInFlight) + s.estimatedOtherLoad(now)
}

// estimatedOtherLoad estimates the number of requests at the server from other instances.
func (s *Server) estimatedOtherLoad(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return s.meanOtherLoad
	}
	weight := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(loadReportDecay))
	return weight*s.reportedOtherLoad + (1-weight)*s.meanOtherLoad
}

// applyLoadReport takes the load that the server reported with a response. answered is the
// number of requests in the report that the response ends, 0 or 1. ownInFlight must not
// include the request that the response belongs to.
func (s *Server) applyLoadReport(l LoadReport, answered int, now time.Time) {
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
	s.reportedOtherLoad = max(0, float64(l.InFlight+l.Waiting-answered-s.ownInFlight))
	s.reportedAt = now
	s.meanOtherLoad += meanLoadGain * (s.reportedOtherLoad - s.meanOtherLoad)
}

// expectedServiceTime estimates how long the server takes for a request. mean is the mean
// service time of its pool.
func (s *Server) expectedServiceTime(mean time.Duration, now time.Time) time.Duration {
	if s.meanServiceTime == 0 {
		return mean
	}
	weight := math.Exp(-float64(now.Sub(s.serviceTimeAt)) / float64(serviceTimeDecay))
	return time.Duration(weight*float64(s.meanServiceTime) + (1-weight)*float64(mean))
}

// observeServiceTime adds a sample to the mean service time of the server.
func (s *Server) observeServiceTime(took time.Duration, now time.Time) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = took
	} else {
		s.meanServiceTime += time.Duration(serviceTimeGain * float64(took-s.meanServiceTime))
	}
	s.serviceTimeAt = now
}

// eject keeps new requests away from the server for a time that doubles with each failure
// in a row, from minEjection to maxEjection.
func (s *Server) eject(now time.Time) {
	s.consecutiveFailures++
	// The shift is bounded so that the result cannot overflow.
	wait := minEjection << min(s.consecutiveFailures-1, 8)
	s.ejectedUntil = now.Add(min(wait, maxEjection))
}

// rememberObject records that the server has handled an object. If maxRecentObjects are
// remembered, an arbitrary one is forgotten.
func (s *Server) rememberObject(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	if len(s.recentObjects) >= maxRecentObjects {
		for old := range s.recentObjects {
			delete(s.recentObjects, old)
			break
		}
	}
	s.recentObjects[object] = now
}
