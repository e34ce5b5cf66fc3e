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

// Config configures a Store. Zero durations and counts take the defaults.
type Config struct {
	// Self identifies this process. The boot id must be unique, because change
	// ids are derived from it.
	Self          Claimant
	StartTimeout   time.Duration
	BatchDelay        time.Duration
	MaxBatchRows      int
	CallTimeout   time.Duration
	RetryTimeout      time.Duration
	InProgressTimeout time.Duration
	// Liveness says what is known about the claimant of a row, for example from
	// identity.Watcher.ProcessState. Nil means that nothing is known.
	Liveness func(Claimant) Liveness
	// Jitter returns a random number in [0, 1) for retry delays. Nil takes the
	// global random source.
	Jitter func() float64
	// Logger receives claims that are given up. Nil discards them.
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Store claims requests of one entry instance. It is safe for concurrent use.
type Store struct {
	config   Config
	table    tablestore.Table
	objects  tablestore.ObjectStore
	writer   *writer
	ctx      context.Context
	stop     context.CancelFunc
	changeNo atomic.Uint64

	mu           sync.Mutex
	active       map[string]*Claim // by row key, until the row is settled
	observed     map[string]observedRow
	pendingBytes int
	closed       bool
	idle         chan struct{} // closed when closed is set and active is empty
}

// observedRow remembers since when a row version has been seen.
type observedRow struct {
	version int64 // 0: this process sent the request itself
	since   time.Time
}

// NewStore returns a store and starts its writer. Close must be called.
func NewStore(config Config, table tablestore.Table, objects tablestore.ObjectStore) *Store {
	ctx, stop := context.WithCancel(context.Background())
	s := &Store{
		config:   config.withDefaults(),
		table:    table,
		objects:  objects,
		ctx:      ctx,
		stop:     stop,
		active:   make(map[string]*Claim),
		observed: make(map[string]observedRow),
		idle:     make(chan struct{}),
	}
	s.writer = newWriter(ctx, table, s.config, s.newChangeID)
	go s.writer.run()
	return s
}

// newChangeID returns an id that no other process and no earlier call has used.
func (s *Store) newChangeID() string {
	self := s.config.Self
	return fmt.Sprintf("%s-%x-%d", self.Instance, self.BootID, s.changeNo.Add(1))
}

// Close refuses new claims and waits until the rows of all claims of this
// process are settled or ctx ends. Then it stops the background work. It returns
// the error of ctx when rows were left unsettled; their keys answer "outcome
// unknown".
func (s *Store) Close(ctx context.Context) error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		s.signalIdle()
	}
	s.mu.Unlock()
	defer s.stop()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle is called with the mutex held.
func (s *Store) signalIdle() {
	if s.closed && len(s.active) == 0 {
		close(s.idle)
	}
}

// enter registers a claim of this process, or returns the one that already works
// on the row.
func (s *Store) enter(req Request) (c, existing *Claim, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil, &StoreClosedError{}
	}
	key := req.RowKey()
	if existing := s.active[key]; existing != nil {
		return nil, existing, nil
	}
	if len(s.active) >= MaxActiveClaims {
		return nil, nil, &ActiveClaimLimitError{Max: MaxActiveClaims}
	}
	c = &Claim{store: s, key: key, fingerprint: req.Fingerprint}
	s.active[key] = c
	return c, nil, nil
}

// leave ends this process's work on a row.
func (s *Store) leave(c *Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[c.key] != c {
		return
	}
	delete(s.active, c.key)
	if c.wasSent() {
		s.observeLocked(c.key, 0, time.Now())
	}
	s.signalIdle()
}

// reserve accounts for an outcome that waits for the platform. It returns
// *PendingResponseLimitError when too many bytes wait.
func (s *Store) reserve(bytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingBytes+bytes > MaxPendingResponseBytes {
		return &PendingResponseLimitError{Bytes: s.pendingBytes + bytes, Max: MaxPendingResponseBytes}
	}
	s.pendingBytes += bytes
	return nil
}

func (s *Store) unreserve(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingBytes -= bytes
}

// unchangedFor returns how long this process has seen the row version.
func (s *Store) unchangedFor(row tablestore.Row, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen, ok := s.observed[row.Key]; ok && seen.version == row.Version {
		return now.Sub(seen.since)
	}
	s.observeLocked(row.Key, row.Version, now)
	return 0
}

func (s *Store) observeLocked(key string, version int64, now time.Time) {
	if len(s.observed) >= MaxObservedRows {
		s.forgetOne()
	}
	s.observed[key] = observedRow{version: version, since: now}
}

// hasSeen reports whether a claim that may have run was seen on the row.
func (s *Store) hasSeen(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.observed[key]
	return ok
}

// forget drops the observation of a row that was released.
func (s *Store) forget(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.observed, key)
}

// forgetOne drops an arbitrary observation. Its row is then reported as "in
// progress" for longer, and a refusal during an outage only speaks for the
// request at hand.
func (s *Store) forgetOne() {
	for key := range s.observed {
		delete(s.observed, key)
		return
	}
}
