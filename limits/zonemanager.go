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

// ShareRequestBatch is an instance's share requests for all limits, sent to its zone's allocator.
type ShareRequestBatch struct {
	MemberID string // Options.ID of the process that requests
	// AllocatorID is the ID from the last answer of the instance that is asked. It is
	// empty if there was none.
	AllocatorID string
	// Leaving says that the member has stopped using its grants for good.
	Leaving  bool
	Requests []NamedShareRequest
}

// NamedShareRequest is the request for a share of one limit.
type NamedShareRequest struct {
	LimitName  string
	Demand     MicroRequests // requests per second at the member, admitted or rejected
	AppliedSeq uint64        // Seq of the newest grant of that allocator that the member has applied
}

// ShareGrantBatch is an allocator's answer to a batch of share requests.
type ShareGrantBatch struct {
	AllocatorID string // ID of the allocator session
	Grants      []NamedShareGrant
}

// NamedShareGrant is the share granted of one limit.
type NamedShareGrant struct {
	LimitName string
	ShareGrant
}

// RequestSharesFunc sends a batch of share requests to the named instance and returns its answer.
type RequestSharesFunc func(ctx context.Context, instance string, b ShareRequestBatch) (ShareGrantBatch, error)

// ZoneOptions configures a ZoneManager. Its own fields are all required. The fields of Options
// have the same defaults as for a Manager.
type ZoneOptions struct {
	Options
	Zone string // name of the zone
	// AllocatorCandidates returns the names of the zone's live instances. It includes this
	// instance unless it drains.
	AllocatorCandidates func() []string
	// RequestShares sends share requests to another instance.
	RequestShares RequestSharesFunc
}

// Bounds on the choice of an allocator.
const (
	// shareRequestTimeout is shorter than the shortest pause between two share requests,
	// so that they do not overlap.
	shareRequestTimeout = 700 * time.Millisecond
	// failuresBeforeSkip is the number of consecutive failed requests to a candidate after
	// which the next candidate is asked. It exceeds 1 so that one lost message does not
	// start a second allocator.
	failuresBeforeSkip = 2
	// skipDuration is how long a candidate that failed is not asked again. It is as long
	// as the term of a grant, so that a short fault changes the zone's allocator only once.
	skipDuration = 10 * time.Second
	// maxDeregisterSyncs bounds the syncs that try to remove an ended session from the
	// ledgers. Other holders reclaim entries that remain after Policy.FloorTerm.
	maxDeregisterSyncs = 60
)

// lockedMember is the member state of one limit with its lock.
type lockedMember struct {
	mu     sync.Mutex
	member *ZoneMember
}

// ZoneManager holds this process's shares of all limits in the zone mode, in which the zones
// are the holders of the ledgers. Each instance sends its share requests to the instance of
// its zone with the lowest name among those that it considers live. An instance that gets
// share requests is an allocator until it has got none for as long as a grant lasts. Two
// allocators of a zone are two holders of the ledger. So when instances disagree on which
// are live, the zone's share is split, but no token is admitted twice. Its methods are safe
// for concurrent use.
type ZoneManager struct {
	opts    ZoneOptions
	members atomic.Pointer[map[string]*lockedMember] // by limit name; copy-on-write
	syncMu  sync.Mutex                               // serializes Sync and Release

	mu            sync.Mutex // guards the fields up to the next blank line
	generation    int64
	limits        map[string]Share    // by name
	closed        bool                // Release was called
	sessionCount  int                 // allocator sessions so far
	session       *allocatorSession   // nil while this process is not an allocator
	endedSessions []*allocatorSession // which may still have entries in ledgers

	// Used only by Sync and Release, by instance name.
	allocatorIDs        map[string]string // from the last answer of the instance
	consecutiveFailures map[string]int    // of share requests
	skippedUntil        map[string]time.Time
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

// SetLimits sets the limits of a configuration generation, see Manager.SetLimits.
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
			next[l.Name] = &lockedMember{member: NewZoneMember(m.opts.ID, m.opts.Clock())}
		}
	}
	m.members.Store(&next)
	if m.session != nil {
		m.session.setLimits(generation, m.limits)
	}
	return nil
}

// Allow admits or rejects a request with the given cost, in requests, by the named limit.
// now is a reading of the monotonic clock. It does no I/O.
func (m *ZoneManager) Allow(name string, cost float64, now time.Time) Decision {
	lm := (*m.members.Load())[name]
	if lm == nil {
		return Decision{RetryAfter: m.opts.SyncInterval, Reason: ReasonUnknownLimit}
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.member.Allow(cost, now)
}

// Shares returns this process's active share of each limit, by limit name.
func (m *ZoneManager) Shares(now time.Time) map[string]Share {
	shares := make(map[string]Share)
	for name, lm := range *m.members.Load() {
		lm.mu.Lock()
		shares[name] = lm.member.ActiveShare(now)
		lm.mu.Unlock()
	}
	return shares
}

// LimitNames returns the names of the configured limits, sorted.
func (m *ZoneManager) LimitNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.limits))
}

// GrantShares answers the share requests of an instance of the zone. It starts a session as
// allocator if this process has none. After Release it returns a *NotAllocatorError, unless a
// session is still in progress.
func (m *ZoneManager) GrantShares(b ShareRequestBatch) (ShareGrantBatch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed && m.session == nil {
		return ShareGrantBatch{}, &NotAllocatorError{}
	}
	if m.session == nil {
		m.sessionCount++
		m.session = newAllocatorSession(fmt.Sprintf("%s/%s/%d", m.opts.ID, m.opts.Zone, m.sessionCount), m.opts.Zone, m.opts.Options)
		m.session.setLimits(m.generation, m.limits)
	}
	return m.session.grant(b), nil
}

// NotAllocatorError reports that the process does not grant shares: it is in the direct mode or
// was released.
type NotAllocatorError struct{}

func (e *NotAllocatorError) Error() string { return "this process no longer grants shares of limits" }

// Sync sends share requests to the allocator once. If this process is an allocator itself,
// Sync also reads and writes the ledgers once. It returns one *SyncError for each failed
// operation.
func (m *ZoneManager) Sync(ctx context.Context) []error {
	m.syncMu.Lock()
	defer m.syncMu.Unlock()
	err := m.requestShares(ctx)
	errs := m.syncSessions(ctx)
	if err != nil {
		errs = append(errs, &SyncError{Op: "request shares from allocator", Err: err})
	}
	return errs
}

// Run syncs until ctx is done and returns its error. Each pause varies by up to a fifth in
// both directions.
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

// requestShares sends share requests for all limits to the allocator and applies its grants.
func (m *ZoneManager) requestShares(ctx context.Context) error {
	requestedAt := m.opts.Clock()
	instance := m.chooseAllocator(requestedAt)
	if instance == "" {
		return nil
	}
	reply, err := m.sendBatch(ctx, instance, m.nextBatch(instance, requestedAt))
	if err != nil {
		m.recordFailure(instance, m.opts.Clock())
		return err
	}
	delete(m.consecutiveFailures, instance)
	m.allocatorIDs[instance] = reply.AllocatorID
	m.applyGrants(reply, requestedAt)
	return nil
}

// chooseAllocator returns the candidate with the lowest name that is not skipped, or "" if
// there is none. An instance never skips itself.
func (m *ZoneManager) chooseAllocator(now time.Time) string {
	lowest := ""
	for _, name := range m.opts.AllocatorCandidates() {
		if now.Before(m.skippedUntil[name]) && name != m.opts.Instance {
			continue
		}
		if lowest == "" || name < lowest {
			lowest = name
		}
	}
	return lowest
}

// recordFailure counts a failed batch of share requests to the instance. After
// failuresBeforeSkip of them in a row, the instance is skipped for skipDuration.
func (m *ZoneManager) recordFailure(instance string, now time.Time) {
	m.consecutiveFailures[instance]++
	if m.consecutiveFailures[instance] >= failuresBeforeSkip {
		delete(m.consecutiveFailures, instance)
		delete(m.allocatorIDs, instance) // so that Release does not wait for it
		m.skippedUntil[instance] = now.Add(skipDuration)
	}
}

// nextBatch returns the next share requests to the instance, one for each limit.
func (m *ZoneManager) nextBatch(instance string, now time.Time) ShareRequestBatch {
	b := ShareRequestBatch{MemberID: m.opts.ID, AllocatorID: m.allocatorIDs[instance]}
	names := m.LimitNames()
	// LimitNames waits for a SetLimits in progress, so each of its names has a member in the
	// map loaded after it.
	members := *m.members.Load()
	for _, name := range names {
		lm := members[name]
		lm.mu.Lock()
		request := lm.member.NextRequest(b.AllocatorID, now)
		lm.mu.Unlock()
		b.Requests = append(b.Requests, NamedShareRequest{LimitName: name, Demand: request.Demand, AppliedSeq: request.AppliedSeq})
	}
	return b
}

// sendBatch sends share requests to the instance, which may be this one.
func (m *ZoneManager) sendBatch(ctx context.Context, instance string, b ShareRequestBatch) (ShareGrantBatch, error) {
	if instance == m.opts.Instance {
		return m.GrantShares(b)
	}
	ctx, cancel := context.WithTimeout(ctx, shareRequestTimeout)
	defer cancel()
	return m.opts.RequestShares(ctx, instance, b)
}

// applyGrants passes the grants to their members. requestedAt is a clock reading before the
// share requests were sent.
func (m *ZoneManager) applyGrants(b ShareGrantBatch, requestedAt time.Time) {
	members := *m.members.Load()
	for _, g := range b.Grants {
		lm := members[g.LimitName]
		if lm == nil {
			continue
		}
		lm.mu.Lock()
		lm.member.ApplyGrant(b.AllocatorID, g.ShareGrant, requestedAt, m.opts.Clock())
		lm.mu.Unlock()
	}
}

// syncSessions syncs the ledgers for the current allocator session, if there is one, and
// removes ended sessions from the ledgers.
func (m *ZoneManager) syncSessions(ctx context.Context) []error {
	session, ended := m.endIdleSession()
	var errs []error
	if session != nil {
		errs = session.sync(ctx, (*Allocator).Propose)
	}
	for _, s := range ended {
		errs = append(errs, s.sync(ctx, (*Allocator).Deregister)...)
		s.deregisterSyncs++
	}
	return errs
}

// endIdleSession ends the current session if no instance uses it. It drops the ended sessions
// that have no entry left in the ledgers, or that maxDeregisterSyncs syncs have tried to
// remove. It returns the current session, or nil, and the ended ones that remain.
func (m *ZoneManager) endIdleSession() (session *allocatorSession, ended []*allocatorSession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session != nil && m.session.idle() {
		m.endedSessions = append(m.endedSessions, m.session)
		m.session = nil
	}
	m.endedSessions = slices.DeleteFunc(m.endedSessions, func(s *allocatorSession) bool {
		return s.deregisterSyncs >= maxDeregisterSyncs || s.deregisterSyncs > 0 && s.deregistered()
	})
	return m.session, slices.Clone(m.endedSessions)
}

// Release stops admitting, returns this process's grants to their allocators, and removes its
// own allocator sessions from the ledgers as far as none of their grants is outstanding. It
// returns one *SyncError for each operation that failed in the last try. Shares that remain in
// a ledger end with their terms. A released manager cannot be used again.
func (m *ZoneManager) Release(ctx context.Context) []error {
	m.syncMu.Lock()
	defer m.syncMu.Unlock()
	m.stopAdmitting(ctx)
	var errs []error
	for range maxReleaseTries {
		errs = nil
		session, ended := m.endIdleSession()
		if session != nil {
			ended = append(ended, session)
		}
		pending := false
		for _, s := range ended {
			errs = append(errs, s.sync(ctx, (*Allocator).Deregister)...)
			pending = pending || !s.deregistered()
		}
		if !pending {
			break
		}
	}
	return errs
}

// stopAdmitting closes all members, lets this process start no more allocator sessions, and
// tells the allocators that this member leaves.
func (m *ZoneManager) stopAdmitting(ctx context.Context) {
	now := m.opts.Clock()
	for _, lm := range *m.members.Load() {
		lm.mu.Lock()
		lm.member.Close(now)
		lm.mu.Unlock()
	}
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for instance := range m.allocatorIDs {
		b := m.nextBatch(instance, now)
		b.Leaving = true
		// An allocator that does not get this message waits until the grants have ended.
		_, _ = m.sendBatch(ctx, instance, b)
	}
}
