package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/routes"
)

// Names of the only service and route.
const (
	serviceName = "service"
	routeName   = "route"
)

// Round trips within a region.
const (
	zoneRoundTrip   = 200 * time.Microsecond
	regionRoundTrip = 2 * time.Millisecond
)

// event is something that happens at a simulated time.
type event struct {
	at    time.Time
	order int // events of the same time happen in the order in which they were added
	run   func()
}

// eventQueue is a heap of events by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// world is the state of a run.
type world struct {
	deployment *Deployment
	now        time.Time
	start, end time.Time // requests arrive from start to end
	events     eventQueue
	added      int
	rng        *rand.Rand
	servers    map[string]*server // by ID
	instances  []*instance
	report     *Report
}

func (w *world) at(t time.Time, run func()) {
	w.added++
	heap.Push(&w.events, &event{at: t, order: w.added, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// newWorld returns the fleet of a deployment before the first request.
func newWorld(d *Deployment) *world {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		deployment: d, now: start, start: start, end: start.Add(d.Duration),
		rng: rand.New(rand.NewPCG(d.Seed, 3)), servers: make(map[string]*server), report: newReport(d),
	}
	regionByZone := make(map[string]string)
	var listed []routes.Server
	for region, zones := range d.ServersByZone {
		for zone, servers := range zones {
			name := zoneName(region, zone)
			regionByZone[name] = fmt.Sprintf("region-%d", region)
			for n := range servers {
				id := fmt.Sprintf("%s-server-%d", name, n)
				w.servers[id] = newServer(d, region)
				listed = append(listed, routes.Server{ID: id, Address: id, Service: serviceName, Zone: name, Slots: d.Slots, Ready: true, Incarnation: 1})
			}
		}
	}
	members := len(regionByZone) * d.InstancesPerZone
	for region, zones := range d.ServersByZone {
		for zone := range zones {
			for range d.InstancesPerZone {
				locality := dispatch.Locality{Zone: zoneName(region, zone), Region: fmt.Sprintf("region-%d", region), RegionByZone: regionByZone}
				i := newInstance(locality, region, members, d.Seed+uint64(len(w.instances)))
				i.dispatcher.SetServices(map[string]*routes.Service{serviceName: {Name: serviceName}})
				i.dispatcher.SetServers(listed, nil, start)
				w.instances = append(w.instances, i)
			}
		}
	}
	return w
}

func zoneName(region, zone int) string { return fmt.Sprintf("zone-%d-%d", region, zone) }

// arrivals adds the next request of the callers of an instance, and so on until the end.
func (w *world) arrivals(i *instance) {
	mean := float64(len(w.instances)) / w.deployment.requestsPerSecond() * float64(time.Second)
	w.after(time.Duration(w.rng.ExpFloat64()*mean), func() {
		if w.now.After(w.end) {
			return
		}
		w.newCall(i)
		w.arrivals(i)
	})
}

// whileRequestsArrive returns the time from begin to now without the time after the end of
// arrivals.
func (w *world) whileRequestsArrive(begin time.Time) time.Duration {
	end := w.now
	if end.After(w.end) {
		end = w.end
	}
	return max(0, end.Sub(begin))
}

// newCall lets a caller ask an instance for an object of its region.
func (w *world) newCall(i *instance) {
	object := uint64(i.region*w.deployment.ObjectsPerRegion + w.rng.IntN(w.deployment.ObjectsPerRegion))
	hash := rand.New(rand.NewPCG(w.deployment.Seed, object)).Uint64()
	c := &call{instance: i, arrivedAt: w.now, request: &dispatch.Request{
		Service: serviceName, Route: routeName, ObjectHash: hash,
		ObjectiveAt: w.now.Add(w.deployment.Objective), Deadline: w.now.Add(w.deployment.Deadline),
	}}
	w.report.count(c, w).offered++
	i.submit(w, c)
}

// roundTrip returns the network round trip between an instance and a server.
func (w *world) roundTrip(c *call, s *dispatch.Server) time.Duration {
	switch {
	case w.servers[s.ID].region != c.instance.region:
		return w.deployment.RegionRoundTrip
	case s.Zone == c.instance.dispatcher.Zone():
		return zoneRoundTrip
	default:
		return regionRoundTrip
	}
}

// send lets a call arrive at a server.
func (w *world) send(c *call, s *dispatch.Server) {
	a := &attempt{call: c, server: s, startedAt: w.now}
	if w.servers[s.ID].region != c.instance.region {
		w.report.otherRegion++
	}
	w.report.sent++
	w.after(w.roundTrip(c, s)/2, func() { w.servers[s.ID].arrive(w, a) })
}

// respond lets the result of an attempt arrive at its instance.
func (w *world) respond(a *attempt, result dispatch.AttemptResult) {
	w.after(w.roundTrip(a.call, a.server)/2, func() {
		c := a.call
		result.Duration = w.now.Sub(a.startedAt)
		c.instance.dispatcher.Finish(c.request, a.server, result, w.now)
		c.instance.startWaiters(w)
		switch {
		case result.Outcome == dispatch.OutcomeRejected:
			w.reject(c, 0)
		case !w.now.After(c.request.ObjectiveAt):
			w.report.count(c, w).inTime++
		case !w.now.After(c.request.Deadline):
			w.report.count(c, w).late++
		default:
			w.report.count(c, w).expired++
		}
	})
}

// reject refuses a call. The caller comes back once, after the time it is told but at the
// latest after a third of the time that it has left.
func (w *world) reject(c *call, retryAfter time.Duration) {
	left := c.request.Deadline.Sub(w.now)
	if c.returned || left <= 0 {
		w.report.count(c, w).refused++
		return
	}
	c.returned = true
	w.after(min(retryAfter, left/3), func() { c.instance.submit(w, c) })
}

// Run plays a deployment.
func Run(d Deployment) (*Report, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	w := newWorld(&d)
	for _, i := range w.instances {
		w.arrivals(i)
		i.scan(w)
	}
	stop := w.end.Add(d.Deadline + d.ServiceTime)
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(*event)
		if next.at.After(stop) {
			break
		}
		w.now = next.at
		next.run()
	}
	w.report.finish(w)
	return w.report, nil
}
