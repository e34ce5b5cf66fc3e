// Package quarantine rejects requests that are suspected of crashing backend servers
// before they reach another server.
//
// A fingerprint is a hash of the content of a request. When a server crashes, a crash
// is counted for each fingerprint in flight on it. After one crash a fingerprint is
// on probation: each entry instance runs one request with it at a time. After two
// crashes it is quarantined. Crashes expire after ten minutes. The package has no
// clock of its own; callers pass the time.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a Tracker.
const (
	// CrashExpiry is the age at which the crashes of a fingerprint are deleted.
	CrashExpiry = 10 * time.Minute
	// CrashThreshold is the number of crashes after which a fingerprint is
	// quarantined. One crash is not enough: it is counted for all requests on the
	// server, and most of them did not cause it.
	CrashThreshold = 2
	// maxSuspects is the maximum number of fingerprints kept, to bound the memory.
	// Those with the fewest and then the oldest crashes are evicted first. A crash
	// adds at most a few hundred, the requests in flight on one server.
	maxSuspects = 4096
	// maxServersPerSuspect is the maximum number of crashed servers kept per
	// fingerprint; two are enough to quarantine it.
	maxServersPerSuspect = 4
)

// Fingerprint is a hash of the content of a request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. body is a hash of the request body, empty
// if there is none. The fingerprint includes the customer, so that a customer cannot
// cause the quarantine of another's requests.
func FingerprintOf(customer, method, target string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(customer), []byte(method), []byte(target), body} {
		// With the lengths ("ab", "c") and ("a", "bc") differ.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a Digest never returns an error
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum64())
}

// QuarantinedError reports a request with a quarantined fingerprint. The request was
// not run.
type QuarantinedError struct {
	Fingerprint Fingerprint
	Crashes     int
	// RetryAfter is the time until the crashes expire.
	RetryAfter time.Duration
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %016x was in progress at %d server deaths, quarantined for %s",
		uint64(e.Fingerprint), e.Crashes, e.RetryAfter)
}

// ProbationError reports a request whose fingerprint is on probation while another
// request with it is in flight at this entry instance. The request was not run.
type ProbationError struct{ Fingerprint Fingerprint }

func (e *ProbationError) Error() string {
	return fmt.Sprintf("request %016x was in progress at a server's death and runs one at a time", uint64(e.Fingerprint))
}

// Tracker counts server crashes by fingerprint. All methods are safe for concurrent
// use.
type Tracker struct {
	mu               sync.Mutex
	suspects         map[Fingerprint]*suspect
	inFlight         map[Fingerprint]int            // number of requests in flight by fingerprint
	inFlightByServer map[string]map[Fingerprint]int // the same by server
	completions      recentCompletions
}

// suspect holds the crashes of one fingerprint. They are kept by server, so that a
// crash reported by several instances counts once.
type suspect struct {
	lastCrash             time.Time         // time of the newest crash
	crashesByServer       map[uint64]uint32 // number of crashes by hash of the server's name
	crashesWithoutServers int               // largest number of crashes in a report that has fewer server hashes than crashes (see merge)
}

func (s *suspect) crashes() int {
	sum := 0
	for _, n := range s.crashesByServer {
		sum += int(n)
	}
	return max(sum, s.crashesWithoutServers)
}

// NewTracker returns a tracker without crashes.
func NewTracker() *Tracker {
	return &Tracker{
		suspects:         make(map[Fingerprint]*suspect),
		inFlight:         make(map[Fingerprint]int),
		inFlightByServer: make(map[string]map[Fingerprint]int),
	}
}

// Begin admits a request just before it is sent to a server. It returns a
// *QuarantinedError, a *ProbationError or nil. After nil the caller must call End.
func (t *Tracker) Begin(f Fingerprint, server string, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.unexpired(f, now); s != nil {
		if s.crashes() >= CrashThreshold {
			return &QuarantinedError{Fingerprint: f, Crashes: s.crashes(), RetryAfter: CrashExpiry - now.Sub(s.lastCrash)}
		}
		if t.inFlight[f] > 0 {
			return &ProbationError{Fingerprint: f}
		}
	}
	t.inFlight[f]++
	inFlightOnServer := t.inFlightByServer[server]
	if inFlightOnServer == nil {
		inFlightOnServer = make(map[Fingerprint]int)
		t.inFlightByServer[server] = inFlightOnServer
	}
	inFlightOnServer[f]++
	return nil
}

// End records the end of an admitted request. completed is set if the server sent a
// complete response. A request that crashes servers never completes, so a completion
// deletes the crashes of the fingerprint at this instance, and for the next seconds
// no crash is counted for it.
func (t *Tracker) End(f Fingerprint, server string, completed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decrement(t.inFlight, f)
	if inFlightOnServer := t.inFlightByServer[server]; inFlightOnServer != nil {
		decrement(inFlightOnServer, f)
		if len(inFlightOnServer) == 0 {
			delete(t.inFlightByServer, server)
		}
	}
	if completed {
		delete(t.suspects, f)
		t.completions.add(f, now)
	}
}

func decrement(counts map[Fingerprint]int, f Fingerprint) {
	counts[f]--
	if counts[f] <= 0 {
		delete(counts, f)
	}
}

// ServerCrashed counts a crash for the fingerprints in flight on the server and returns
// them in ascending order. Fingerprints that completed in the last seconds are left
// out: otherwise a zone failure, many crashes at once, would quarantine the most
// frequent requests. It must be called before End of the requests that the crash
// ended, once per crash: when a connection broke with a request in flight and the
// server then refused a connection.
func (t *Tracker) ServerCrashed(server string, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counted []Fingerprint
	for f := range t.inFlightByServer[server] {
		if t.completions.contains(f, now) {
			continue
		}
		counted = append(counted, f)
		s := t.getOrAdd(f, now)
		s.lastCrash = now
		s.recordCrash(serverHash(server))
	}
	slices.Sort(counted)
	t.evictExcess(now)
	return counted
}

func (s *suspect) recordCrash(server uint64) {
	if _, found := s.crashesByServer[server]; found || len(s.crashesByServer) < maxServersPerSuspect {
		s.crashesByServer[server]++
	}
}

func serverHash(name string) uint64 { return xxhash.Sum64String(name) }

// Crashes returns the number of unexpired crashes of a fingerprint.
func (t *Tracker) Crashes(f Fingerprint, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.unexpired(f, now); s != nil {
		return s.crashes()
	}
	return 0
}

// unexpired returns the suspect entry of a fingerprint, or nil if there is none. It
// deletes an expired entry.
func (t *Tracker) unexpired(f Fingerprint, now time.Time) *suspect {
	s := t.suspects[f]
	if s == nil {
		return nil
	}
	if now.Sub(s.lastCrash) >= CrashExpiry {
		delete(t.suspects, f)
		return nil
	}
	return s
}

func (t *Tracker) getOrAdd(f Fingerprint, at time.Time) *suspect {
	s := t.suspects[f]
	if s == nil {
		s = &suspect{lastCrash: at, crashesByServer: make(map[uint64]uint32)}
		t.suspects[f] = s
	}
	return s
}

// evictExcess reduces the suspects to maxSuspects if there are more. It deletes expired
// ones first, then those with the fewest crashes, of these the oldest first.
func (t *Tracker) evictExcess(now time.Time) {
	if len(t.suspects) <= maxSuspects {
		return
	}
	for f := range t.suspects {
		t.unexpired(f, now)
	}
	excess := len(t.suspects) - maxSuspects
	if excess <= 0 {
		return
	}
	order := make([]Fingerprint, 0, len(t.suspects))
	for f := range t.suspects {
		order = append(order, f)
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		x, y := t.suspects[a], t.suspects[b]
		return cmp.Or(cmp.Compare(x.crashes(), y.crashes()), x.lastCrash.Compare(y.lastCrash), cmp.Compare(a, b))
	})
	for _, f := range order[:excess] {
		delete(t.suspects, f)
	}
}
