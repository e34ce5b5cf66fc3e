package bench

import (
	"math/rand/v2"
	"time"
)

// lookupCustomer is the customerIndex of look-ups, which belong to no customer.
const lookupCustomer = -1

// arrival is a request that the schedule makes due.
type arrival struct {
	dueAt         time.Duration // since the start of the run
	customerIndex int           // index in Plan.Customers, or lookupCustomer
	kindIndex     int           // index in Plan.Mix
	sequence      int           // number of arrivals before this one
}

// arrivalStream generates the evenly spaced arrivals of one customer or of the
// look-ups. Times are offsets from the start of the run.
type arrivalStream struct {
	customerIndex int
	nextDueAt     time.Duration
	// rateAt returns the arrivals per second at a time.
	rateAt func(time.Duration) float64
	// nextRateChange returns the next time at which the rate changes. It is used to
	// skip periods of rate zero.
	nextRateChange func(time.Duration) time.Duration
}

// schedule generates the arrivals of a plan in order of time. The same plan and seed
// yield the same arrivals.
type schedule struct {
	plan         Plan
	rng          *rand.Rand
	streams      []arrivalStream
	totalWeight  float64
	arrivalCount int
}

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0))}
	for _, k := range p.Mix {
		s.totalWeight += k.Weight
	}
	for i, c := range p.Customers {
		s.addStream(arrivalStream{customerIndex: i, rateAt: c.offeredRate, nextRateChange: c.nextLoadChange})
	}
	perSecond := p.Lookups.RatePerSecond
	s.addStream(arrivalStream{
		customerIndex:  lookupCustomer,
		rateAt:         func(time.Duration) float64 { return perSecond },
		nextRateChange: noRateChange,
	})
	return s
}

// noRateChange returns a time after the end of every run, for rates that never change.
func noRateChange(time.Duration) time.Duration { return MaxRunDuration + 1 }

// addStream adds a stream with a random phase, so that streams of equal rates do not
// arrive simultaneously.
func (s *schedule) addStream(st arrivalStream) {
	st.nextDueAt = time.Duration(s.rng.Float64() * float64(arrivalInterval(st.rateAt(0))))
	if st.rateAt(0) <= 0 {
		st.nextDueAt = st.nextRateChange(0)
	}
	s.streams = append(s.streams, st)
}

// arrivalInterval returns the time between arrivals at a rate per second, 0 for a rate
// of zero.
func arrivalInterval(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// advance moves the stream to its next arrival, or to the next change of a zero rate.
func (st *arrivalStream) advance() {
	if rate := st.rateAt(st.nextDueAt); rate > 0 {
		st.nextDueAt += max(arrivalInterval(rate), 1)
		return
	}
	st.nextDueAt = st.nextRateChange(st.nextDueAt)
}

// nextArrival returns the next arrival, or false after the last one.
func (s *schedule) nextArrival() (arrival, bool) {
	earliest := &s.streams[0]
	for i := range s.streams {
		if s.streams[i].nextDueAt < earliest.nextDueAt {
			earliest = &s.streams[i]
		}
	}
	if earliest.nextDueAt >= s.plan.Duration.Std() || s.arrivalCount >= s.plan.MaxRequests {
		return arrival{}, false
	}
	a := arrival{dueAt: earliest.nextDueAt, customerIndex: earliest.customerIndex, sequence: s.arrivalCount}
	s.arrivalCount++
	if a.customerIndex != lookupCustomer {
		a.kindIndex = s.pickKindIndex()
	}
	earliest.advance()
	return a, true
}

// pickKindIndex draws a kind of request according to the weights of the mix.
func (s *schedule) pickKindIndex() int {
	remaining := s.rng.Float64() * s.totalWeight
	for i, k := range s.plan.Mix {
		remaining -= k.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(s.plan.Mix) - 1
}

// offeredRate returns the offered requests per second at a time of the run.
func (c Customer) offeredRate(t time.Duration) float64 {
	if c.Surge != nil && t%c.Surge.Period.Std() < c.Surge.Duration.Std() {
		return c.RatePerSecond * c.Surge.LoadFactor
	}
	return c.RatePerSecond * c.LoadFactor
}

// nextLoadChange returns the next time after t at which a surge starts or ends.
func (c Customer) nextLoadChange(t time.Duration) time.Duration {
	if c.Surge == nil {
		return noRateChange(t)
	}
	every, length := c.Surge.Period.Std(), c.Surge.Duration.Std()
	if phase := t % every; phase < length {
		return t - phase + length
	}
	return t - t%every + every
}
