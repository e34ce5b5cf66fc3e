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
	allocator *Keeper
}

// allocatorSession is a period in which a process is an allocator of its zone, for all
// limits. Each session has its own holder ID in the ledgers, so that earlier sessions of the
// same process are different holders. Its methods are safe for concurrent use.
type allocatorSession struct {
	id              string // holder ID
	zone            string
	opts            Options
	ledgerReader    *Manager                                    // only its scanLedgers is used
	allocators      atomic.Pointer[map[string]*lockedAllocator] // by limit name; copy-on-write
	deregisterSyncs int                                         // syncs since the session ended
}

func newAllocatorSession(id, zone string, o Options) *allocatorSession {
	t := &allocatorSession{id: id, zone: zone, opts: o, ledgerReader: &Manager{opts: o}}
	t.allocators.Store(&map[string]*lockedAllocator{})
	return t
}

// setLimits sets the limits of a configuration generation, by name. A limit that is missing
// is set to 0. Calls must not overlap.
func (t *allocatorSession) setLimits(generation int64, limits map[string]Share) {
	next := maps.Clone(*t.allocators.Load())
	for name := range limits {
		if next[name] == nil {
			next[name] = &lockedAllocator{allocator: NewKeeper(t.id, t.zone, t.opts.Policy, t.opts.Clock())}
		}
	}
	for name, s := range next {
		s.mu.Lock()
		s.allocator.SetLimit(limits[name], generation)
		s.mu.Unlock()
	}
	t.allocators.Store(&next)
}

// grant answers a member's batch of share requests. The answer has no grants for limits that
// this process does not know, because its configuration may be older.
func (t *allocatorSession) grant(b AskBatch) GrantBatch {
	reply := GrantBatch{Keeper: t.id}
	allocators := *t.allocators.Load()
	for _, request := range b.Asks {
		s := allocators[request.Name]
		if s == nil {
			continue
		}
		if b.Keeper != t.id {
			request.Applied = 0 // a sequence number of another allocator's grant
		}
		g := s.grant(Ask{ID: b.Member, Demand: request.Demand, Applied: request.Applied}, b.Leaving, t.opts.Clock)
		reply.Grants = append(reply.Grants, NamedGrant{Name: request.Name, Grant: g})
	}
	return reply
}

// grant answers a member's share request, or removes the member if it is leaving. It reads
// the clock while it holds the lock, so that the allocator never sees time go back.
func (s *lockedAllocator) grant(r Ask, leaving bool, clock func() time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving {
		s.allocator.grants.Remove(r.ID)
		return Grant{}
	}
	return s.allocator.Ask(r, clock())
}

// idle reports whether no allocator of the session has a member: no instance has sent a
// share request within the lease term and its margin.
func (t *allocatorSession) idle() bool {
	for _, s := range *t.allocators.Load() {
		s.mu.Lock()
		s.allocator.grants.expireGrants(t.opts.Clock())
		hasMembers := len(s.allocator.grants.members) > 0
		s.mu.Unlock()
		if hasMembers {
			return false
		}
	}
	return true
}

// deregistered reports whether the session has no entry in any ledger.
func (t *allocatorSession) deregistered() bool {
	for _, s := range *t.allocators.Load() {
		s.mu.Lock()
		done := s.allocator.Left(t.opts.Clock())
		s.mu.Unlock()
		if !done {
			return false
		}
	}
	return true
}

// sync reads all ledgers once and writes those whose writes are due. It returns one
// *SyncError for each failed operation; rows that cannot be decoded go to Options.OnError.
func (t *allocatorSession) sync(ctx context.Context, propose allocatorProposeFunc) []error {
	var errs []error
	if err := t.readLedgers(ctx); err != nil {
		errs = append(errs, &StepError{Op: "read", Err: err})
	}
	return append(errs, inParallel(*t.allocators.Load(), t.opts.Parallel, func(name string, s *lockedAllocator) error {
		return t.writeLedger(ctx, name, s, propose)
	})...)
}

// readLedgers reads all ledgers and passes them to their allocators. It reports rows that
// cannot be decoded to Options.OnError.
func (t *allocatorSession) readLedgers(ctx context.Context) error {
	rows, err := t.ledgerReader.scanLedgers(ctx)
	if err != nil {
		return err
	}
	for name, s := range *t.allocators.Load() {
		if err := s.observeRow(name, rows[RowKey(name)], t.opts.Clock); err != nil {
			t.opts.OnError(&StepError{Name: name, Op: "decode ledger", Err: err})
		}
	}
	return nil
}

// observeRow decodes the row of the named limit and passes it to the allocator. Its error is
// a *LedgerEncodingError.
func (s *lockedAllocator) observeRow(name string, row tablestore.Row, clock func() time.Time) error {
	var l Ledger
	if row.Version > 0 {
		var err error
		if l, err = Decode(row.Value); err != nil {
			return &LedgerError{Key: RowKey(name), Err: err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Observe(l, row.Version, clock())
	return nil
}

// writeLedger writes the named limit's ledger if a write is due. A conflict is not an error,
// because the next sync reads the row again. If the outcome of the write is unknown, the next
// sync reads it from the row.
func (t *allocatorSession) writeLedger(ctx context.Context, name string, s *lockedAllocator, propose allocatorProposeFunc) error {
	s.mu.Lock()
	p, due := propose(s.allocator, t.opts.Clock())
	s.mu.Unlock()
	if !due {
		return nil
	}
	err := t.transact(ctx, name, s, p)
	if err == nil || tablestore.IsConflict(err) {
		return nil
	}
	return &StepError{Name: name, Op: "write ledger", Err: err}
}

// transact writes the proposed row and reports a known outcome to the allocator.
func (t *allocatorSession) transact(ctx context.Context, name string, s *lockedAllocator, p Proposal) error {
	value, err := p.Ledger.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.CallTimeout)
	defer cancel()
	write := tablestore.Write{Key: RowKey(name), Value: value, IfVersion: p.IfVersion}
	result, err := t.opts.Table.Transact(ctx, fmt.Sprintf("%s/%d", t.id, p.writeCounter), []tablestore.Write{write})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.allocator.Written(p, result.Versions[0], t.opts.Clock())
	case !tablestore.IsOutcomeUnknown(err):
		s.allocator.Failed(p, t.opts.Clock())
	}
	return err
}
