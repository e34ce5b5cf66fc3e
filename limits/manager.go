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

// Options configures a Manager, and the common part of a ZoneManager. Table, ID and
// Instance are required.
type Options struct {
	Table tablestore.Table
	// Instances is used only if Policy.ReclaimDelistedFloors is set.
	Instances tablestore.InstanceLister
	// ID identifies this process. It must differ from that of any other process,
	// including earlier ones of the same instance.
	ID string
	// Instance is this instance's name in the platform's list.
	Instance string
	Policy   Policy           // the zero value means DefaultPolicy
	Clock    func() time.Time // monotonic; nil means time.Now
	// SyncInterval is the mean time between two syncs. Zero means 1 s.
	SyncInterval time.Duration
	// CallTimeout is the timeout of each platform call. Zero means 2 s.
	CallTimeout time.Duration
	// MaxParallelWrites bounds concurrent writes. Zero means 4.
	MaxParallelWrites int
	Rand              *rand.Rand // for jitter; nil means a random seed
	// OnError is called with each *SyncError that Run meets, and by Sync for rows that
	// cannot be decoded. It may be nil.
	OnError func(err error)
}

// Defaults of Options.
const (
	defaultSyncInterval      = time.Second
	defaultCallTimeout       = 2 * time.Second
	defaultMaxParallelWrites = 4
)

func (o Options) withDefaults() Options {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.SyncInterval <= 0 {
		o.SyncInterval = defaultSyncInterval
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.MaxParallelWrites <= 0 {
		o.MaxParallelWrites = defaultMaxParallelWrites
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return o
}

// lockedHolder is the holder of one limit with its lock.
type lockedHolder struct {
	mu     sync.Mutex
	holder *ShareHolder
}

// Manager holds this process's shares of all limits in the direct mode, in which the
// instances are the holders of the ledgers. Its methods are safe for concurrent use.
type Manager struct {
	opts         Options
	holders      atomic.Pointer[map[string]*lockedHolder] // by limit name; copy-on-write
	limitsMu     sync.Mutex                               // serializes SetLimits; guards generation
	syncMu       sync.Mutex                               // serializes Sync and Release
	generation   int64
	syncRequests chan struct{} // capacity 1; a value requests a sync before the next regular one
}

// NewManager returns a manager without limits.
func NewManager(o Options) *Manager {
	m := &Manager{opts: o.withDefaults(), syncRequests: make(chan struct{}, 1)}
	m.holders.Store(&map[string]*lockedHolder{})
	return m
}

// SetLimits sets the limits of a configuration generation. It ignores a generation lower
// than the current one. A limit that is no longer configured gets a rate and burst of 0, so
// that its shares return to the ledger. If a limit is invalid, SetLimits returns a
// *LimitValueError and changes nothing.
func (m *Manager) SetLimits(generation int64, limits []Limit) error {
	for _, l := range limits {
		if err := l.validate(); err != nil {
			return err
		}
	}
	m.limitsMu.Lock()
	defer m.limitsMu.Unlock()
	if generation < m.generation {
		return nil
	}
	m.generation = generation
	m.applyLimits(generation, limits)
	return nil
}

// validate returns a *LimitValueError if rate or burst is negative, infinite or NaN.
func (l Limit) validate() error {
	if !(l.RatePerSecond >= 0) || math.IsInf(l.RatePerSecond, 1) {
		return &LimitValueError{Name: l.Name, Field: "rate per second", Value: l.RatePerSecond}
	}
	if !(l.Burst >= 0) || math.IsInf(l.Burst, 1) {
		return &LimitValueError{Name: l.Name, Field: "burst", Value: l.Burst}
	}
	return nil
}

// applyLimits sets the limit of each holder and adds holders for new limits.
func (m *Manager) applyLimits(generation int64, limits []Limit) {
	now := m.opts.Clock()
	next := maps.Clone(*m.holders.Load())
	shares := make(map[string]Share, len(limits))
	for _, l := range limits {
		shares[l.Name] = l.Share()
		if next[l.Name] == nil {
			next[l.Name] = &lockedHolder{holder: NewShareHolder(m.opts.ID, m.opts.Instance, m.opts.Policy, now)}
		}
	}
	for name, h := range next {
		h.mu.Lock()
		h.holder.SetLimit(shares[name], generation)
		h.mu.Unlock()
	}
	m.holders.Store(&next)
}

// Allow admits or rejects a request with the given cost, in requests, by the named limit.
// now is a reading of the monotonic clock. It does no I/O.
func (m *Manager) Allow(name string, cost float64, now time.Time) Decision {
	h := (*m.holders.Load())[name]
	if h == nil {
		return Decision{RetryAfter: m.opts.SyncInterval, Reason: ReasonUnknownLimit}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.holder.Allow(cost, now)
	if !d.Allowed && h.holder.NeedsEarlySync(now) {
		m.requestSync()
	}
	return d
}

// requestSync requests a sync before the next regular one. It does not block.
func (m *Manager) requestSync() {
	select {
	case m.syncRequests <- struct{}{}:
	default: // a request is pending already
	}
}

// SyncRequested returns a channel that receives a value when a sync before the next
// regular one would help: requests are rejected while part of their limit is unallocated.
// Run reads from it.
func (m *Manager) SyncRequested() <-chan struct{} { return m.syncRequests }

// Shares returns this process's active share of each limit, by limit name.
func (m *Manager) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for name, h := range *m.holders.Load() {
		h.mu.Lock()
		shares[name] = h.holder.ActiveShare(now)
		h.mu.Unlock()
	}
	return shares
}

// Run syncs until ctx is done and returns its error. Each pause varies by up to a fifth in
// both directions, so that instances that started together do not sync at the same time.
func (m *Manager) Run(ctx context.Context) error {
	for {
		for _, err := range m.Sync(ctx) {
			m.opts.OnError(err)
		}
		jitter := 0.8 + 0.4*m.opts.Rand.Float64()
		if err := m.waitForNextSync(ctx, time.Duration(float64(m.opts.SyncInterval)*jitter)); err != nil {
			return err
		}
	}
}

// SyncRequestDelay is the time from the request for an early sync to that sync. It bounds the
// reads that early syncs cause, and lets the first requests of a burst be counted as demand.
const SyncRequestDelay = 100 * time.Millisecond

// waitForNextSync waits for d, or until SyncRequestDelay after a sync is requested. It
// returns the error of ctx if that is done first.
func (m *Manager) waitForNextSync(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	case <-m.syncRequests:
	}
	timer.Reset(min(d, SyncRequestDelay))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
