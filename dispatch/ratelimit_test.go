package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/routes"
)

// limitedServerRun plays the load of a fleet whose server s0 limits its rate from rateLimitBegin to
// rateLimitEnd. All servers take 50 ms for a request.
type limitedServerRun struct {
	members           int
	activeMembers     int // the only ones with requests; 0 for all
	otherServers      int
	requestsPerSecond float64 // of each active instance
	limit             float64 // requests per second of s0
}

const (
	rateLimitBegin  = 5 * time.Second
	rateLimitEnd    = 25 * time.Second
	rateLimitRun    = 30 * time.Second
	testServiceTime = 50 * time.Millisecond
)

// limitedServerResult has the arrivals at s0 from instances that have known the limit for half a
// second, all its arrivals, and the rejections, as times since the start.
type limitedServerResult struct {
	informedArrivals, arrivals, rejections []time.Duration
}

// limitedServerInstance is an instance of a limitedServerRun.
type limitedServerInstance struct {
	dispatcher  *Dispatcher
	rng         *rand.Rand
	running     []runningAttempt
	waiting     []*Waiter
	nextRequest time.Duration
	informedAt  time.Duration // time of the first response with the limit, 0 before it
}

// runningAttempt is a request in progress at a server.
type runningAttempt struct {
	request *Request
	server  *Server
	endsAt  time.Duration
}

func (run limitedServerRun) play() limitedServerResult {
	const step = 5 * time.Millisecond
	var servers []routes.Server
	for i := range run.otherServers + 1 {
		servers = append(servers, routes.Server{ID: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "books", Zone: "a", Slots: 8, Ready: true, Incarnation: 1})
	}
	var instances []*limitedServerInstance
	for member := range run.members {
		rng := rand.New(rand.NewPCG(uint64(member), 7))
		dispatcher := NewDispatcher(Locality{Zone: "a", Region: "r1", RegionByZone: map[string]string{"a": "r1"}}, rng)
		dispatcher.SetServices(map[string]*routes.Service{"books": {Name: "books"}})
		dispatcher.SetMembers(run.members)
		dispatcher.SetServers(servers, nil, start)
		instance := &limitedServerInstance{dispatcher: dispatcher, rng: rng, nextRequest: rateLimitRun}
		if run.activeMembers == 0 || member < run.activeMembers {
			instance.nextRequest = time.Duration(rng.Float64() / run.requestsPerSecond * float64(time.Second))
		}
		instances = append(instances, instance)
	}
	var result limitedServerResult
	for at := time.Duration(0); at < rateLimitRun; at += step {
		if at%time.Second == 0 {
			exchangeRateDemands(instances, int(at/time.Second), start.Add(at))
		}
		for _, instance := range instances {
			run.advance(instance, at, &result)
		}
	}
	return result
}

// exchangeRateDemands passes the demand of each instance to all others or, in a large fleet, to one
// that changes with each round.
func exchangeRateDemands(instances []*limitedServerInstance, round int, now time.Time) {
	for i, from := range instances {
		demands := from.dispatcher.RateDemands(32, now)
		for distance := 1; distance < len(instances); distance++ {
			if len(instances) > 9 && distance != 1+round%(len(instances)-1) {
				continue
			}
			to := instances[(i+distance)%len(instances)]
			to.dispatcher.MergeRateDemands(fmt.Sprint(i), demands, 0, now)
		}
	}
}

// advance ends and starts the requests of an instance that are due.
func (run limitedServerRun) advance(i *limitedServerInstance, at time.Duration, result *limitedServerResult) {
	now := start.Add(at)
	begin := func(r *Request, s *Server) {
		i.running = append(i.running, runningAttempt{r, s, at + testServiceTime})
		if s.ID != "s0" {
			return
		}
		result.arrivals = append(result.arrivals, at)
		if i.informedAt > 0 && at >= i.informedAt+500*time.Millisecond {
			result.informedArrivals = append(result.informedArrivals, at)
		}
	}
	i.running = slices.DeleteFunc(i.running, func(a runningAttempt) bool {
		if a.endsAt > at {
			return false
		}
		rate := &RateReport{}
		if a.server.ID == "s0" && at >= rateLimitBegin && at < rateLimitEnd {
			rate = &RateReport{Limited: true, PerSecond: run.limit}
			i.informedAt = cmp.Or(i.informedAt, at)
		}
		i.dispatcher.Finish(a.request, a.server, AttemptResult{Outcome: OutcomeSucceeded, Duration: testServiceTime, Rate: rate}, now)
		return true
	})
	for _, a := range i.dispatcher.StartWaiters("books", now) {
		begin(a.Waiter.Request, a.Server)
		i.waiting = slices.DeleteFunc(i.waiting, func(w *Waiter) bool { return w == a.Waiter })
	}
	i.waiting = slices.DeleteFunc(i.waiting, func(w *Waiter) bool {
		rejected := i.dispatcher.Review(w, now).Verdict == VerdictReject
		if rejected {
			result.rejections = append(result.rejections, at)
		}
		return rejected
	})
	for ; i.nextRequest <= at; i.nextRequest += time.Duration(i.rng.ExpFloat64() / run.requestsPerSecond * float64(time.Second)) {
		r := newRequest(uint64(i.rng.IntN(20))+1, now)
		decision, waiter := i.dispatcher.Submit(r, now)
		switch decision.Verdict {
		case VerdictStart:
			begin(r, decision.Server)
		case VerdictReject:
			result.rejections = append(result.rejections, at)
		default:
			i.waiting = append(i.waiting, waiter)
		}
	}
}

// count returns the number of times from one to another.
func count(times []time.Duration, from, to time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// A server that limits its rate must not get more requests than it takes from the instances that
// know the limit: in 4 s up to half as many again, and 5 more.
func TestFleetKeepsTheRateLimitOfAServer(t *testing.T) {
	const window = 4 * time.Second
	for name, run := range map[string]limitedServerRun{
		"other servers have room": {members: 7, otherServers: 4, requestsPerSecond: 20, limit: 6.3},
		"the only server":         {members: 7, otherServers: 0, requestsPerSecond: 4, limit: 9},
		"large fleet":             {members: 300, otherServers: 9, requestsPerSecond: 1, limit: 12},
		"low limit":               {members: 7, otherServers: 2, requestsPerSecond: 10, limit: 0.4},
		"takes nothing":           {members: 7, otherServers: 2, requestsPerSecond: 10, limit: 0},
		"high limit":              {members: 3, otherServers: 2, requestsPerSecond: 30, limit: 40},
		"small rate per instance": {members: 9, otherServers: 3, requestsPerSecond: 3, limit: 1.5},
		"few known instances":     {members: 13, activeMembers: 7, otherServers: 1, requestsPerSecond: 15, limit: 6},
		"two instances":           {members: 7, activeMembers: 2, otherServers: 0, requestsPerSecond: 20, limit: 9},
	} {
		t.Run(name, func(t *testing.T) {
			result := run.play()
			allowed := 1.5*run.limit*window.Seconds() + 5
			for from := rateLimitBegin + 3*time.Second; from+window <= rateLimitEnd; from += 100 * time.Millisecond {
				must.LessEq(t, allowed, float64(count(result.informedArrivals, from, from+window)), must.Sprintf("requests from %s", from))
			}
		})
	}
}

// The rate that a limited server takes must be used by the instances with requests for it, and in
// full again after the limit ends. Requests beyond it must not be rejected while other servers
// have room.
func TestRateLimitOfAServerIsUsed(t *testing.T) {
	for name, c := range map[string]struct {
		run       limitedServerRun
		rejecting bool // the other servers have no room for all requests
	}{
		"all instances": {limitedServerRun{members: 7, otherServers: 0, requestsPerSecond: 4, limit: 9}, true},
		"two instances": {limitedServerRun{members: 7, activeMembers: 2, otherServers: 0, requestsPerSecond: 20, limit: 9}, true},
		"other servers": {limitedServerRun{members: 7, otherServers: 2, requestsPerSecond: 10, limit: 9}, false},
	} {
		t.Run(name, func(t *testing.T) {
			result := c.run.play()
			from, to := rateLimitBegin+5*time.Second, rateLimitEnd
			used := float64(count(result.arrivals, from, to)) / (to - from).Seconds() / c.run.limit
			must.Between(t, 0.8, used, 1.1, must.Sprintf("part of the limit that was used"))
			before := count(result.arrivals, rateLimitBegin-4*time.Second, rateLimitBegin)
			after := count(result.arrivals, rateLimitEnd+time.Second, rateLimitEnd+5*time.Second)
			must.GreaterEq(t, 0.7*float64(before), float64(after))
			must.Eq(t, c.rejecting, len(result.rejections) > 0)
		})
	}
}

// A limit must not end with a response that was written before it, nor with a failure.
func TestRateLimitEndsOnlyWithALaterSuccess(t *testing.T) {
	limit, none := &RateReport{Limited: true, PerSecond: 2}, &RateReport{}
	for name, c := range map[string]struct {
		last    AttemptResult
		limited bool
	}{
		"later success":            {AttemptResult{Outcome: OutcomeSucceeded, Duration: time.Second, Rate: none}, false},
		"earlier success":          {AttemptResult{Outcome: OutcomeSucceeded, Duration: 3 * time.Second, Rate: none}, true},
		"failure":                  {AttemptResult{Outcome: OutcomeFailed, Duration: time.Second, Rate: none}, true},
		"rejection":                {AttemptResult{Outcome: OutcomeRejected, Duration: time.Second, Rate: none}, true},
		"malformed limit":          {AttemptResult{Outcome: OutcomeSucceeded, Duration: time.Second}, true},
		"response of another one":  {AttemptResult{Outcome: OutcomeMisdirected, Duration: time.Second, Rate: none}, true},
		"rejection names a limit":  {AttemptResult{Outcome: OutcomeRejected, Duration: time.Second, Rate: limit}, true},
		"no response, broken link": {AttemptResult{Outcome: OutcomeUnreachable, Duration: time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher, _ := newTestDispatcher(t, 4, "a")
			begin := func() (*Request, *Server) {
				r := newRequest(1, start)
				decision, _ := dispatcher.Submit(r, start)
				must.Eq(t, VerdictStart, decision.Verdict)
				return r, decision.Server
			}
			first, server := begin()
			second, _ := begin()
			dispatcher.Finish(first, server, AttemptResult{Outcome: OutcomeSucceeded, Duration: time.Second, Rate: limit}, start.Add(time.Second))
			dispatcher.Finish(second, server, c.last, start.Add(3*time.Second))
			_, limited := server.RateLimit(start.Add(3 * time.Second))
			must.Eq(t, c.limited, limited)
		})
	}
}
