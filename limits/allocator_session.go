package limits

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// lockedAllocator is the allocator of one limit with its lock.
type lockedAllocator struct {
	mu        sync.Mutex
	allocator *Allocator
}

// allocatorSession is a period in which a process is an allocator of its zone, for all
// limits. Each session has its own holder ID in the ledgers, so that earlier sessions of the
// same process are different holders. Its methods are safe for concurrent use.
type allocatorSession struct {
	id              string // holder ID
	zone            string
	opts            Options
	ledgerReader    *Manager                                    // reads the ledgers with scanLedgers; has no holders of its own
	allocators      atomic.Pointer[map[string]*lockedAllocator] // by limit name; copy-on-write
	deregisterSyncs int                                         // syncs since the session ended
}

func newAllocatorSession(id, zone string, o Options) *allocatorSession {
	s := &allocatorSession{id: id, zone: zone, opts: o, ledgerReader: &Manager{opts: o}}
	s.allocators.Store(&map[string]*lockedAllocator{})
	return s
}

// setLimits sets the limits of a configuration generation, by name. A limit that is missing
// is set to 0. Calls must not overlap.
func (s *allocatorSession) setLimits(generation int64, limits map[string]Share) {
	next := maps.Clone(*s.allocators.Load())
	for name := range limits {
		if next[name] == nil {
			next[name] = &lockedAllocator{allocator: NewAllocator(s.id, s.zone, s.opts.Policy, s.opts.Clock())}
		}
	}
	for name, a := range next {
		a.mu.Lock()
		a.allocator.SetLimit(limits[name], generation)
		a.mu.Unlock()
	}
	s.allocators.Store(&next)
}

// grant answers a member's batch of share requests. The answer has no grants for limits that
// this process does not know, because its configuration may be older.
func (s *allocatorSession) grant(b ShareRequestBatch) ShareGrantBatch {
	reply := ShareGrantBatch{AllocatorID: s.id}
	allocators := *s.allocators.Load()
	for _, request := range b.Requests {
		a := allocators[request.LimitName]
		if a == nil {
			continue
		}
		if b.AllocatorID != s.id {
			request.AppliedSeq = 0 // a sequence number of another allocator's grant
		}
		g := a.grant(ShareRequest{MemberID: b.MemberID, Demand: request.Demand, AppliedSeq: request.AppliedSeq}, b.Leaving, s.opts.Clock)
		reply.Grants = append(reply.Grants, NamedShareGrant{LimitName: request.LimitName, ShareGrant: g})
	}
	return reply
}

// grant answers a member's share request, or removes the member if it is leaving. It reads
// the clock while it holds the lock, so that the allocator never sees time go back.
func (a *lockedAllocator) grant(r ShareRequest, leaving bool, clock func() time.Time) ShareGrant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if leaving {
		a.allocator.grants.RemoveMember(r.MemberID)
		return ShareGrant{}
	}
	return a.allocator.Grant(r, clock())
}

// idle reports whether no allocator of the session has a member: no instance has sent a
// share request within the lease term and its margin.
func (s *allocatorSession) idle() bool {
	for _, a := range *s.allocators.Load() {
		a.mu.Lock()
		a.allocator.grants.expireGrants(s.opts.Clock())
		hasMembers := len(a.allocator.grants.members) > 0
		a.mu.Unlock()
		if hasMembers {
			return false
		}
	}
	return true
}

// deregistered reports whether the session has no entry in any ledger.
func (s *allocatorSession) deregistered() bool {
	for _, a := range *s.allocators.Load() {
		a.mu.Lock()
		done := a.allocator.Deregistered(s.opts.Clock())
		a.mu.Unlock()
		if !done {
			return false
		}
	}
	return true
}

// sync reads all ledgers once and writes those whose writes are due. It returns one
// *SyncError for each failed operation; rows that cannot be decoded go to Options.OnError.
func (s *allocatorSession) sync(ctx context.Context, propose allocatorProposeFunc) []error {
	var errs []error
	if err := s.readLedgers(ctx); err != nil {
		errs = append(errs, &SyncError{Op: "read", Err: err})
	}
	return append(errs, inParallel(*s.allocators.Load(), s.opts.MaxParallelWrites, func(name string, a *lockedAllocator) error {
		return s.writeLedger(ctx, name, a, propose)
	})...)
}

// readLedgers reads all ledgers and passes them to their allocators. It reports rows that
// cannot be decoded to Options.OnError.
func (s *allocatorSession) readLedgers(ctx context.Context) error {
	rows, err := s.ledgerReader.scanLedgers(ctx)
	if err != nil {
		return err
	}
	for name, a := range *s.allocators.Load() {
		if err := a.observeRow(name, rows[LedgerKey(name)], s.opts.Clock); err != nil {
			s.opts.OnError(&SyncError{Name: name, Op: "decode ledger", Err: err})
		}
	}
	return nil
}

// observeRow decodes the row of the named limit and passes it to the allocator. Its error is
// a *LedgerEncodingError.
func (a *lockedAllocator) observeRow(name string, row tablestore.Row, clock func() time.Time) error {
	var l Ledger
	if row.Version > 0 {
		var err error
		if l, err = DecodeLedger(row.Value); err != nil {
			return &LedgerEncodingError{Key: LedgerKey(name), Err: err}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.ObserveRow(l, row.Version, clock())
	return nil
}

// writeLedger writes the named limit's ledger if a write is due. A conflict is not an error,
// because the next sync reads the row again. If the outcome of the write is unknown, the next
// sync reads it from the row.
func (s *allocatorSession) writeLedger(ctx context.Context, name string, a *lockedAllocator, propose allocatorProposeFunc) error {
	a.mu.Lock()
	p, due := propose(a.allocator, s.opts.Clock())
	a.mu.Unlock()
	if !due {
		return nil
	}
	err := s.transact(ctx, name, a, p)
	if err == nil || tablestore.IsConflict(err) {
		return nil
	}
	return &SyncError{Name: name, Op: "write ledger", Err: err}
}

// transact writes the proposed row and reports a known outcome to the allocator.
func (s *allocatorSession) transact(ctx context.Context, name string, a *lockedAllocator, p Proposal) error {
	value, err := p.Ledger.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	write := tablestore.Write{Key: LedgerKey(name), Value: value, IfVersion: p.IfVersion}
	result, err := s.opts.Table.Transact(ctx, fmt.Sprintf("%s/%d", s.id, p.writeCounter), []tablestore.Write{write})
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.allocator.WriteApplied(p, result.Versions[0], s.opts.Clock())
	case !tablestore.IsOutcomeUnknown(err):
		a.allocator.WriteFailed(p, s.opts.Clock())
	}
	return err
}
