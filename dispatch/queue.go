package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of waiting. A waiting request is late when it can no longer end within its
// latency objective, even if it starts at once.
const (
	// lateWaitersPerSlot is the number of late requests that may wait for each slot of this
	// instance's part of the pool.
	lateWaitersPerSlot = 1.0
	// serviceTimeMargin is the fraction of a route's mean service time that must be left
	// when a request starts, so that most requests end in time.
	serviceTimeMargin = 0.9
	// minRetryAfter is the shortest time after which a rejected caller may retry.
	minRetryAfter = 50 * time.Millisecond
)

// Verdict says what happens to a request that needs a server.
type Verdict uint8

// Verdicts.
const (
	VerdictStart  Verdict = iota // the attempt starts on Decision.Server
	VerdictWait                  // the request is queued; StartWaiters starts it or Review rejects it
	VerdictReject                // the request is rejected; a slot is likely to be free after Decision.RetryAfter
)

// Decision is the result of Submit and Review.
type Decision struct {
	Verdict    Verdict
	Server     *Server       // server of an attempt that starts, nil otherwise
	Reason     string        // why the request starts, waits or is rejected; rejected callers get this text
	RetryAfter time.Duration // time after which the caller of a rejected request may retry
	// ReviewAt is when Review must be called for a waiting request.
	ReviewAt time.Time
}

// Waiter is a request that waits for a server with a free slot.
type Waiter struct {
	Request    *Request
	enqueuedAt time.Time
	// latestStartInObjective is the latest time at which the request can start and still
	// end within its latency objective; from then on it is late. latestStart is the latest
	// time at which it can start and still end before its deadline.
	latestStartInObjective, latestStart time.Time
}

// waiterQueue holds the waiting requests of a service in order of arrival.
type waiterQueue struct{ waiters []*Waiter }

// Submit starts an attempt of a request on the server that suits it best, queues the
// request if that server has no free slot, or rejects it. The Waiter is nil unless the
// request is queued.
func (d *Dispatcher) Submit(r *Request, now time.Time) (Decision, *Waiter) {
	d.countRateDemand(r, now)
	server, anyEligible := d.chooseServer(r, now)
	if server != nil {
		d.startAttempt(r, server, now)
		return Decision{Verdict: VerdictStart, Server: server, Reason: "room"}, nil
	}
	if !anyEligible {
		return d.rejectWithoutServer(r, now), nil
	}
	w := d.newWaiter(r, now)
	pool := d.services[r.Service]
	if reason := d.rejectReason(pool, w, now); reason != "" {
		return Decision{Verdict: VerdictReject, Reason: reason, RetryAfter: d.retryAfter(pool, now)}, nil
	}
	pool.queue.waiters = append(pool.queue.waiters, w)
	return Decision{Verdict: VerdictWait, Reason: "no room", ReviewAt: w.nextReview(now)}, w
}

// newWaiter returns a waiter for a request.
func (d *Dispatcher) newWaiter(r *Request, now time.Time) *Waiter {
	margin := d.startMargin(r)
	return &Waiter{Request: r, enqueuedAt: now, latestStartInObjective: r.ObjectiveAt.Add(-margin), latestStart: r.Deadline.Add(-margin)}
}

// nextReview returns when the request becomes late or, if it is late, when it must be
// rejected.
func (w *Waiter) nextReview(now time.Time) time.Time {
	if w.latestStartInObjective.After(now) {
		return w.latestStartInObjective
	}
	return w.latestStart
}

// rejectReason returns why a request must not wait, or "" if it may wait.
func (d *Dispatcher) rejectReason(pool *servicePool, w *Waiter, now time.Time) string {
	if !w.latestStart.After(now) {
		return "too little time left"
	}
	if w.latestStartInObjective.After(now) {
		return ""
	}
	if pool.queue.holdsInTime(w, now) {
		return "late, and others can still end in time"
	}
	if d.lateWaitersAhead(pool, w, now) >= d.maxLateWaiters(pool, now) {
		return "late and the queue is full"
	}
	return ""
}

// holdsInTime reports whether a request other than w waits that can still end within its
// latency objective. A late request that waits with it would take its slot or, more often,
// be rejected after the wait.
func (q *waiterQueue) holdsInTime(w *Waiter, now time.Time) bool {
	return slices.ContainsFunc(q.waiters, func(other *Waiter) bool { return other != w && other.latestStartInObjective.After(now) })
}

// lateWaitersAhead counts the late requests of at least the same priority that have
// waited longer than w.
func (d *Dispatcher) lateWaitersAhead(pool *servicePool, w *Waiter, now time.Time) int {
	n := 0
	for _, other := range pool.queue.waiters {
		if other == w {
			break
		}
		if !other.latestStartInObjective.After(now) && other.Request.Priority <= w.Request.Priority {
			n++
		}
	}
	return n
}

// maxLateWaiters returns the number of late requests that may wait. The usable slots are
// divided equally among the instances.
func (d *Dispatcher) maxLateWaiters(pool *servicePool, now time.Time) int {
	slots, mean := 0.0, pool.meanServiceTime()
	for _, s := range pool.servers {
		if s.usable(now) {
			slots += s.effectiveSlots(mean, now)
		}
	}
	return int(lateWaitersPerSlot * slots / float64(d.members))
}

// retryAfter estimates when a slot is free for the retry of a rejected request.
func (d *Dispatcher) retryAfter(pool *servicePool, now time.Time) time.Duration {
	// maxLateWaiters is this instance's part of the usable slots, since lateWaitersPerSlot is 1.
	slots := max(1, d.maxLateWaiters(pool, now))
	wait := pool.meanServiceTime() * time.Duration(1+len(pool.queue.waiters)) / time.Duration(slots)
	return max(wait, minRetryAfter)
}

// Review decides at Decision.ReviewAt whether a waiting request may wait any longer. A
// request that it rejects is removed from the queue.
func (d *Dispatcher) Review(w *Waiter, now time.Time) Decision {
	pool := d.services[w.Request.Service]
	reason := d.rejectReason(pool, w, now)
	if reason == "" {
		// Looks one millisecond ahead, so that the next review is not due at once.
		return Decision{Verdict: VerdictWait, ReviewAt: w.nextReview(now.Add(time.Millisecond))}
	}
	d.RemoveWaiter(w)
	return Decision{Verdict: VerdictReject, Reason: reason, RetryAfter: d.retryAfter(pool, now)}
}

// RemoveWaiter removes a request from its queue. It returns false if the request was not
// waiting any more.
func (d *Dispatcher) RemoveWaiter(w *Waiter) bool {
	q := &d.services[w.Request.Service].queue
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Assignment is a waiting request that starts, and the server that it was assigned to, or one that
// is rejected.
type Assignment struct {
	Waiter *Waiter
	Server *Server // nil if the request is rejected
	// Rejection is why it is rejected.
	Rejection Decision
}

// StartWaiters starts those waiting requests of a service for which a server has a free slot
// now, in the order of compareWaiters. It rejects those for which all servers have asked for a pause
// or leave.
func (d *Dispatcher) StartWaiters(service string, now time.Time) []Assignment {
	pool := d.services[service]
	if pool == nil || len(pool.queue.waiters) == 0 {
		return nil
	}
	order := slices.Clone(pool.queue.waiters)
	slices.SortStableFunc(order, func(a, b *Waiter) int { return pool.compareWaiters(a, b, now) })
	var assignments []Assignment
	for _, w := range order {
		server, anyEligible := d.chooseServer(w.Request, now)
		if server == nil {
			if anyEligible {
				continue
			}
			decision := d.rejectWithoutServer(w.Request, now)
			if decision.Reason == ReasonAllPaused || decision.Reason == ReasonAllLeaving {
				d.RemoveWaiter(w)
				assignments = append(assignments, Assignment{Waiter: w, Rejection: decision})
			}
			continue
		}
		d.RemoveWaiter(w)
		d.startAttempt(w.Request, server, now)
		assignments = append(assignments, Assignment{Waiter: w, Server: server})
	}
	return assignments
}

// compareWaiters orders waiting requests. Requests that can still end within their latency
// objective go before late ones. Within both groups requests are ordered by priority, then
// by the customer's in-flight requests relative to its weight, fewest first, then by arrival.
func (p *servicePool) compareWaiters(a, b *Waiter, now time.Time) int {
	inTimeA, inTimeB := a.latestStartInObjective.After(now), b.latestStartInObjective.After(now)
	switch {
	case inTimeA && !inTimeB:
		return -1
	case inTimeB && !inTimeA:
		return 1
	}
	if d := a.Request.Priority - b.Request.Priority; d != 0 {
		return d
	}
	if inFlightA, inFlightB := p.weightedInFlight[a.Request.Customer], p.weightedInFlight[b.Request.Customer]; inFlightA != inFlightB {
		return cmp.Compare(inFlightA, inFlightB)
	}
	return a.enqueuedAt.Compare(b.enqueuedAt)
}

// WaiterCount returns the number of requests that wait for a server of a service.
func (d *Dispatcher) WaiterCount(service string) int {
	if pool := d.services[service]; pool != nil {
		return len(pool.queue.waiters)
	}
	return 0
}

// ServicesWithWaiters returns the names of the services that have waiting requests, in no
// particular order.
func (d *Dispatcher) ServicesWithWaiters() []string {
	var names []string
	for service, pool := range d.services {
		if len(pool.queue.waiters) > 0 {
			names = append(names, service)
		}
	}
	return names
}
