// Package fairqueue limits the requests in flight at an entry instance and
// schedules the waiting ones by start-time fair queuing.
//
// Requests above the limit wait in bounded queues, one per customer. Each
// customer is served in proportion to its weight, regardless of how much the
// others send. A request that would wait too long is rejected on arrival.
//
// Queue implements the scheduling without locks or clocks. Limiter is the
// blocking interface for concurrent requests.
package fairqueue

import (
	"container/list"
	"time"
)

// Bounds configures the limits of a Queue. All fields are required.
type Bounds struct {
	MaxInFlight           int           // maximum number of requests in flight
	MaxWaitingPerCustomer int           // maximum number of waiting requests of one customer
	MaxWaiting            int           // maximum number of waiting requests in total
	MaxWait               time.Duration // maximum time that a request waits
}

// DefaultBounds returns the bounds for an entry instance that may have slots
// requests in flight at its backend servers.
func DefaultBounds(slots int) Bounds {
	slots = max(1, slots)
	return Bounds{
		MaxInFlight:           slots,
		MaxWaitingPerCustomer: 4 * slots,
		MaxWaiting:            16 * slots,
		MaxWait:               500 * time.Millisecond,
	}
}

// Request describes an arriving request.
type Request struct {
	Customer string
	Weight   float64 // relative to other customers; values that are not positive mean 1
	Cost     float64 // work relative to other requests; values that are not positive mean 1
	// Deadline is the time from which the caller no longer waits. The zero value
	// means no deadline.
	Deadline time.Time
}

// ID identifies a waiting or running request within a Queue.
type ID uint64

// SubmitResult is the result for a request that was not rejected.
type SubmitResult struct {
	ID       ID
	Admitted bool // the request runs now; otherwise it waits
	// DisplacedID is the waiting request that was removed from the full queue for
	// this one, 0 if none.
	DisplacedID ID
}

// waiter is a request in the queue of its customer.
type waiter struct {
	id      ID
	cost    float64
	flow    *flow
	element *list.Element
}

// flow holds the waiting requests of one customer. virtualStart is the virtual start time of
// its first waiter or, without waiters, the virtual finish time of its last
// request.
type flow struct {
	customer     string
	weight       float64
	virtualStart float64
	waitingCost  float64    // sum of the waiters' costs
	waiters      *list.List // of *waiter
}

// Queue schedules requests. It uses no clock, lock or channel; callers pass the
// time and serialize the calls.
type Queue struct {
	bounds      Bounds
	flows       map[string]*flow
	waitersByID map[ID]*waiter
	startedAt   map[ID]time.Time // start times of the requests in flight
	virtualTime float64          // virtual start time of the last request taken from the queue
	nextID      ID
	serviceTime serviceTime
}

// NewQueue returns an empty queue.
func NewQueue(b Bounds) *Queue {
	return &Queue{
		bounds:      b,
		flows:       make(map[string]*flow),
		waitersByID: make(map[ID]*waiter),
		startedAt:   make(map[ID]time.Time),
	}
}

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int { return len(q.startedAt) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waitersByID) }

// Submit admits, enqueues or rejects a request. Its errors are *RefusedError.
func (q *Queue) Submit(r Request, now time.Time) (SubmitResult, error) {
	r.Weight = validOrOne(r.Weight)
	r.Cost = validOrOne(r.Cost)
	if len(q.waitersByID) == 0 && len(q.startedAt) < q.bounds.MaxInFlight {
		return q.admitWithoutWaiting(r, now), nil
	}
	f := q.flowFor(r)
	wait := q.expectedWait(f)
	if err := q.rejectionFor(r, f, wait, now); err != nil {
		q.deleteIfIdle(f)
		return SubmitResult{}, err
	}
	displaced, err := q.displaceWaiter(f, wait)
	if err != nil {
		q.deleteIfIdle(f)
		return SubmitResult{}, err
	}
	return SubmitResult{ID: q.enqueue(f, r.Cost), DisplacedID: displaced}, nil
}

// validOrOne replaces values that are not usable as a weight or cost by 1.
func validOrOne(v float64) float64 {
	if v > 0 && v <= maxWeightOrCost {
		return v
	}
	return 1
}

// maxWeightOrCost bounds weights and costs, so that virtual time stays finite.
const maxWeightOrCost = 1e9

// admitWithoutWaiting admits a request when fewer than the maximum are in flight
// and none waits. It resets virtual time: service received while no request
// waited is not counted against a customer.
func (q *Queue) admitWithoutWaiting(r Request, now time.Time) SubmitResult {
	clear(q.flows)
	q.virtualTime = 0
	f := q.flowFor(r)
	f.virtualStart = r.Cost / r.Weight
	return SubmitResult{ID: q.startRequest(q.newID(), now), Admitted: true}
}

func (q *Queue) newID() ID {
	q.nextID++
	return q.nextID
}

func (q *Queue) startRequest(id ID, now time.Time) ID {
	q.startedAt[id] = now
	return id
}

// flowFor returns the flow of the request's customer, created if necessary, and
// sets its weight to the request's.
func (q *Queue) flowFor(r Request) *flow {
	f := q.flows[r.Customer]
	if f == nil {
		f = &flow{customer: r.Customer, waiters: list.New()}
		q.flows[r.Customer] = f
	}
	f.weight = r.Weight
	if f.waiters.Len() == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
	}
	return f
}

// deleteIfIdle deletes a flow without waiters whose earlier service no longer
// affects the order.
func (q *Queue) deleteIfIdle(f *flow) {
	if f.waiters.Len() == 0 && f.virtualStart <= q.virtualTime {
		delete(q.flows, f.customer)
	}
}

func (q *Queue) enqueue(f *flow, cost float64) ID {
	w := &waiter{id: q.newID(), cost: cost, flow: f}
	w.element = f.waiters.PushBack(w)
	f.waitingCost += cost
	q.waitersByID[w.id] = w
	return w.id
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(id ID) bool {
	w := q.waitersByID[id]
	if w == nil {
		return false
	}
	q.removeWaiter(w)
	q.deleteIfIdle(w.flow)
	return true
}

func (q *Queue) removeWaiter(w *waiter) {
	w.flow.waiters.Remove(w.element)
	w.flow.waitingCost -= w.cost
	if w.flow.waiters.Len() == 0 {
		w.flow.waitingCost = 0 // drops rounding errors
	}
	delete(q.waitersByID, w.id)
}

// Complete ends a request in flight, records its service time and returns the
// requests that start now.
func (q *Queue) Complete(id ID, now time.Time) []ID {
	started, ok := q.startedAt[id]
	if !ok {
		return nil
	}
	delete(q.startedAt, id)
	q.serviceTime.observe(now.Sub(started))
	return q.startWaiters(now)
}

// Abandon ends a request that was admitted but never ran, without recording a
// service time, and returns the requests that start now.
func (q *Queue) Abandon(id ID, now time.Time) []ID {
	delete(q.startedAt, id)
	return q.startWaiters(now)
}

// SetBounds replaces the bounds and returns the requests that start now. Requests
// that are already waiting or in flight are kept, even above the new bounds.
func (q *Queue) SetBounds(b Bounds, now time.Time) []ID {
	q.bounds = b
	return q.startWaiters(now)
}

func (q *Queue) startWaiters(now time.Time) []ID {
	var started []ID
	for len(q.startedAt) < q.bounds.MaxInFlight && len(q.waitersByID) > 0 {
		started = append(started, q.startRequest(q.dequeue(q.nextFlow()), now))
	}
	return started
}

// nextFlow returns the flow whose first waiter has the earliest virtual
// start time. There are few customers, so a linear scan is fast enough.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.waiters.Len() > 0 && (best == nil || f.servedBefore(best)) {
			best = f
		}
	}
	return best
}

// servedBefore orders flows by virtual start time, then by the arrival
// of their first waiters.
func (f *flow) servedBefore(o *flow) bool {
	if f.virtualStart != o.virtualStart {
		return f.virtualStart < o.virtualStart
	}
	return f.firstWaiter().id < o.firstWaiter().id
}

func (f *flow) firstWaiter() *waiter { return f.waiters.Front().Value.(*waiter) }

// dequeue removes the first waiter of f and advances virtual time.
func (q *Queue) dequeue(f *flow) ID {
	w := f.firstWaiter()
	q.removeWaiter(w)
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += w.cost / f.weight
	return w.id
}
