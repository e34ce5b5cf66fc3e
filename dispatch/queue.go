package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of waiting.
const (
	// lateQueueShare bounds the requests that wait although they are late, as a
	// multiple of the slots that this instance can count on.
	lateQueueShare = 1.0
	// workMargin is the part of a route's mean time that must be left when a
	// request starts, so that most end in time.
	workMargin = 0.9
	// retrySoon is the shortest time after which a refused caller may return.
	retrySoon = 50 * time.Millisecond
)

// Verdict is the answer to a request for a server.
type Verdict uint8

// Verdicts.
const (
	VerdictStart  Verdict = iota // on Decision.Server
	VerdictWait                  // until Next starts it or Review refuses it
	VerdictReject                // now; RetryAfter says when room is likely
)

// Decision is the answer to a request for a server.
type Decision struct {
	Verdict    Verdict
	Server     *Server
	Reason     string
	RetryAfter time.Duration
	// ReviewAt is when a waiting request must be reviewed.
	ReviewAt time.Time
}

// Waiter is a request in a queue.
type Waiter struct {
	Request *Request
	since   time.Time
	// fresh is the time until which the request can still end within its
	// objective, last the time until which it can end at all.
	fresh, last time.Time
}

// queue holds the waiting requests of a service in order of arrival.
type queue struct{ waiting []*Waiter }

// Submit decides about a new attempt. The Waiter is set when it waits.
func (t *Dispatcher) Submit(r *Request, now time.Time) (Decision, *Waiter) {
	server, possible := t.choose(r, now)
	if server != nil {
		t.begin(r, server, now)
		return Decision{Verdict: VerdictStart, Server: server, Reason: "room"}, nil
	}
	if !possible {
		return Decision{Verdict: VerdictReject, Reason: "no usable server", RetryAfter: ejectFirst}, nil
	}
	w := t.waiter(r, now)
	svc := t.services[r.Service]
	if reason := t.hopeless(svc, w, now); reason != "" {
		return Decision{Verdict: VerdictReject, Reason: reason, RetryAfter: t.retryAfter(svc, now)}, nil
	}
	svc.queue.waiting = append(svc.queue.waiting, w)
	return Decision{Verdict: VerdictWait, Reason: "no room", ReviewAt: w.review(now)}, w
}

func (t *Dispatcher) waiter(r *Request, now time.Time) *Waiter {
	work := t.work[r.Route]
	if work == 0 {
		work = t.services[r.Service].meanWork()
	}
	margin := time.Duration(workMargin * float64(work))
	return &Waiter{Request: r, since: now, fresh: r.ObjectiveAt.Add(-margin), last: r.Deadline.Add(-margin)}
}

func (w *Waiter) review(now time.Time) time.Time {
	if w.fresh.After(now) {
		return w.fresh
	}
	return w.last
}

// hopeless returns why a request should not wait, or "".
func (t *Dispatcher) hopeless(svc *service, w *Waiter, now time.Time) string {
	if !w.last.After(now) {
		return "too little time left"
	}
	if w.fresh.After(now) {
		return ""
	}
	if t.lateAhead(svc, w, now) >= t.lateRoom(svc, now) {
		return "late and the queue is full"
	}
	return ""
}

// lateAhead counts the late requests that go before w.
func (t *Dispatcher) lateAhead(svc *service, w *Waiter, now time.Time) int {
	n := 0
	for _, other := range svc.queue.waiting {
		if other == w {
			break
		}
		if !other.fresh.After(now) && other.Request.Priority <= w.Request.Priority {
			n++
		}
	}
	return n
}

// lateRoom is the number of late requests that may wait.
func (t *Dispatcher) lateRoom(svc *service, now time.Time) int {
	slots := 0
	for _, s := range svc.servers {
		if s.usable(now) {
			slots += s.Slots
		}
	}
	return int(lateQueueShare * float64(slots) / float64(t.members))
}

// retryAfter estimates when a refused caller finds room.
func (t *Dispatcher) retryAfter(svc *service, now time.Time) time.Duration {
	slots := max(1, t.lateRoom(svc, now))
	wait := svc.meanWork() * time.Duration(1+len(svc.queue.waiting)) / time.Duration(slots)
	return max(wait, retrySoon)
}

// Review decides about a waiting request whose review time has come. Unless the verdict
// is Wait, the request no longer waits.
func (t *Dispatcher) Review(w *Waiter, now time.Time) Decision {
	svc := t.services[w.Request.Service]
	reason := t.hopeless(svc, w, now)
	if reason == "" {
		return Decision{Verdict: VerdictWait, ReviewAt: w.review(now.Add(time.Millisecond))}
	}
	t.RemoveWaiter(w)
	return Decision{Verdict: VerdictReject, Reason: reason, RetryAfter: t.retryAfter(svc, now)}
}

// RemoveWaiter removes a request from its queue. It reports whether it waited.
func (t *Dispatcher) RemoveWaiter(w *Waiter) bool {
	q := &t.services[w.Request.Service].queue
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Assignment is a waiting request that starts.
type Assignment struct {
	Waiter *Waiter
	Server *Server
}

// StartWaiters starts the waiting requests of a service that have room now, the best first.
func (t *Dispatcher) StartWaiters(name string, now time.Time) []Assignment {
	svc := t.services[name]
	if svc == nil || len(svc.queue.waiting) == 0 {
		return nil
	}
	order := slices.Clone(svc.queue.waiting)
	slices.SortStableFunc(order, func(a, b *Waiter) int { return svc.before(a, b, now) })
	var grants []Assignment
	for _, w := range order {
		server, _ := t.choose(w.Request, now)
		if server == nil {
			continue
		}
		t.RemoveWaiter(w)
		t.begin(w.Request, server, now)
		grants = append(grants, Assignment{Waiter: w, Server: server})
	}
	return grants
}

// before orders waiting requests. Those that can end within their objective go
// first, by rank, then those of customers that use the least for their weight, then
// newest first: under overload that serves as many in time as there is room for, where
// the oldest first would serve each just too late. Late ones follow, oldest first.
func (s *service) before(a, b *Waiter, now time.Time) int {
	freshA, freshB := a.fresh.After(now), b.fresh.After(now)
	switch {
	case freshA && !freshB:
		return -1
	case freshB && !freshA:
		return 1
	}
	if d := a.Request.Priority - b.Request.Priority; d != 0 {
		return d
	}
	if useA, useB := s.running[a.Request.Customer], s.running[b.Request.Customer]; useA != useB {
		return cmp.Compare(useA, useB)
	}
	if freshA {
		return b.since.Compare(a.since)
	}
	return a.since.Compare(b.since)
}

// WaiterCount returns the number of requests that wait for a service.
func (t *Dispatcher) WaiterCount(name string) int {
	if svc := t.services[name]; svc != nil {
		return len(svc.queue.waiting)
	}
	return 0
}

// ServicesWithWaiters returns the services that requests wait for.
func (t *Dispatcher) ServicesWithWaiters() []string {
	var names []string
	for name, svc := range t.services {
		if len(svc.queue.waiting) > 0 {
			names = append(names, name)
		}
	}
	return names
}
