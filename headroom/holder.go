package headroom

import (
	"math"
	"sync"
	"time"
)

// ReceivedReservation is a reservation as received in a digest.
type ReceivedReservation struct {
	// Publisher is the name of the entry instance that granted the reservation.
	Publisher string
	Region    string // region of the publisher
	Service   string
	// Requests is the number of in-flight requests that the reservation allows.
	Requests int
	// Age is an upper bound of the time between the grant and the arrival of the digest.
	Age time.Duration
}

// reservationRetention is the age at which a reservation is dropped. Until then an expired
// reservation can be told from one that was never granted.
const reservationRetention = 10 * time.Minute

// regionServiceKey identifies the servers of a service in a region.
type regionServiceKey struct{ region, service string }

// ReservationHolder admits an entry instance's requests to other regions within the
// reservations that it holds. All methods are safe for concurrent use.
type ReservationHolder struct {
	links               *LinkBudgets
	mu                  sync.Mutex
	reservations        map[regionServiceKey]map[string]timedRequests // by publisher
	inFlight            map[regionServiceKey]int                      // admitted requests
	unplacedServiceTime map[string]*serviceTimeWindow                 // by service; of requests that found no server
}

// serviceTimeWindow adds up the expected service times of requests that found no server,
// for the current and the previous second.
type serviceTimeWindow struct {
	currentStart      time.Time
	current, previous time.Duration
}

// NewReservationHolder returns a holder without reservations. It also checks the byte
// budgets of links, unless links is nil.
func NewReservationHolder(links *LinkBudgets) *ReservationHolder {
	return &ReservationHolder{
		links:               links,
		reservations:        make(map[regionServiceKey]map[string]timedRequests),
		inFlight:            make(map[regionServiceKey]int),
		unplacedServiceTime: make(map[string]*serviceTimeWindow),
	}
}

// StoreReservation stores a reservation. It replaces the publisher's stored one unless
// that is newer.
func (h *ReservationHolder) StoreReservation(r ReceivedReservation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := regionServiceKey{r.Region, r.Service}
	at := now.Add(-r.Age)
	if h.reservations[key] == nil {
		h.reservations[key] = make(map[string]timedRequests)
	}
	if old, ok := h.reservations[key][r.Publisher]; ok && old.at.After(at) {
		return
	}
	h.reservations[key][r.Publisher] = timedRequests{requests: r.Requests, at: at}
	h.dropOldReservations(key, now)
}

// dropOldReservations drops the reservations of publishers that have not sent one within
// reservationRetention.
func (h *ReservationHolder) dropOldReservations(key regionServiceKey, now time.Time) {
	for publisher, r := range h.reservations[key] {
		if now.Sub(r.at) >= reservationRetention {
			delete(h.reservations[key], publisher)
		}
	}
}

// SpilloverRequest describes a request that is to be sent to servers of another region.
type SpilloverRequest struct {
	Region        string // region of the servers
	Service       string
	UploadBytes   int64 // expected size of the request, 0 when unknown
	ResponseBytes int64 // expected size of the response, 0 when unknown
}

// Admit admits a request to another region, or returns a *RefusedError if reservations or
// link budgets do not allow it. If it returns nil, the caller must call Release when the
// request ends. Admit does not charge the request's bytes; the caller charges them to the
// link as they are transferred.
func (h *ReservationHolder) Admit(s SpilloverRequest, now time.Time) error {
	if err := h.checkLinkBudgets(s, now); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.checkReservations(s, now); err != nil {
		return err
	}
	h.inFlight[regionServiceKey{s.Region, s.Service}]++
	return nil
}

// Check returns the error that Admit would return, without admitting the request. Placement
// uses it to find the regions to which a request may be sent.
func (h *ReservationHolder) Check(s SpilloverRequest, now time.Time) error {
	if err := h.checkLinkBudgets(s, now); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checkReservations(s, now)
}

// Release removes an admitted request from the in-flight requests.
func (h *ReservationHolder) Release(s SpilloverRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := regionServiceKey{s.Region, s.Service}
	h.inFlight[key] = max(0, h.inFlight[key]-1)
}

// AllowedRequests returns the number of in-flight requests that the reservations allow at
// their present age.
func (h *ReservationHolder) AllowedRequests(region, service string, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, r := range h.reservations[regionServiceKey{region, service}] {
		sum += r.allowedAt(now)
	}
	return sum
}

// RecordUnplaced records a request that found no server in any region, with its expected
// service time. The caller calls it once per request, and not for requests that were rejected
// because the region's free capacity is reserved for other regions: if those raised the
// reservation demand too, reservations would cause more reservations.
func (h *ReservationHolder) RecordUnplaced(service string, serviceTime time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceUnplaced(service, now).current += serviceTime
}

// Demand returns this instance's reservation demand for a service, as a number of in-flight
// requests, for the digests to other regions. It is the number of requests that are in flight
// there, plus the mean number that the recorded requests would have had in flight if each had
// found a server. That mean is the sum of their service times in one second divided by one
// second; the larger of the current and the previous second counts.
func (h *ReservationHolder) Demand(service string, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for key, n := range h.inFlight {
		if key.service == service {
			sum += n
		}
	}
	serviceTimes := h.advanceUnplaced(service, now)
	return sum + int(math.Round(max(serviceTimes.previous, serviceTimes.current).Seconds()))
}

// advanceUnplaced moves the window of a service to the time now and returns it. The caller
// holds the lock.
func (h *ReservationHolder) advanceUnplaced(service string, now time.Time) *serviceTimeWindow {
	window := h.unplacedServiceTime[service]
	if window == nil {
		window = &serviceTimeWindow{currentStart: now}
		h.unplacedServiceTime[service] = window
	}
	age := now.Sub(window.currentStart)
	if age >= 2*time.Second {
		*window = serviceTimeWindow{currentStart: now}
	} else if age >= time.Second {
		*window = serviceTimeWindow{currentStart: now, previous: window.current}
	}
	return window
}

// checkReservations compares the in-flight requests with the reservations. The caller holds
// the lock.
func (h *ReservationHolder) checkReservations(s SpilloverRequest, now time.Time) error {
	key := regionServiceKey{s.Region, s.Service}
	allowed := 0
	for _, r := range h.reservations[key] {
		allowed += r.allowedAt(now)
	}
	if h.inFlight[key] < allowed {
		return nil
	}
	return &RefusedError{
		Cause: h.reservationCause(key, now), Region: s.Region, Service: s.Service,
		InFlight: h.inFlight[key], Allowed: allowed,
	}
}

// reservationCause returns the reason why the reservations do not allow another request. The
// caller holds the lock.
func (h *ReservationHolder) reservationCause(key regionServiceKey, now time.Time) Cause {
	cause := CauseNoReservation
	for _, r := range h.reservations[key] {
		if r.requests > 0 && now.Sub(r.at) < ReservationLifetime {
			return CauseInUse
		}
		if r.requests > 0 {
			cause = CauseExpired
		}
	}
	return cause
}

// checkLinkBudgets returns a *RefusedError if the request or its response cannot start on
// the link now.
func (h *ReservationHolder) checkLinkBudgets(s SpilloverRequest, now time.Time) error {
	if h.links == nil {
		return nil
	}
	outboundDelay, err := h.links.StartDelay(s.Region, Outbound, s.UploadBytes, now)
	if err != nil {
		return err
	}
	inboundDelay, err := h.links.StartDelay(s.Region, Inbound, s.ResponseBytes, now)
	if err != nil {
		return err
	}
	if delay := max(outboundDelay, inboundDelay); delay > 0 {
		return &RefusedError{Cause: CauseLinkBudget, Region: s.Region, Service: s.Service, RetryAfter: delay}
	}
	return nil
}

// allowedAt returns the number of in-flight requests that a reservation allows at the time
// now: all of them up to reservationFullAge, then linearly fewer, and none at the end of
// its lifetime.
func (t timedRequests) allowedAt(now time.Time) int {
	age := now.Sub(t.at)
	switch {
	case age >= ReservationLifetime:
		return 0
	case age <= reservationFullAge:
		return t.requests
	default:
		remaining := float64(ReservationLifetime-age) / float64(ReservationLifetime-reservationFullAge)
		return int(float64(t.requests) * remaining)
	}
}
