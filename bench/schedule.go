package bench

import (
	"math/rand/v2"
	"time"
)

// lookupStream is the customer of arrivals that are look-ups.
const lookupStream = -1

// arrival is a request that is due.
type arrival struct {
	at       time.Duration // since the start of the run
	customer int           // position in the plan, or lookupStream
	kind     int           // position in the mix
	number   int           // counts all arrivals
}

// stream is a source of arrivals at a constant rate.
type stream struct {
	customer int
	next     time.Duration
	// rate returns the arrivals per second at a time.
	rate func(time.Duration) float64
	// resume returns the next time at which the rate may not be zero.
	resume func(time.Duration) time.Duration
}

// schedule gives the arrivals of a plan in order of time. The same plan and seed
// give the same arrivals.
type schedule struct {
	plan    Plan
	rng     *rand.Rand
	streams []stream
	weights float64
	number  int
}

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0))}
	for _, k := range p.Mix {
		s.weights += k.Weight
	}
	for i, c := range p.Customers {
		s.add(stream{customer: i, rate: c.rateAt, resume: c.resume})
	}
	perSecond := p.Lookups.RatePerSecond
	s.add(stream{
		customer: lookupStream,
		rate:     func(time.Duration) float64 { return perSecond },
		resume:   never,
	})
	return s
}

func never(time.Duration) time.Duration { return MaxRunDuration + 1 }

// add starts a stream at a random phase, so that streams of equal rates do not
// arrive together.
func (s *schedule) add(st stream) {
	st.next = time.Duration(s.rng.Float64() * float64(interval(st.rate(0))))
	if st.rate(0) <= 0 {
		st.next = st.resume(0)
	}
	s.streams = append(s.streams, st)
}

func interval(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

func (st *stream) advance() {
	if rate := st.rate(st.next); rate > 0 {
		st.next += max(interval(rate), 1)
		return
	}
	st.next = st.resume(st.next)
}

// nextArrival returns the next arrival and false after the last one.
func (s *schedule) nextArrival() (arrival, bool) {
	first := &s.streams[0]
	for i := range s.streams {
		if s.streams[i].next < first.next {
			first = &s.streams[i]
		}
	}
	if first.next >= s.plan.Duration.Std() || s.number >= s.plan.MaxRequests {
		return arrival{}, false
	}
	a := arrival{at: first.next, customer: first.customer, number: s.number}
	s.number++
	if a.customer != lookupStream {
		a.kind = s.pickKind()
	}
	first.advance()
	return a, true
}

func (s *schedule) pickKind() int {
	at := s.rng.Float64() * s.weights
	for i, k := range s.plan.Mix {
		at -= k.Weight
		if at < 0 {
			return i
		}
	}
	return len(s.plan.Mix) - 1
}

// rateAt returns the offered requests per second at a time of the run.
func (c Customer) rateAt(t time.Duration) float64 {
	if c.Surge != nil && t%c.Surge.Period.Std() < c.Surge.Duration.Std() {
		return c.RatePerSecond * c.Surge.LoadFactor
	}
	return c.RatePerSecond * c.LoadFactor
}

// resume returns the next time after t at which the load changes.
func (c Customer) resume(t time.Duration) time.Duration {
	if c.Surge == nil {
		return never(t)
	}
	every, length := c.Surge.Period.Std(), c.Surge.Duration.Std()
	if phase := t % every; phase < length {
		return t - phase + length
	}
	return t - t%every + every
}
