package emulator

import (
	"container/list"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
)

// server is the model of a backend server.
type server struct {
	deployment *Deployment
	region     int
	running    int
	waiting    []*attempt
	cached     map[uint64]*list.Element // objects in the cache
	recency    *list.List               // object hashes, most recently used first
	busy       time.Duration            // slot time used while requests arrived
}

func newServer(d *Deployment, region int) *server {
	return &server{deployment: d, region: region, cached: make(map[uint64]*list.Element), recency: list.New()}
}

// use returns whether an object is cached, and caches it in place of the least recently used one.
func (s *server) use(object uint64) (hit bool) {
	if element := s.cached[object]; element != nil {
		s.recency.MoveToFront(element)
		return true
	}
	s.cached[object] = s.recency.PushFront(object)
	if s.recency.Len() > s.deployment.CacheObjects {
		oldest := s.recency.Back()
		delete(s.cached, s.recency.Remove(oldest).(uint64))
	}
	return false
}

// load returns the load report of the server.
func (s *server) load() *dispatch.LoadReport {
	return &dispatch.LoadReport{InFlight: s.running, Waiting: len(s.waiting), Slots: s.deployment.Slots}
}

// arrive starts an attempt, queues it or rejects it.
func (s *server) arrive(w *world, a *attempt) {
	switch {
	case s.running < s.deployment.Slots:
		s.start(w, a)
	case len(s.waiting) < s.deployment.ServerQueue:
		s.waiting = append(s.waiting, a)
	default:
		w.respond(a, dispatch.AttemptResult{Outcome: dispatch.OutcomeRejected, Load: s.load()})
	}
}

// start runs an attempt in a free slot.
func (s *server) start(w *world, a *attempt) {
	s.running++
	// The service time varies by 15% of its mean.
	serviceTime := time.Duration(float64(s.deployment.ServiceTime) * (0.85 + 0.3*w.rng.Float64()))
	if s.use(a.call.request.ObjectHash) {
		serviceTime = time.Duration(float64(serviceTime) * (1 - s.deployment.CacheGain))
	}
	w.after(serviceTime, func() { s.end(w, a, serviceTime) })
}

// end responds to an attempt and starts a waiting one. The report includes the request that
// the response belongs to.
func (s *server) end(w *world, a *attempt, serviceTime time.Duration) {
	s.busy += w.whileRequestsArrive(w.now.Add(-serviceTime))
	w.respond(a, dispatch.AttemptResult{Outcome: dispatch.OutcomeSucceeded, Load: s.load()})
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(w, next)
	}
}
