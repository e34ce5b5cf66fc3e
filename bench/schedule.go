package bench

import (
	"math/rand/v2"
	"time"
)

// lookupCustomer is the customer of arrivals that are look-ups.
const lookupCustomer = -1

// arrival is a request that is due.
type arrival struct {
	dueAt       time.Duration // since the start of the run
	customerIndex int           // position in the plan, or lookupCustomer
	kindIndex     int           // position in the mix
	sequence   int           // counts all arrivals
}

// arrivalStream is a source of arrivals at a constant rate.
type arrivalStream struct {
	customerIndex int
	nextDueAt     time.Duration
	// offeredRate returns the arrivals per second at a time.
	rateAt func(time.Duration) float64
	// nextRateChange returns the next time at which the rate may not be zero.
	nextRateChange func(time.Duration) time.Duration
}

// schedule gives the arrivals of a plan in order of time. The same plan and seed
// give the same arrivals.
type schedule struct {
	plan    Plan
	rng     *rand.Rand
	streams []arrivalStream
	totalWeight float64
	arrivalCount  int
}

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0))}
	for _, k := range p.Mix {
		s.totalWeight += k.Weight
	}
	for i, c := range p.Customers {
		s.addStream(arrivalStream{customerIndex: i, rateAt: c.offeredRate, nextRateChange: c.nextLoadChange})
	}
	perSecond := p.Lookups.PerSecond
	s.addStream(arrivalStream{
		customerIndex: lookupCustomer,
		rateAt:     func(time.Duration) float64 { return perSecond },
		nextRateChange:   noRateChange,
	})
	return s
}

func noRateChange(time.Duration) time.Duration { return MaxDuration + 1 }

// addStream starts a stream at a random phase, so that streams of equal rates do not
// arrive together.
func (s *schedule) addStream(st arrivalStream) {
	st.nextDueAt = time.Duration(s.rng.Float64() * float64(arrivalInterval(st.rateAt(0))))
	if st.rateAt(0) <= 0 {
		st.nextDueAt = st.nextRateChange(0)
	}
	s.streams = append(s.streams, st)
}

func arrivalInterval(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

func (st *arrivalStream) advance() {
	if rate := st.rateAt(st.nextDueAt); rate > 0 {
		st.nextDueAt += max(arrivalInterval(rate), 1)
		return
	}
	st.nextDueAt = st.nextRateChange(st.nextDueAt)
}

// nextArrival returns the next arrival and false after the last one.
func (s *schedule) nextArrival() (arrival, bool) {
	first := &s.streams[0]
	for i := range s.streams {
		if s.streams[i].nextDueAt < first.nextDueAt {
			first = &s.streams[i]
		}
	}
	if first.nextDueAt >= s.plan.Duration.Std() || s.arrivalCount >= s.plan.MaxRequests {
		return arrival{}, false
	}
	a := arrival{dueAt: first.nextDueAt, customerIndex: first.customerIndex, sequence: s.arrivalCount}
	s.arrivalCount++
	if a.customerIndex != lookupCustomer {
		a.kindIndex = s.pickKindIndex()
	}
	first.advance()
	return a, true
}

func (s *schedule) pickKindIndex() int {
	at := s.rng.Float64() * s.totalWeight
	for i, k := range s.plan.Mix {
		at -= k.Weight
		if at < 0 {
			return i
		}
	}
	return len(s.plan.Mix) - 1
}

// offeredRate returns the offered requests per second at a time of the run.
func (c Customer) offeredRate(t time.Duration) float64 {
	if c.Surge != nil && t%c.Surge.Every.Std() < c.Surge.For.Std() {
		return c.RatePerSecond * c.Surge.Load
	}
	return c.RatePerSecond * c.Load
}

// nextLoadChange returns the next time after t at which the load changes.
func (c Customer) nextLoadChange(t time.Duration) time.Duration {
	if c.Surge == nil {
		return noRateChange(t)
	}
	every, length := c.Surge.Every.Std(), c.Surge.For.Std()
	if phase := t % every; phase < length {
		return t - phase + length
	}
	return t - t%every + every
}
