package dispatch

import (
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
	otherServers      int
	requestsPerSecond float64 // of each instance
	limit             float64 // requests per second of s0
}

const (
	rateLimitBegin = 5 * time.Second
	rateLimitEnd   = 25 * time.Second
	rateLimitRun   = 30 * time.Second
)

// limitedServerResult has the arrivals at s0 and the rejections, as times since the start.
type limitedServerResult struct {
	arrivals, rejections []time.Duration
	offered              int
}

func (run limitedServerRun) play() limitedServerResult {
	const step = 5 * time.Millisecond
	const serviceTime = 50 * time.Millisecond
	type attempt struct {
		request *Request
		server  *Server
		endsAt  time.Duration
	}
	var servers []routes.Server
	for i := range run.otherServers + 1 {
		servers = append(servers, routes.Server{ID: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "books", Zone: "a", Slots: 8, Ready: true, Incarnation: 1})
	}
	var result limitedServerResult
	for member := range run.members {
		rng := rand.New(rand.NewPCG(uint64(member), 7))
		dispatcher := NewDispatcher(Locality{Zone: "a", Region: "r1", RegionByZone: map[string]string{"a": "r1"}}, rng)
		dispatcher.SetServices(map[string]*routes.Service{"books": {Name: "books"}})
		dispatcher.SetMembers(run.members)
		dispatcher.SetServers(servers, nil, start)
		var running []attempt
		var waiting []*Waiter
		begin := func(r *Request, s *Server, at time.Duration) {
			running = append(running, attempt{r, s, at + serviceTime})
			if s.ID == "s0" {
				result.arrivals = append(result.arrivals, at)
			}
		}
		nextRequest := time.Duration(rng.Float64() / run.requestsPerSecond * float64(time.Second))
		for at := time.Duration(0); at < rateLimitRun; at += step {
			now := start.Add(at)
			kept := running[:0]
			for _, a := range running {
				if a.endsAt > at {
					kept = append(kept, a)
					continue
				}
				rate := &RateReport{}
				if a.server.ID == "s0" && at >= rateLimitBegin && at < rateLimitEnd {
					rate = &RateReport{Limited: true, PerSecond: run.limit}
				}
				dispatcher.Finish(a.request, a.server, AttemptResult{Outcome: OutcomeSucceeded, Duration: serviceTime, Rate: rate}, now)
			}
			running = kept
			for _, a := range dispatcher.StartWaiters("books", now) {
				begin(a.Waiter.Request, a.Server, at)
				waiting = slices.DeleteFunc(waiting, func(w *Waiter) bool { return w == a.Waiter })
			}
			waiting = slices.DeleteFunc(waiting, func(w *Waiter) bool {
				rejected := dispatcher.Review(w, now).Verdict == VerdictReject
				if rejected {
					result.rejections = append(result.rejections, at)
				}
				return rejected
			})
			for ; nextRequest <= at; nextRequest += time.Duration(rng.ExpFloat64() / run.requestsPerSecond * float64(time.Second)) {
				result.offered++
				r := newRequest(uint64(rng.IntN(20))+1, now)
				decision, waiter := dispatcher.Submit(r, now)
				switch decision.Verdict {
				case VerdictStart:
					begin(r, decision.Server, at)
				case VerdictReject:
					result.rejections = append(result.rejections, at)
				default:
					waiting = append(waiting, waiter)
				}
			}
		}
	}
	return result
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

// A server that limits its rate must not get more requests from the fleet than it takes: in 4 s
// up to half as many again, and 5 more.
func TestFleetKeepsTheRateLimitOfAServer(t *testing.T) {
	const window = 4 * time.Second
	for name, run := range map[string]limitedServerRun{
		"other servers have room": {members: 7, otherServers: 4, requestsPerSecond: 20, limit: 6.3},
		"the only server":         {members: 7, otherServers: 0, requestsPerSecond: 4, limit: 9},
		"large fleet":             {members: 300, otherServers: 9, requestsPerSecond: 1, limit: 12},
		"low limit":               {members: 7, otherServers: 2, requestsPerSecond: 10, limit: 0.4},
		"takes nothing":           {members: 7, otherServers: 2, requestsPerSecond: 10, limit: 0},
		"high limit":              {members: 3, otherServers: 2, requestsPerSecond: 30, limit: 40},
	} {
		t.Run(name, func(t *testing.T) {
			result := run.play()
			allowed := 1.5*run.limit*window.Seconds() + 5
			for from := rateLimitBegin + 3*time.Second; from+window <= rateLimitEnd; from += 100 * time.Millisecond {
				must.LessEq(t, allowed, float64(count(result.arrivals, from, from+window)), must.Sprintf("requests from %s", from))
			}
		})
	}
}
