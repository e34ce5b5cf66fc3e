package dispatch

import "time"

// Parameters of the decision whether a request is sent to a server or waits at this instance.
//
// A server has one queue for the requests of all instances, so that none of its slots is idle
// while a request waits there. A request that waits at an instance can still be overtaken by
// a more urgent one or be rejected, but the instance learns that a slot is free only from
// the next response, and may learn it after the others.
const (
	// immediateQueuePerSlot and maxImmediateQueue limit the number of requests that may wait
	// at a server for any request to be sent there. They keep the slots in use until the
	// instances have learned of a free one, which takes no more requests with more slots.
	immediateQueuePerSlot = 0.5
	maxImmediateQueue     = 1.5
	// maxServerQueuePerSlot is the number of requests for each slot that may wait at a server
	// for a request to be sent there that is expected to end within its latency objective.
	// Servers reject requests if their queue is full, and instances that send at the same time
	// do not see each other's requests.
	maxServerQueuePerSlot = 1.0
)

// startable reports whether a request should be sent to a server now instead of waiting.
func (d *Dispatcher) startable(r *Request, s *Server, now time.Time) bool {
	if d.awaitsColdStart(s, now) || d.awaitsRateToken(s, now) || s.awaitsResumption() {
		return false
	}
	slots := float64(s.Slots)
	ahead := s.estimatedLoad(now) + 1 - slots // requests that must end before this one starts
	if ahead <= min(immediateQueuePerSlot*slots, maxImmediateQueue) {
		return true
	}
	if ahead > maxServerQueuePerSlot*slots {
		return false
	}
	meanServiceTime := d.services[r.Service].meanServiceTime()
	wait := time.Duration(ahead / slots * float64(s.expectedServiceTime(meanServiceTime, now)))
	return !now.Add(wait).After(r.ObjectiveAt.Add(-d.startMargin(r)))
}

// startMargin is how long before its latency objective or deadline a request must start to
// be likely to end in time. It is estimated from the mean service time of the route or,
// before the first sample, of the service.
func (d *Dispatcher) startMargin(r *Request) time.Duration {
	serviceTime := d.routeServiceTimes[r.Route]
	if serviceTime == 0 {
		serviceTime = d.services[r.Service].meanServiceTime()
	}
	return time.Duration(serviceTimeMargin * float64(serviceTime))
}
