package claims

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Config configures a Store. Durations and counts that are zero get the default
// values.
type Config struct {
	// Self identifies this process. The boot ID must be unique, because the change
	// IDs of transactions are derived from it.
	Self              Claimant
	StartTimeout      time.Duration
	BatchDelay        time.Duration
	MaxBatchRows      int
	CallTimeout       time.Duration
	RetryTimeout      time.Duration
	InProgressTimeout time.Duration
	// Liveness returns whether the process that claimed a row is alive, for example
	// from identity.Watcher.ProcessState. If it is nil, LivenessUnknown is assumed.
	Liveness func(Claimant) Liveness
	// Jitter returns a random number in [0, 1) for retry delays. If it is nil, the
	// global random source is used.
	Jitter func() float64
	// Logger receives an error for each claim row whose final state was not stored.
	// If it is nil, nothing is logged.
	Logger *slog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.StartTimeout, DefaultStartTimeout)
	setDefault(&c.BatchDelay, DefaultBatchDelay)
	setDefault(&c.MaxBatchRows, DefaultMaxBatchRows)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.RetryTimeout, DefaultRetryTimeout)
	setDefault(&c.InProgressTimeout, DefaultInProgressTimeout)
	if c.Liveness == nil {
		c.Liveness = func(Claimant) Liveness { return LivenessUnknown }
	}
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Store writes and reads the claims of one entry instance. It is safe for concurrent
// use.
type Store struct {
	config           Config
	table            tablestore.Table
	objects          tablestore.ObjectStore
	writer           *writer
	ctx              context.Context
	stop             context.CancelFunc
	lastChangeNumber atomic.Uint64

	mu           sync.Mutex
	activeClaims map[string]*Claim      // unfinished claims of this process, by row key
	observedRows map[string]observedRow // rows of other claimants and of finished sent claims, by row key
	pendingBytes int
	closed       bool
	allSettled   chan struct{} // closed when closed is set and activeClaims is empty
}

// observedRow records when this process first saw a version of a claim row.
type observedRow struct {
	version   int64 // 0: set by this process when it finished its own sent claim
	firstSeen time.Time
}

// NewStore returns a store and starts its writer. The caller must call Close.
func NewStore(config Config, table tablestore.Table, objects tablestore.ObjectStore) *Store {
	ctx, stop := context.WithCancel(context.Background())
	s := &Store{
		config:       config.withDefaults(),
		table:        table,
		objects:      objects,
		ctx:          ctx,
		stop:         stop,
		activeClaims: make(map[string]*Claim),
		observedRows: make(map[string]observedRow),
		allSettled:   make(chan struct{}),
	}
	s.writer = newWriter(ctx, table, s.config, s.newChangeID)
	go s.writer.run()
	return s
}

// newChangeID returns a change ID that is unique among all processes and calls.
func (s *Store) newChangeID() string {
	self := s.config.Self
	return fmt.Sprintf("%s-%x-%d", self.Instance, self.BootID, s.lastChangeNumber.Add(1))
}

// Close rejects new claims, waits until all claims of this process are finished or
// ctx ends, and then stops the background work. It returns the error of ctx if claims
// are unfinished; requests with their keys are then answered with "outcome unknown".
func (s *Store) Close(ctx context.Context) error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		s.signalSettledLocked()
	}
	s.mu.Unlock()
	defer s.stop()
	select {
	case <-s.allSettled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalSettledLocked closes allSettled if the store is closed and no claim is
// unfinished. The caller holds the mutex.
func (s *Store) signalSettledLocked() {
	if s.closed && len(s.activeClaims) == 0 {
		close(s.allSettled)
	}
}

// addActive adds an unfinished claim for the request, or returns the existing one if
// this process has an unfinished claim on the same row.
func (s *Store) addActive(req Request) (c, existing *Claim, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil, &StoreClosedError{}
	}
	key := req.RowKey()
	if existing := s.activeClaims[key]; existing != nil {
		return nil, existing, nil
	}
	if len(s.activeClaims) >= MaxActiveClaims {
		return nil, nil, &ActiveClaimLimitError{Max: MaxActiveClaims}
	}
	c = &Claim{store: s, rowKey: key, fingerprint: req.Fingerprint}
	s.activeClaims[key] = c
	return c, nil, nil
}

// removeActive removes a finished claim. If its request may have been sent, the row is
// recorded as observed.
func (s *Store) removeActive(c *Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeClaims[c.rowKey] != c {
		return
	}
	delete(s.activeClaims, c.rowKey)
	if c.mayHaveBeenSent() {
		s.observeLocked(c.rowKey, 0, time.Now())
	}
	s.signalSettledLocked()
}

// addPendingBytes counts the size of a response that is to be stored. It returns
// *PendingResponseLimitError if the total would exceed MaxPendingResponseBytes.
func (s *Store) addPendingBytes(bytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingBytes+bytes > MaxPendingResponseBytes {
		return &PendingResponseLimitError{Bytes: s.pendingBytes + bytes, Max: MaxPendingResponseBytes}
	}
	s.pendingBytes += bytes
	return nil
}

// subtractPendingBytes reverts a successful addPendingBytes.
func (s *Store) subtractPendingBytes(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingBytes -= bytes
}

// observedUnchangedFor returns the time since this process first saw the version of
// the row, and records the version if it is new.
func (s *Store) observedUnchangedFor(row tablestore.Row, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen, ok := s.observedRows[row.Key]; ok && seen.version == row.Version {
		return now.Sub(seen.firstSeen)
	}
	s.observeLocked(row.Key, row.Version, now)
	return 0
}

// observeLocked records that a row version was seen at the time now. The caller holds
// the mutex.
func (s *Store) observeLocked(key string, version int64, now time.Time) {
	if len(s.observedRows) >= MaxObservedRows {
		s.evictObservationLocked()
	}
	s.observedRows[key] = observedRow{version: version, firstSeen: now}
}

// hasObserved reports whether this process has seen a claim on the row whose request
// may have run.
func (s *Store) hasObserved(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.observedRows[key]
	return ok
}

// removeObservation forgets a row that was released.
func (s *Store) removeObservation(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.observedRows, key)
}

// evictObservationLocked forgets an arbitrary row. Requests with its key may then be
// answered with "in progress" for longer, and an error during an outage of the
// platform no longer says that an earlier request may have run. The caller holds the
// mutex.
func (s *Store) evictObservationLocked() {
	for key := range s.observedRows {
		delete(s.observedRows, key)
		return
	}
}
