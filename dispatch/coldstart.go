package dispatch

import (
	"time"
)

// nextColdRequest returns when this instance may send its next request to a cold server.
// The time of its first request is random within the interval, since all instances learn
// at about the same time that the server is cold.
func (d *Dispatcher) nextColdRequest(s *Server) time.Time {
	if s.nextColdRequest.Before(s.coldSince) {
		s.nextColdRequest = s.coldSince.Add(time.Duration(d.rng.Float64() * float64(d.coldRequestInterval(s))))
	}
	return s.nextColdRequest
}

// coldRequestInterval returns the time between this instance's requests to a cold server.
// It is 0 if the service has no warm-up rate.
func (d *Dispatcher) coldRequestInterval(s *Server) time.Duration {
	rate := d.pool(s.Service).config.WarmupRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(d.members) / rate * float64(time.Second))
}

// coldServerFactor is how many times longer a cold server is assumed to take for a request.
const coldServerFactor = 2.0

// readmissionPacing is how long a server counts as cold after the end of an evacuation. It may
// have become cold in the meantime, which its responses tell; a service time of a second or
// two passes before the first one.
const readmissionPacing = 2 * time.Second

// awaitsColdStart reports whether a server is cold and must not get a request of this
// instance yet.
func (d *Dispatcher) awaitsColdStart(s *Server, now time.Time) bool {
	return s.isCold(now) && now.Before(d.nextColdRequest(s))
}
