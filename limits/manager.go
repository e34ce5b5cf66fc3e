package limits

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Options configures a Manager. Table, ID and Instance are required.
type Options struct {
	Table tablestore.Table
	// Instances is read only when Policy.ReclaimDelistedFloors is set.
	Instances tablestore.InstanceList
	// ID names this process and must differ from that of any other process,
	// also an earlier one of the same instance.
	ID string
	// Instance is the name in the platform's list, or the zone's name when the
	// holders are zones.
	Instance string
	Policy   Policy           // the zero value means DefaultPolicy
	Clock    func() time.Time // monotonic; nil means time.Now
	// SyncInterval is the time between two readings of the table. Zero means 1 s.
	SyncInterval time.Duration
	// CallTimeout is the deadline of each platform call. Zero means 2 s.
	CallTimeout time.Duration
	// MaxParallelWrites bounds concurrent writes. Zero means 4.
	MaxParallelWrites int
	Rand     *rand.Rand      // for jitter; nil means a random seed
	OnError  func(err error) // called by Run with each *SyncError; may be nil
}

// Defaults of Options.
const (
	defaultEvery       = time.Second
	defaultCallTimeout = 2 * time.Second
	defaultParallel    = 4
)

func (o Options) withDefaults() Options {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.SyncInterval <= 0 {
		o.SyncInterval = defaultEvery
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.MaxParallelWrites <= 0 {
		o.MaxParallelWrites = defaultParallel
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// slot is a holder with its lock.
type slot struct {
	mu     sync.Mutex
	holder *ShareHolder
}

// Manager holds this process's shares of all limits. Its methods are safe for
// concurrent use.
type Manager struct {
	opts  Options
	slots atomic.Pointer[map[string]*slot] // replaced, never changed
	set   sync.Mutex                       // serializes SetLimits and Release
	steps sync.Mutex                       // serializes Step and Release
	gen   int64
	kick  chan struct{} // asks for a step before the next regular one
}

// NewManager returns a manager without limits.
func NewManager(o Options) *Manager {
	m := &Manager{opts: o.withDefaults(), kick: make(chan struct{}, 1)}
	m.slots.Store(&map[string]*slot{})
	return m
}

// SetLimits sets the limits of a configuration generation. A lower generation
// than before is ignored. A limit that is no longer named gets a rate and burst
// of 0, so that its shares are given up. It returns *LimitValueError and then
// changes nothing.
func (m *Manager) SetLimits(generation int64, limits []Limit) error {
	for _, l := range limits {
		if err := l.validate(); err != nil {
			return err
		}
	}
	m.set.Lock()
	defer m.set.Unlock()
	if generation < m.gen {
		return nil
	}
	m.gen = generation
	m.apply(generation, limits)
	return nil
}

func (l Limit) validate() error {
	if !(l.RatePerSecond >= 0) || math.IsInf(l.RatePerSecond, 1) {
		return &LimitValueError{Name: l.Name, Field: "rate per second", Value: l.RatePerSecond}
	}
	if !(l.Burst >= 0) || math.IsInf(l.Burst, 1) {
		return &LimitValueError{Name: l.Name, Field: "burst", Value: l.Burst}
	}
	return nil
}

func (m *Manager) apply(generation int64, limits []Limit) {
	now := m.opts.Clock()
	next := maps.Clone(*m.slots.Load())
	wanted := make(map[string]Share, len(limits))
	for _, l := range limits {
		wanted[l.Name] = l.Share()
		if next[l.Name] == nil {
			next[l.Name] = &slot{holder: NewShareHolder(m.opts.ID, m.opts.Instance, m.opts.Policy, now)}
		}
	}
	for name, s := range next {
		s.mu.Lock()
		s.holder.SetLimit(wanted[name], generation)
		s.mu.Unlock()
	}
	m.slots.Store(&next)
}

// Allow decides a request with the given cost, in requests. now is a reading of
// the monotonic clock. It does no I/O.
func (m *Manager) Allow(name string, cost float64, now time.Time) Decision {
	s := (*m.slots.Load())[name]
	if s == nil {
		return Decision{RetryAfter: m.opts.SyncInterval, Reason: ReasonUnknownLimit}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.holder.Allow(cost, now)
	if !d.Allowed && s.holder.NeedsEarlySync(now) {
		m.requestStep()
	}
	return d
}

func (m *Manager) requestStep() {
	select {
	case m.kick <- struct{}{}:
	default: // one is requested already
	}
}

// SyncRequested is signaled when a step before the next regular one would help:
// a burst meets a limit that has a free part. Run follows it.
func (m *Manager) SyncRequested() <-chan struct{} { return m.kick }

// Shares returns the share in use of each limit.
func (m *Manager) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for name, s := range *m.slots.Load() {
		s.mu.Lock()
		shares[name] = s.holder.ActiveShare(now)
		s.mu.Unlock()
	}
	return shares
}

// Run steps until ctx is done and returns its error. Each pause varies by a
// fifth, so that instances that started together do not stay in step.
func (m *Manager) Run(ctx context.Context) error {
	for {
		for _, err := range m.Sync(ctx) {
			m.opts.OnError(err)
		}
		jitter := 0.8 + 0.4*m.opts.Rand.Float64()
		if err := m.pause(ctx, time.Duration(float64(m.opts.SyncInterval)*jitter)); err != nil {
			return err
		}
	}
}

// SyncRequestDelay is the shortest time between two steps. It bounds the reads that
// requested steps cause, and lets the first requests of a burst be counted.
const SyncRequestDelay = 100 * time.Millisecond

// pause waits for d, or for SyncRequestDelay once a step is requested.
func (m *Manager) pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	case <-m.kick:
	}
	timer.Reset(min(d, SyncRequestDelay))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
