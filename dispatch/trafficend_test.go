package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// trafficSimulation sends requests through a dispatcher in steps of 10 ms. Each request
// takes 400 ms in a slot of its server, and waits at the server until a slot is free.
type trafficSimulation struct {
	dispatcher *Dispatcher
	slotFreeAt map[*Server][]time.Time       // of each slot
	endingAt   map[time.Time][]*Assignment   // running attempts, of which only request and server are set, by the time at which they end
	onStart    func(s *Server, at time.Time) // called for each attempt that starts
}

// start begins an attempt on a server.
func (sim *trafficSimulation) start(r *Request, s *Server, now time.Time) {
	if sim.slotFreeAt[s] == nil {
		sim.slotFreeAt[s] = make([]time.Time, s.Slots)
	}
	slots := sim.slotFreeAt[s]
	slices.SortFunc(slots, time.Time.Compare)
	begin := now
	if slots[0].After(now) {
		begin = slots[0]
	}
	end := begin.Add(400 * time.Millisecond)
	slots[0] = end
	sim.endingAt[end] = append(sim.endingAt[end], &Assignment{Waiter: &Waiter{Request: r}, Server: s})
	sim.onStart(s, now)
}

// step ends the attempts that are due and starts waiting requests in their place.
func (sim *trafficSimulation) step(now time.Time) {
	for _, attempt := range sim.endingAt[now] {
		sim.dispatcher.Finish(attempt.Waiter.Request, attempt.Server, AttemptResult{Outcome: OutcomeSucceeded, Duration: 400 * time.Millisecond}, now)
	}
	delete(sim.endingAt, now)
	for _, assignment := range sim.dispatcher.StartWaiters("books", now) {
		sim.start(assignment.Waiter.Request, assignment.Server, now)
	}
}

// When traffic ends, the requests that are left are those that wait for the busy servers of
// another region. They must not all run there: the share of that region may change by at
// most the maximum region shift.
func TestWaitingRequestsKeepTheRegionShareWhenTrafficEnds(t *testing.T) {
	const maxShift = 0.15
	dispatcher, _ := newTestDispatcher(t, 6, "a", "a", "a", "a", "c")
	dispatcher.SetMaxRegionShift(maxShift)
	var total, inOtherRegion [4]int // in windows of two seconds
	sim := &trafficSimulation{dispatcher: dispatcher, slotFreeAt: make(map[*Server][]time.Time), endingAt: make(map[time.Time][]*Assignment), onStart: func(s *Server, at time.Time) {
		window := at.Sub(start) / (2 * time.Second)
		total[window]++
		if s.Region == "r2" {
			inOtherRegion[window]++
		}
	}}
	for ms := 0; ms < 8000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		sim.step(now)
		if ms >= 4000 || ms%20 != 0 {
			continue
		}
		zone := "a"
		if ms%40 == 0 {
			zone = "c"
		}
		r := &Request{
			Service: "books", Route: "read", ObjectHash: objectWithFirstServerIn(dispatcher, zone, uint64(ms%400)),
			ObjectiveAt: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
		}
		if d, _ := dispatcher.Submit(r, now); d.Verdict == VerdictStart {
			sim.start(r, d.Server, now)
		}
	}
	must.GreaterEq(t, 20, total[2]) // enough requests to compare shares
	must.InDelta(t, float64(inOtherRegion[1])/float64(total[1]), float64(inOtherRegion[2])/float64(total[2]), maxShift)
}
