// Package quarantine keeps requests that crash backend servers away from the next
// server.
//
// A fingerprint names the content of a request. Fingerprints in progress at a
// server's death are counted: after one death a fingerprint is on probation and
// runs one at a time per entry instance, after two it is quarantined. Deaths expire
// after ten minutes. The package has no clock.
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

// Bounds of the ledger.
const (
	// CrashExpiry is the age at which deaths are forgotten.
	CrashExpiry = 10 * time.Minute
	// CrashThreshold deaths quarantine a fingerprint. One death has many
	// innocent bystanders, the requests that ran on the same server.
	CrashThreshold = 2
	// maxEntries bounds the memory. Entries with fewer deaths and older ones go
	// first. A server has at most a few hundred requests in progress.
	maxEntries = 4096
	// maxServers bounds the servers kept per entry; two deaths are enough.
	maxServers = 4
)

// Fingerprint names the content of a request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. body is a hash of the body, empty
// when there is none. The customer is part of it, so that no customer can put the
// requests of another in quarantine.
func FingerprintOf(customer, method, target string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(customer), []byte(method), []byte(target), body} {
		// The length keeps ("ab", "c") and ("a", "bc") apart.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a Digest never returns an error
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum64())
}

// QuarantinedError reports a fingerprint in quarantine. The request was not run.
type QuarantinedError struct {
	Fingerprint Fingerprint
	Crashes      int
	// RetryAfter is the time until the quarantine expires.
	RetryAfter time.Duration
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %016x was in progress at %d server deaths, quarantined for %s",
		uint64(e.Fingerprint), e.Crashes, e.RetryAfter)
}

// ProbationError reports a fingerprint that is on probation and already has a
// request in progress at this entry instance. The request was not run.
type ProbationError struct{ Fingerprint Fingerprint }

func (e *ProbationError) Error() string {
	return fmt.Sprintf("request %016x was in progress at a server's death and runs one at a time", uint64(e.Fingerprint))
}

// Tracker counts deaths by fingerprint. All methods are safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	running  map[Fingerprint]int
	byServer map[string]map[Fingerprint]int
	vouched  vouches
}

// entry holds the deaths of one fingerprint. Deaths are kept by server so that the
// same death, heard on several paths, counts once.
type entry struct {
	at      time.Time         // newest death
	servers map[uint64]uint32 // deaths by hash of the server's name
	relayed int               // deaths reported without servers
}

func (e *entry) deaths() int {
	sum := 0
	for _, n := range e.servers {
		sum += int(n)
	}
	return max(sum, e.relayed)
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker {
	return &Tracker{
		entries:  make(map[Fingerprint]*entry),
		running:  make(map[Fingerprint]int),
		byServer: make(map[string]map[Fingerprint]int),
	}
}

// Begin admits a request to a server just before it is sent. It returns a
// *QuarantinedError or a *ProbationError, or nil; then End must follow.
func (l *Tracker) Begin(f Fingerprint, server string, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.live(f, now); e != nil {
		if e.deaths() >= CrashThreshold {
			return &QuarantinedError{Fingerprint: f, Crashes: e.deaths(), RetryAfter: CrashExpiry - now.Sub(e.at)}
		}
		if l.running[f] > 0 {
			return &ProbationError{Fingerprint: f}
		}
	}
	l.running[f]++
	onServer := l.byServer[server]
	if onServer == nil {
		onServer = make(map[Fingerprint]int)
		l.byServer[server] = onServer
	}
	onServer[f]++
	return nil
}

// End records the end of an admitted request. completed means that the server sent
// a complete response. A request that crashes servers never completes, so that a
// completion clears the fingerprint here and keeps it from being counted for the
// next seconds.
func (l *Tracker) End(f Fingerprint, server string, completed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decrement(l.running, f)
	if onServer := l.byServer[server]; onServer != nil {
		decrement(onServer, f)
		if len(onServer) == 0 {
			delete(l.byServer, server)
		}
	}
	if completed {
		delete(l.entries, f)
		l.vouched.add(f, now)
	}
}

func decrement(counts map[Fingerprint]int, f Fingerprint) {
	counts[f]--
	if counts[f] <= 0 {
		delete(counts, f)
	}
}

// ServerCrashed counts a death for the fingerprints in progress on the server, except
// those that completed elsewhere in the last seconds, and returns them in ascending
// order. Without the exception a zone failure, many deaths at once, would quarantine
// the most frequent requests. It must be called before End for the requests
// that the death ended. The adapter calls it once per death: when a connection
// broke with a request in progress and the server then refused a connection.
func (l *Tracker) ServerCrashed(server string, now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hit []Fingerprint
	for f := range l.byServer[server] {
		if l.vouched.has(f, now) {
			continue
		}
		hit = append(hit, f)
		e := l.obtain(f, now)
		e.at = now
		e.count(serverHash(server))
	}
	slices.Sort(hit)
	l.bound(now)
	return hit
}

func (e *entry) count(server uint64) {
	if _, known := e.servers[server]; known || len(e.servers) < maxServers {
		e.servers[server]++
	}
}

func serverHash(name string) uint64 { return xxhash.Sum64String(name) }

// Crashes returns the number of deaths of a fingerprint.
func (l *Tracker) Crashes(f Fingerprint, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.live(f, now); e != nil {
		return e.deaths()
	}
	return 0
}

// live returns the entry of a fingerprint if it has not expired, or nil.
func (l *Tracker) live(f Fingerprint, now time.Time) *entry {
	e := l.entries[f]
	if e == nil {
		return nil
	}
	if now.Sub(e.at) >= CrashExpiry {
		delete(l.entries, f)
		return nil
	}
	return e
}

func (l *Tracker) obtain(f Fingerprint, at time.Time) *entry {
	e := l.entries[f]
	if e == nil {
		e = &entry{at: at, servers: make(map[uint64]uint32)}
		l.entries[f] = e
	}
	return e
}

// bound removes expired entries, and the least important ones above maxEntries.
func (l *Tracker) bound(now time.Time) {
	if len(l.entries) <= maxEntries {
		return
	}
	for f := range l.entries {
		l.live(f, now)
	}
	excess := len(l.entries) - maxEntries
	if excess <= 0 {
		return
	}
	order := make([]Fingerprint, 0, len(l.entries))
	for f := range l.entries {
		order = append(order, f)
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		x, y := l.entries[a], l.entries[b]
		return cmp.Or(cmp.Compare(x.deaths(), y.deaths()), x.at.Compare(y.at), cmp.Compare(a, b))
	})
	for _, f := range order[:excess] {
		delete(l.entries, f)
	}
}
