package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
)

// waiterScanInterval is the time between periodic searches for free capacity for waiting
// requests, as in package gateway.
const waiterScanInterval = 20 * time.Millisecond

// instance is an entry instance with the real dispatcher.
type instance struct {
	dispatcher *dispatch.Dispatcher
	region     int
	waiting    map[*dispatch.Waiter]*call
}

func newInstance(locality dispatch.Locality, region int, members int, seed uint64) *instance {
	i := &instance{
		dispatcher: dispatch.NewDispatcher(locality, rand.New(rand.NewPCG(seed, 2))),
		region:     region,
		waiting:    make(map[*dispatch.Waiter]*call),
	}
	i.dispatcher.SetMembers(members)
	return i
}

// call is a request of a caller, over all of its attempts.
type call struct {
	instance  *instance
	request   *dispatch.Request
	arrivedAt time.Time
	returned  bool // the caller has come back after a rejection
}

// attempt is a call that is sent to a server.
type attempt struct {
	call      *call
	server    *dispatch.Server
	startedAt time.Time
}

// submit passes a call to the dispatcher.
func (i *instance) submit(w *world, c *call) {
	decision, waiter := i.dispatcher.Submit(c.request, w.now)
	switch decision.Verdict {
	case dispatch.VerdictStart:
		w.send(c, decision.Server)
	case dispatch.VerdictWait:
		i.waiting[waiter] = c
		w.at(decision.ReviewAt, func() { i.review(w, waiter) })
	case dispatch.VerdictReject:
		w.reject(c, decision.RetryAfter)
	}
}

// review decides whether a call may wait any longer.
func (i *instance) review(w *world, waiter *dispatch.Waiter) {
	c := i.waiting[waiter]
	if c == nil {
		return // it has started in the meantime
	}
	decision := i.dispatcher.Review(waiter, w.now)
	if decision.Verdict == dispatch.VerdictWait {
		w.at(decision.ReviewAt, func() { i.review(w, waiter) })
		return
	}
	delete(i.waiting, waiter)
	w.reject(c, decision.RetryAfter)
}

// startWaiters starts the waiting calls for which there is free capacity.
func (i *instance) startWaiters(w *world) {
	for _, assignment := range i.dispatcher.StartWaiters(serviceName, w.now) {
		c := i.waiting[assignment.Waiter]
		delete(i.waiting, assignment.Waiter)
		w.send(c, assignment.Server)
	}
}

// scan starts waiting calls periodically.
func (i *instance) scan(w *world) {
	if len(i.waiting) > 0 {
		i.startWaiters(w)
	}
	w.after(waiterScanInterval, func() { i.scan(w) })
}
