package headroom

import (
	"math"
	"sync"
	"time"
)

// ReceivedReservation is a grant as received in a digest.
type ReceivedReservation struct {
	// Publisher is the entry instance that granted.
	Publisher string
	Region    string
	Service   string
	// Requests that the holder may have in progress.
	Requests int
	// Age of the grant at its arrival.
	Age time.Duration
}

// forgetAfter is the age at which a grant is dropped. Until then it tells an expired
// reservation from one that never was.
const forgetAfter = 10 * time.Minute

type areaKey struct{ region, service string }

// ReservationHolder uses the grants of other regions for one entry instance. All methods are
// safe for concurrent use.
type ReservationHolder struct {
	links  *LinkBudgets
	mu     sync.Mutex
	grants map[areaKey]map[string]grant // by publisher
	inUse  map[areaKey]int
	misses map[string]*missCount // by service
}

// missCount adds up the time that missed requests would have run, for the current
// and the previous second.
type missCount struct {
	start             time.Time
	current, previous time.Duration
}

// NewReservationHolder returns a holder without grants that admits within the link budgets.
func NewReservationHolder(links *LinkBudgets) *ReservationHolder {
	return &ReservationHolder{
		links:  links,
		grants: make(map[areaKey]map[string]grant),
		inUse:  make(map[areaKey]int),
		misses: make(map[string]*missCount),
	}
}

// ReceivedReservation stores a grant. It replaces the publisher's previous one unless it is
// older.
func (h *ReservationHolder) StoreReservation(r ReceivedReservation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := areaKey{r.Region, r.Service}
	at := now.Add(-r.Age)
	if h.grants[key] == nil {
		h.grants[key] = make(map[string]grant)
	}
	if old, ok := h.grants[key][r.Publisher]; ok && old.at.After(at) {
		return
	}
	h.grants[key][r.Publisher] = grant{requests: r.Requests, at: at}
	h.forget(key, now)
}

// forget drops grants of publishers that have not been heard for a long time.
func (h *ReservationHolder) forget(key areaKey, now time.Time) {
	for publisher, g := range h.grants[key] {
		if now.Sub(g.at) >= forgetAfter {
			delete(h.grants[key], publisher)
		}
	}
}

// SpilloverRequest is a request for servers of another region.
type SpilloverRequest struct {
	Region  string // region of the servers
	Service string
	// UploadBytes and ResponseBytes are the expected sizes, 0 when unknown.
	UploadBytes   int64
	ResponseBytes int64
}

// Admit admits a request to another region or returns a *RefusedError, which means
// that the request was not run. After a nil error Release must follow. The bytes
// are charged with Links.Charge as they flow.
func (h *ReservationHolder) Admit(s SpilloverRequest, now time.Time) error {
	if err := h.admitLink(s, now); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.check(s, now); err != nil {
		return err
	}
	h.inUse[areaKey{s.Region, s.Service}]++
	return nil
}

// Check returns what Admit would return, without admitting. It is for building a
// view of several regions.
func (h *ReservationHolder) Check(s SpilloverRequest, now time.Time) error {
	if err := h.admitLink(s, now); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.check(s, now)
}

// Release ends an admitted request.
func (h *ReservationHolder) Release(s SpilloverRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := areaKey{s.Region, s.Service}
	h.inUse[key] = max(0, h.inUse[key]-1)
}

// AllowedRequests returns the number of requests that may be in progress, by the age of
// the grants.
func (h *ReservationHolder) AllowedRequests(region, service string, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, g := range h.grants[areaKey{region, service}] {
		sum += g.worth(now)
	}
	return sum
}

// RecordUnplaced counts a request that found no server anywhere, and the time that it would
// have run. The adapter calls it once per request, and not for requests that room
// reserved for other regions would have taken: if those asked for room elsewhere,
// reservations would cause more reservations.
func (h *ReservationHolder) RecordUnplaced(service string, runs time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.missed(service, now).current += runs
}

// Demand returns what the digest asks of the other regions, in requests in progress:
// those that run there, and the mean number of those that missed.
func (h *ReservationHolder) Demand(service string, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for key, n := range h.inUse {
		if key.service == service {
			sum += n
		}
	}
	m := h.missed(service, now)
	return sum + int(math.Round(max(m.previous, m.current).Seconds()))
}

func (h *ReservationHolder) missed(service string, now time.Time) *missCount {
	m := h.misses[service]
	if m == nil {
		m = &missCount{start: now}
		h.misses[service] = m
	}
	age := now.Sub(m.start)
	if age >= 2*time.Second {
		*m = missCount{start: now}
	} else if age >= time.Second {
		*m = missCount{start: now, previous: m.current}
	}
	return m
}

func (h *ReservationHolder) check(s SpilloverRequest, now time.Time) error {
	key := areaKey{s.Region, s.Service}
	allowed := 0
	for _, g := range h.grants[key] {
		allowed += g.worth(now)
	}
	if h.inUse[key] < allowed {
		return nil
	}
	return &RefusedError{
		Cause: h.cause(key, now), Region: s.Region, Service: s.Service,
		InFlight: h.inUse[key], Allowed: allowed,
	}
}

func (h *ReservationHolder) cause(key areaKey, now time.Time) Cause {
	cause := CauseNoReservation
	for _, g := range h.grants[key] {
		if g.requests > 0 && now.Sub(g.at) < ReservationLifetime {
			return CauseInUse
		}
		if g.requests > 0 {
			cause = CauseExpired
		}
	}
	return cause
}

func (h *ReservationHolder) admitLink(s SpilloverRequest, now time.Time) error {
	if h.links == nil {
		return nil
	}
	out, err := h.links.StartDelay(s.Region, Outbound, s.UploadBytes, now)
	if err != nil {
		return err
	}
	in, err := h.links.StartDelay(s.Region, Inbound, s.ResponseBytes, now)
	if err != nil {
		return err
	}
	if wait := max(out, in); wait > 0 {
		return &RefusedError{Cause: CauseLinkBudget, Region: s.Region, Service: s.Service, RetryAfter: wait}
	}
	return nil
}

// worth is the number of requests that a grant allows at its age: all of them at
// first, then falling to zero at ReservationLifetime.
func (g grant) worth(now time.Time) int {
	age := now.Sub(g.at)
	switch {
	case age >= ReservationLifetime:
		return 0
	case age <= grantFull:
		return g.requests
	default:
		left := float64(ReservationLifetime-age) / float64(ReservationLifetime-grantFull)
		return int(float64(g.requests) * left)
	}
}
