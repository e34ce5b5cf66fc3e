// Package fairqueue decides which waiting request of an entry instance runs
// next.
//
// The number of requests in progress is limited. Requests that do not fit wait
// in bounded queues, one per customer, and are served in start-time fair order:
// each customer receives service in proportion to its weight, whatever the
// others send. A request that would wait too long is refused at once.
//
// Queue is the pure core. Limiter makes it usable by concurrent requests.
package fairqueue

import (
	"container/list"
	"time"
)

// Bounds limits a Queue. All fields are required.
type Bounds struct {
	MaxInFlight  int           // requests that run at the same time
	MaxWaitingPerCustomer int           // requests of one customer that wait
	MaxWaiting     int           // requests that wait in total
	MaxWait     time.Duration // time that a request may wait
}

// DefaultBounds returns bounds for an entry instance in front of servers with
// slots slots in total.
func DefaultBounds(slots int) Bounds {
	slots = max(1, slots)
	return Bounds{
		MaxInFlight:  slots,
		MaxWaitingPerCustomer: 4 * slots,
		MaxWaiting:     16 * slots,
		MaxWait:     500 * time.Millisecond,
	}
}

// Request describes a request that arrives.
type Request struct {
	Customer string
	Weight   float64 // relative to other customers; not positive means 1
	Cost     float64 // work relative to other requests; not positive means 1
	// Deadline is when the caller gives up. Zero means none.
	Deadline time.Time
}

// ID names an admitted request within a Queue.
type ID uint64

// SubmitResult is the answer to a request that was not refused.
type SubmitResult struct {
	ID      ID
	Admitted bool // the request may run; otherwise it waits
	// DisplacedID is a waiting request that was removed to make room, 0 if none.
	DisplacedID ID
}

// waiter is a request in the queue of its customer.
type waiter struct {
	id   ID
	cost float64
	flow *flow
	elem *list.Element
}

// flow is one customer's queue. start is the virtual start time of its first
// waiter, or the virtual finish time of its last request when none waits.
type flow struct {
	customer string
	weight   float64
	start    float64
	cost     float64    // sum over the waiters
	waiters  *list.List // of *waiter
}

// Queue is the pure core: it holds no clock, lock or channel.
type Queue struct {
	bounds  Bounds
	flows   map[string]*flow
	byID    map[ID]*waiter
	running map[ID]time.Time // when each request in progress started
	virtual float64          // start of the last request that was served
	nextID  ID
	service serviceTime
}

// NewQueue returns an empty queue.
func NewQueue(b Bounds) *Queue {
	return &Queue{
		bounds:  b,
		flows:   make(map[string]*flow),
		byID:    make(map[ID]*waiter),
		running: make(map[ID]time.Time),
	}
}

// MaxInFlight returns the number of requests that run.
func (q *Queue) InFlight() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.byID) }

// Submit admits, enqueues or refuses a request. It returns *RefusedError.
func (q *Queue) Submit(r Request, now time.Time) (SubmitResult, error) {
	r.Weight = orOne(r.Weight)
	r.Cost = orOne(r.Cost)
	if len(q.byID) == 0 && len(q.running) < q.bounds.MaxInFlight {
		return q.grantIdle(r, now), nil
	}
	f := q.flow(r)
	wait := q.expectedWait(f)
	if err := q.refuse(r, f, wait, now); err != nil {
		q.dropIdle(f)
		return SubmitResult{}, err
	}
	displaced, err := q.makeRoom(f, wait)
	if err != nil {
		q.dropIdle(f)
		return SubmitResult{}, err
	}
	return SubmitResult{ID: q.enqueue(f, r.Cost), DisplacedID: displaced}, nil
}

// orOne replaces values that cannot be used as a weight or cost.
func orOne(v float64) float64 {
	if v > 0 && v <= maxRelative {
		return v
	}
	return 1
}

// maxRelative bounds weights and costs, so that virtual time stays finite.
const maxRelative = 1e9

// grantIdle admits a request while there is room. Virtual time restarts, because
// service that nobody waited for is not counted against a customer.
func (q *Queue) grantIdle(r Request, now time.Time) SubmitResult {
	clear(q.flows)
	q.virtual = 0
	f := q.flow(r)
	f.start = r.Cost / r.Weight
	return SubmitResult{ID: q.start(q.newID(), now), Admitted: true}
}

func (q *Queue) newID() ID {
	q.nextID++
	return q.nextID
}

func (q *Queue) start(id ID, now time.Time) ID {
	q.running[id] = now
	return id
}

// flow returns the customer's queue with the current weight.
func (q *Queue) flow(r Request) *flow {
	f := q.flows[r.Customer]
	if f == nil {
		f = &flow{customer: r.Customer, waiters: list.New()}
		q.flows[r.Customer] = f
	}
	f.weight = r.Weight
	if f.waiters.Len() == 0 {
		f.start = max(f.start, q.virtual)
	}
	return f
}

// dropIdle forgets a customer whose past no longer affects the order.
func (q *Queue) dropIdle(f *flow) {
	if f.waiters.Len() == 0 && f.start <= q.virtual {
		delete(q.flows, f.customer)
	}
}

func (q *Queue) enqueue(f *flow, cost float64) ID {
	w := &waiter{id: q.newID(), cost: cost, flow: f}
	w.elem = f.waiters.PushBack(w)
	f.cost += cost
	q.byID[w.id] = w
	return w.id
}

// Cancel removes a waiting request. It reports whether the request waited.
func (q *Queue) Cancel(id ID) bool {
	w := q.byID[id]
	if w == nil {
		return false
	}
	q.remove(w)
	q.dropIdle(w.flow)
	return true
}

func (q *Queue) remove(w *waiter) {
	w.flow.waiters.Remove(w.elem)
	w.flow.cost -= w.cost
	if w.flow.waiters.Len() == 0 {
		w.flow.cost = 0 // drops rounding errors
	}
	delete(q.byID, w.id)
}

// Complete ends a request in progress and returns the requests that start now.
func (q *Queue) Complete(id ID, now time.Time) []ID {
	started, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.service.add(now.Sub(started))
	return q.dispatch(now)
}

// Abandon ends a request that was granted but never ran. It does not count as a
// service time. It returns the requests that start now.
func (q *Queue) Abandon(id ID, now time.Time) []ID {
	delete(q.running, id)
	return q.dispatch(now)
}

// SetBounds replaces the bounds and returns the requests that start now.
// Requests that wait or run stay.
func (q *Queue) SetBounds(b Bounds, now time.Time) []ID {
	q.bounds = b
	return q.dispatch(now)
}

func (q *Queue) dispatch(now time.Time) []ID {
	var started []ID
	for len(q.running) < q.bounds.MaxInFlight && len(q.byID) > 0 {
		started = append(started, q.start(q.serve(q.first()), now))
	}
	return started
}

// first returns the customer whose next request has the earliest virtual start.
// The number of customers is small, so a scan is enough.
func (q *Queue) first() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.waiters.Len() > 0 && (best == nil || f.before(best)) {
			best = f
		}
	}
	return best
}

// before orders flows by virtual start and, when equal, by arrival.
func (f *flow) before(o *flow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.head().id < o.head().id
}

func (f *flow) head() *waiter { return f.waiters.Front().Value.(*waiter) }

// serve removes the first waiter of f and moves virtual time.
func (q *Queue) serve(f *flow) ID {
	w := f.head()
	q.remove(w)
	q.virtual = max(q.virtual, f.start)
	f.start += w.cost / f.weight
	return w.id
}
