package limits

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ShareRequestBatch is an instance's request to its zone's keeper, for all limits.
type ShareRequestBatch struct {
	MemberID string // process of the instance
	AllocatorID string // as in the last answer of the asked instance; empty if none
	// Leaving says that the process has stopped using its grants for good.
	Leaving bool
	Requests    []NamedShareRequest
}

// NamedShareRequest asks for a part of one limit.
type NamedShareRequest struct {
	LimitName    string
	Demand  MicroRequests // requests per second that callers offer
	AppliedSeq uint64 // Seq of the newest grant of Keeper that is applied
}

// ShareGrantBatch answers an ShareRequestBatch.
type ShareGrantBatch struct {
	AllocatorID string // process and period of the keeper
	Grants []NamedShareGrant
}

// NamedShareGrant is the grant for one limit.
type NamedShareGrant struct {
	LimitName string
	ShareGrant
}

// RequestSharesFunc sends a batch to the instance with the name.
type RequestSharesFunc func(ctx context.Context, instance string, b ShareRequestBatch) (ShareGrantBatch, error)

// ZoneOptions configures a ZoneManager. All fields are required; those of Options
// have its defaults.
type ZoneOptions struct {
	Options
	Zone string
	// AllocatorCandidates returns the names of the zone's live instances, this one
	// included unless it drains.
	AllocatorCandidates func() []string
	RequestShares        RequestSharesFunc
}

// Bounds on the search for a keeper.
const (
	// askTimeout is below the pause between asks, so that they never overlap.
	askTimeout = 700 * time.Millisecond
	// skipAfter is the number of asks in a row that fail before the next
	// candidate is asked. One lost message does not start a second keeper.
	skipAfter = 2
	// skipFor is the time for which a candidate is not asked again. It is as
	// long as a grant, so that a short fault moves the zone's keeper once.
	skipFor = 10 * time.Second
	// leaveSteps bounds the tries to leave the ledgers after a tenure. Other
	// holders reclaim what is left after FloorTerm.
	leaveSteps = 60
)

// memberSlot is a member with its lock.
type memberSlot struct {
	mu     sync.Mutex
	member *ZoneMember
}

// ZoneManager holds this process's parts of all limits when the holders of the
// ledgers are zones. The instance asks the live one with the lowest name in its
// own view. Whoever is asked is a keeper until nobody has asked for as long as a
// grant lasts. Two keepers of a zone are two holders of the ledger, so views that
// differ cost shares but admit nothing twice. Its methods are safe for concurrent
// use.
type ZoneManager struct {
	opts  ZoneOptions
	slots atomic.Pointer[map[string]*memberSlot] // replaced, never changed
	steps sync.Mutex                             // serializes Step and Release

	set    sync.Mutex // guards the fields below
	gen    int64
	wanted map[string]Share
	closed bool
	count  int // tenures so far
	keeps  *tenure
	ended  []*tenure // not out of the ledgers yet

	// Used by Step and Release only.
	keepers  map[string]string // newest tenure of each instance
	failures map[string]int
	skipped  map[string]time.Time // until when
}

// NewZoneManager returns a manager without limits.
func NewZoneManager(o ZoneOptions) *ZoneManager {
	o.Options = o.Options.withDefaults()
	m := &ZoneManager{
		opts: o, wanted: make(map[string]Share), keepers: make(map[string]string),
		failures: make(map[string]int), skipped: make(map[string]time.Time),
	}
	m.slots.Store(&map[string]*memberSlot{})
	return m
}

// SetLimits sets the limits of a configuration generation, as Manager.SetLimits.
func (m *ZoneManager) SetLimits(generation int64, limits []Limit) error {
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
	m.wanted = make(map[string]Share, len(limits))
	next := maps.Clone(*m.slots.Load())
	for _, l := range limits {
		m.wanted[l.Name] = l.Share()
		if next[l.Name] == nil {
			next[l.Name] = &memberSlot{member: NewZoneMember(m.opts.ID, m.opts.Clock())}
		}
	}
	m.slots.Store(&next)
	if m.keeps != nil {
		m.keeps.setLimits(generation, m.wanted)
	}
	return nil
}

// Allow decides a request with the given cost, in requests. now is a reading of
// the monotonic clock. It does no I/O.
func (m *ZoneManager) Allow(name string, cost float64, now time.Time) Decision {
	s := (*m.slots.Load())[name]
	if s == nil {
		return Decision{RetryAfter: m.opts.SyncInterval, Reason: ReasonUnknownLimit}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Allow(cost, now)
}

// Shares returns the share in use of each limit.
func (m *ZoneManager) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for name, s := range *m.slots.Load() {
		s.mu.Lock()
		shares[name] = s.member.ActiveShare(now)
		s.mu.Unlock()
	}
	return shares
}

// LimitNames returns the names of the configured limits, sorted.
func (m *ZoneManager) LimitNames() []string {
	m.set.Lock()
	defer m.set.Unlock()
	return slices.Sorted(maps.Keys(m.wanted))
}

// GrantShares answers an instance of the zone and makes this process a keeper if it is
// none. It returns *ClosedError after Release.
func (m *ZoneManager) GrantShares(b ShareRequestBatch) (ShareGrantBatch, error) {
	m.set.Lock()
	defer m.set.Unlock()
	if m.closed && m.keeps == nil {
		return ShareGrantBatch{}, &ClosedError{}
	}
	if m.keeps == nil {
		m.count++
		m.keeps = newTenure(fmt.Sprintf("%s/%s/%d", m.opts.ID, m.opts.Zone, m.count), m.opts.Zone, m.opts.Options)
		m.keeps.setLimits(m.gen, m.wanted)
	}
	return m.keeps.answer(b), nil
}

// ClosedError reports that the process has given its shares back.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "this process no longer grants shares of limits" }

// Sync asks the keeper once and, in a keeper, reads and writes the ledgers once.
// It returns one *SyncError for each failed call.
func (m *ZoneManager) Sync(ctx context.Context) []error {
	m.steps.Lock()
	defer m.steps.Unlock()
	err := m.ask(ctx)
	errs := m.keep(ctx)
	if err != nil {
		errs = append(errs, &SyncError{Op: "ask keeper", Err: err})
	}
	return errs
}

// Run steps until ctx is done and returns its error.
func (m *ZoneManager) Run(ctx context.Context) error {
	for {
		for _, err := range m.Sync(ctx) {
			m.opts.OnError(err)
		}
		jitter := 0.8 + 0.4*m.opts.Rand.Float64()
		timer := time.NewTimer(time.Duration(float64(m.opts.SyncInterval) * jitter))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// ask sends the demand of all limits to the keeper and applies its grants.
func (m *ZoneManager) ask(ctx context.Context) error {
	askedAt := m.opts.Clock()
	keeper := m.chooseKeeper(askedAt)
	if keeper == "" {
		return nil
	}
	reply, err := m.send(ctx, keeper, m.batch(keeper, askedAt))
	if err != nil {
		m.failed(keeper, m.opts.Clock())
		return err
	}
	delete(m.failures, keeper)
	m.keepers[keeper] = reply.AllocatorID
	m.apply(reply, askedAt)
	return nil
}

// chooseKeeper returns the live instance with the lowest name that is not skipped.
// An instance never skips itself.
func (m *ZoneManager) chooseKeeper(now time.Time) string {
	best := ""
	for _, name := range m.opts.AllocatorCandidates() {
		if now.Before(m.skipped[name]) && name != m.opts.Instance {
			continue
		}
		if best == "" || name < best {
			best = name
		}
	}
	return best
}

func (m *ZoneManager) failed(keeper string, now time.Time) {
	m.failures[keeper]++
	if m.failures[keeper] >= skipAfter {
		delete(m.failures, keeper)
		delete(m.keepers, keeper) // Release need not wait for it
		m.skipped[keeper] = now.Add(skipFor)
	}
}

func (m *ZoneManager) batch(keeper string, now time.Time) ShareRequestBatch {
	b := ShareRequestBatch{MemberID: m.opts.ID, AllocatorID: m.keepers[keeper]}
	names := m.LimitNames()
	slots := *m.slots.Load() // has every name, because it was stored before
	for _, name := range names {
		s := slots[name]
		s.mu.Lock()
		a := s.member.NextRequest(b.AllocatorID, now)
		s.mu.Unlock()
		b.Requests = append(b.Requests, NamedShareRequest{LimitName: name, Demand: a.Demand, AppliedSeq: a.AppliedSeq})
	}
	return b
}

func (m *ZoneManager) send(ctx context.Context, keeper string, b ShareRequestBatch) (ShareGrantBatch, error) {
	if keeper == m.opts.Instance {
		return m.GrantShares(b)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return m.opts.RequestShares(ctx, keeper, b)
}

func (m *ZoneManager) apply(b ShareGrantBatch, askedAt time.Time) {
	slots := *m.slots.Load()
	for _, g := range b.Grants {
		s := slots[g.LimitName]
		if s == nil {
			continue
		}
		s.mu.Lock()
		s.member.ApplyGrant(b.AllocatorID, g.ShareGrant, askedAt, m.opts.Clock())
		s.mu.Unlock()
	}
}

// keep runs the ledgers of this process as a keeper, and leaves those of ended
// tenures.
func (m *ZoneManager) keep(ctx context.Context) []error {
	current, ended := m.tenures()
	var errs []error
	if current != nil {
		errs = current.step(ctx, (*Allocator).Propose)
	}
	for _, t := range ended {
		errs = append(errs, t.step(ctx, (*Allocator).Deregister)...)
		t.leaves++
	}
	return errs
}

// tenures ends the tenure that nobody uses, forgets those that are out of the
// ledgers and returns the rest.
func (m *ZoneManager) tenures() (current *tenure, ended []*tenure) {
	m.set.Lock()
	defer m.set.Unlock()
	if m.keeps != nil && m.keeps.idle() {
		m.ended = append(m.ended, m.keeps)
		m.keeps = nil
	}
	m.ended = slices.DeleteFunc(m.ended, func(t *tenure) bool {
		return t.leaves >= leaveSteps || t.leaves > 0 && t.left()
	})
	return m.keeps, slices.Clone(m.ended)
}

// Release stops admitting and gives the shares back as far as no instance uses
// them. It returns one *SyncError for each failed call; the shares that were not
// returned end with their terms. A released manager cannot be used again.
func (m *ZoneManager) Release(ctx context.Context) []error {
	m.steps.Lock()
	defer m.steps.Unlock()
	m.close(ctx)
	var errs []error
	for range releaseTries {
		errs = nil
		current, ended := m.tenures()
		if current != nil {
			ended = append(ended, current)
		}
		pending := false
		for _, t := range ended {
			errs = append(errs, t.step(ctx, (*Allocator).Deregister)...)
			pending = pending || !t.left()
		}
		if !pending {
			break
		}
	}
	return errs
}

// close stops admitting and tells the keeper.
func (m *ZoneManager) close(ctx context.Context) {
	now := m.opts.Clock()
	for _, s := range *m.slots.Load() {
		s.mu.Lock()
		s.member.Close(now)
		s.mu.Unlock()
	}
	m.set.Lock()
	m.closed = true
	m.set.Unlock()
	for instance := range m.keepers {
		b := m.batch(instance, now)
		b.Leaving = true
		// A keeper that does not hear it waits for the end of the grants.
		_, _ = m.send(ctx, instance, b)
	}
}
