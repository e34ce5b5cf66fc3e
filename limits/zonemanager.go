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

// AskBatch is an instance's request to its zone's keeper, for all limits.
type AskBatch struct {
	Member string // process of the instance
	Keeper string // as in the last answer of the asked instance; empty if none
	// Leaving says that the process has stopped using its grants for good.
	Leaving bool
	Asks    []NamedAsk
}

// NamedAsk asks for a part of one limit.
type NamedAsk struct {
	Name    string
	Demand  Amount // requests per second that callers offer
	Applied uint64 // Seq of the newest grant of Keeper that is applied
}

// GrantBatch answers an AskBatch.
type GrantBatch struct {
	Keeper string // process and period of the keeper
	Grants []NamedGrant
}

// NamedGrant is the grant for one limit.
type NamedGrant struct {
	Name string
	Grant
}

// AskFunc sends a batch to the instance with the name.
type AskFunc func(ctx context.Context, instance string, b AskBatch) (GrantBatch, error)

// ZoneOptions configures a ZoneManager. All fields are required; those of Options
// have its defaults.
type ZoneOptions struct {
	Options
	Zone string
	// Candidates returns the names of the zone's live instances, this one
	// included unless it drains.
	Candidates func() []string
	Ask        AskFunc
}

// Bounds on the search for a keeper.
const (
	// shareRequestTimeout is below the pause between asks, so that they never overlap.
	shareRequestTimeout = 700 * time.Millisecond
	// failuresBeforeSkip is the number of asks in a row that fail before the next
	// candidate is asked. One lost message does not start a second keeper.
	failuresBeforeSkip = 2
	// skipDuration is the time for which a candidate is not asked again. It is as
	// long as a grant, so that a short fault moves the zone's keeper once.
	skipDuration = 10 * time.Second
	// maxDeregisterSyncs bounds the tries to leave the ledgers after a tenure. Other
	// holders reclaim what is left after FloorTerm.
	maxDeregisterSyncs = 60
)

// lockedMember is a member with its lock.
type lockedMember struct {
	mu     sync.Mutex
	member *Member
}

// ZoneManager holds this process's parts of all limits when the holders of the
// ledgers are zones. The instance asks the live one with the lowest name in its
// own view. Whoever is asked is a keeper until nobody has asked for as long as a
// grant lasts. Two keepers of a zone are two holders of the ledger, so views that
// differ cost shares but admit nothing twice. Its methods are safe for concurrent
// use.
type ZoneManager struct {
	opts    ZoneOptions
	members atomic.Pointer[map[string]*lockedMember] // replaced, never changed
	syncMu  sync.Mutex                               // serializes Step and Release

	mu            sync.Mutex // guards the fields below
	generation    int64
	limits        map[string]Share
	closed        bool
	sessionCount  int // tenures so far
	session       *allocatorSession
	endedSessions []*allocatorSession // not out of the ledgers yet

	// Used by Step and Release only.
	allocatorIDs        map[string]string // newest tenure of each instance
	consecutiveFailures map[string]int
	skippedUntil        map[string]time.Time // until when
}

// NewZoneManager returns a manager without limits.
func NewZoneManager(o ZoneOptions) *ZoneManager {
	o.Options = o.Options.withDefaults()
	m := &ZoneManager{
		opts: o, limits: make(map[string]Share), allocatorIDs: make(map[string]string),
		consecutiveFailures: make(map[string]int), skippedUntil: make(map[string]time.Time),
	}
	m.members.Store(&map[string]*lockedMember{})
	return m
}

// SetLimits sets the limits of a configuration generation, as Manager.SetLimits.
func (m *ZoneManager) SetLimits(generation int64, limits []Limit) error {
	for _, l := range limits {
		if err := l.validate(); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if generation < m.generation {
		return nil
	}
	m.generation = generation
	m.limits = make(map[string]Share, len(limits))
	next := maps.Clone(*m.members.Load())
	for _, l := range limits {
		m.limits[l.Name] = l.Share()
		if next[l.Name] == nil {
			next[l.Name] = &lockedMember{member: NewMember(m.opts.ID, m.opts.Clock())}
		}
	}
	m.members.Store(&next)
	if m.session != nil {
		m.session.setLimits(generation, m.limits)
	}
	return nil
}

// Allow decides a request with the given cost, in requests. now is a reading of
// the monotonic clock. It does no I/O.
func (m *ZoneManager) Allow(name string, cost float64, now time.Time) Decision {
	s := (*m.members.Load())[name]
	if s == nil {
		return Decision{RetryAfter: m.opts.Every, Reason: ReasonUnknown}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Allow(cost, now)
}

// Shares returns the share in use of each limit.
func (m *ZoneManager) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for name, s := range *m.members.Load() {
		s.mu.Lock()
		shares[name] = s.member.Using(now)
		s.mu.Unlock()
	}
	return shares
}

// Names returns the names of the configured limits, sorted.
func (m *ZoneManager) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.limits))
}

// Answer answers an instance of the zone and makes this process a keeper if it is
// none. It returns *ClosedError after Release.
func (m *ZoneManager) Answer(b AskBatch) (GrantBatch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed && m.session == nil {
		return GrantBatch{}, &ClosedError{}
	}
	if m.session == nil {
		m.sessionCount++
		m.session = newAllocatorSession(fmt.Sprintf("%s/%s/%d", m.opts.ID, m.opts.Zone, m.sessionCount), m.opts.Zone, m.opts.Options)
		m.session.setLimits(m.generation, m.limits)
	}
	return m.session.grant(b), nil
}

// ClosedError reports that the process has given its shares back.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "this process no longer grants shares of limits" }

// Step asks the keeper once and, in a keeper, reads and writes the ledgers once.
// It returns one *StepError for each failed call.
func (m *ZoneManager) Step(ctx context.Context) []error {
	m.syncMu.Lock()
	defer m.syncMu.Unlock()
	err := m.requestShares(ctx)
	errs := m.syncSessions(ctx)
	if err != nil {
		errs = append(errs, &StepError{Op: "ask keeper", Err: err})
	}
	return errs
}

// Run steps until ctx is done and returns its error.
func (m *ZoneManager) Run(ctx context.Context) error {
	for {
		for _, err := range m.Step(ctx) {
			m.opts.OnError(err)
		}
		jitter := 0.8 + 0.4*m.opts.Rand.Float64()
		timer := time.NewTimer(time.Duration(float64(m.opts.Every) * jitter))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// requestShares sends the demand of all limits to the keeper and applies its grants.
func (m *ZoneManager) requestShares(ctx context.Context) error {
	askedAt := m.opts.Clock()
	keeper := m.chooseAllocator(askedAt)
	if keeper == "" {
		return nil
	}
	reply, err := m.sendBatch(ctx, keeper, m.nextBatch(keeper, askedAt))
	if err != nil {
		m.recordFailure(keeper, m.opts.Clock())
		return err
	}
	delete(m.consecutiveFailures, keeper)
	m.allocatorIDs[keeper] = reply.Keeper
	m.applyGrants(reply, askedAt)
	return nil
}

// chooseAllocator returns the live instance with the lowest name that is not skipped.
// An instance never skips itself.
func (m *ZoneManager) chooseAllocator(now time.Time) string {
	best := ""
	for _, name := range m.opts.Candidates() {
		if now.Before(m.skippedUntil[name]) && name != m.opts.Instance {
			continue
		}
		if best == "" || name < best {
			best = name
		}
	}
	return best
}

func (m *ZoneManager) recordFailure(keeper string, now time.Time) {
	m.consecutiveFailures[keeper]++
	if m.consecutiveFailures[keeper] >= failuresBeforeSkip {
		delete(m.consecutiveFailures, keeper)
		delete(m.allocatorIDs, keeper) // Release need not wait for it
		m.skippedUntil[keeper] = now.Add(skipDuration)
	}
}

func (m *ZoneManager) nextBatch(keeper string, now time.Time) AskBatch {
	b := AskBatch{Member: m.opts.ID, Keeper: m.allocatorIDs[keeper]}
	names := m.Names()
	slots := *m.members.Load() // has every name, because it was stored before
	for _, name := range names {
		s := slots[name]
		s.mu.Lock()
		a := s.member.Ask(b.Keeper, now)
		s.mu.Unlock()
		b.Asks = append(b.Asks, NamedAsk{Name: name, Demand: a.Demand, Applied: a.Applied})
	}
	return b
}

func (m *ZoneManager) sendBatch(ctx context.Context, keeper string, b AskBatch) (GrantBatch, error) {
	if keeper == m.opts.Instance {
		return m.Answer(b)
	}
	ctx, cancel := context.WithTimeout(ctx, shareRequestTimeout)
	defer cancel()
	return m.opts.Ask(ctx, keeper, b)
}

func (m *ZoneManager) applyGrants(b GrantBatch, askedAt time.Time) {
	slots := *m.members.Load()
	for _, g := range b.Grants {
		s := slots[g.Name]
		if s == nil {
			continue
		}
		s.mu.Lock()
		s.member.Apply(b.Keeper, g.Grant, askedAt, m.opts.Clock())
		s.mu.Unlock()
	}
}

// syncSessions runs the ledgers of this process as a keeper, and leaves those of ended
// tenures.
func (m *ZoneManager) syncSessions(ctx context.Context) []error {
	current, ended := m.rotateSessions()
	var errs []error
	if current != nil {
		errs = current.sync(ctx, (*Keeper).Propose)
	}
	for _, t := range ended {
		errs = append(errs, t.sync(ctx, (*Keeper).Leave)...)
		t.deregisterSyncs++
	}
	return errs
}

// rotateSessions ends the tenure that nobody uses, forgets those that are out of the
// ledgers and returns the rest.
func (m *ZoneManager) rotateSessions() (current *allocatorSession, ended []*allocatorSession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != nil && m.session.idle() {
		m.endedSessions = append(m.endedSessions, m.session)
		m.session = nil
	}
	m.endedSessions = slices.DeleteFunc(m.endedSessions, func(t *allocatorSession) bool {
		return t.deregisterSyncs >= maxDeregisterSyncs || t.deregisterSyncs > 0 && t.deregistered()
	})
	return m.session, slices.Clone(m.endedSessions)
}

// Release stops admitting and gives the shares back as far as no instance uses
// them. It returns one *StepError for each failed call; the shares that were not
// returned end with their terms. A released manager cannot be used again.
func (m *ZoneManager) Release(ctx context.Context) []error {
	m.syncMu.Lock()
	defer m.syncMu.Unlock()
	m.closeMembers(ctx)
	var errs []error
	for range maxReleaseTries {
		errs = nil
		current, ended := m.rotateSessions()
		if current != nil {
			ended = append(ended, current)
		}
		pending := false
		for _, t := range ended {
			errs = append(errs, t.sync(ctx, (*Keeper).Leave)...)
			pending = pending || !t.deregistered()
		}
		if !pending {
			break
		}
	}
	return errs
}

// closeMembers stops admitting and tells the keeper.
func (m *ZoneManager) closeMembers(ctx context.Context) {
	now := m.opts.Clock()
	for _, s := range *m.members.Load() {
		s.mu.Lock()
		s.member.Close(now)
		s.mu.Unlock()
	}
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for instance := range m.allocatorIDs {
		b := m.nextBatch(instance, now)
		b.Leaving = true
		// A keeper that does not hear it waits for the end of the grants.
		_, _ = m.sendBatch(ctx, instance, b)
	}
}
