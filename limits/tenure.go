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

// lockedAllocator is a keeper with its lock.
type lockedAllocator struct {
	mu        sync.Mutex
	allocator *Keeper
}

// allocatorSession is one period in which a process keeps its zone's shares. It holds the
// ledgers under a name of its own, so that an earlier period of the same process
// is another holder. Its methods are safe for concurrent use.
type allocatorSession struct {
	id              string
	zone            string
	opts            Options
	ledgerReader    *Manager
	allocators      atomic.Pointer[map[string]*lockedAllocator] // replaced, never changed
	deregisterSyncs int                                         // steps since it ended
}

func newAllocatorSession(id, zone string, o Options) *allocatorSession {
	t := &allocatorSession{id: id, zone: zone, opts: o, ledgerReader: &Manager{opts: o}}
	t.allocators.Store(&map[string]*lockedAllocator{})
	return t
}

// setLimits sets the limits of a generation. Calls must not overlap.
func (t *allocatorSession) setLimits(generation int64, wanted map[string]Share) {
	next := maps.Clone(*t.allocators.Load())
	for name := range wanted {
		if next[name] == nil {
			next[name] = &lockedAllocator{allocator: NewKeeper(t.id, t.zone, t.opts.Policy, t.opts.Clock())}
		}
	}
	for name, s := range next {
		s.mu.Lock()
		s.allocator.SetLimit(wanted[name], generation)
		s.mu.Unlock()
	}
	t.allocators.Store(&next)
}

// grant grants parts of the zone's shares. Limits that this process does not know
// are left out.
func (t *allocatorSession) grant(b AskBatch) GrantBatch {
	out := GrantBatch{Keeper: t.id}
	slots := *t.allocators.Load()
	for _, a := range b.Asks {
		s := slots[a.Name]
		if s == nil {
			continue
		}
		if b.Keeper != t.id {
			a.Applied = 0 // a number of another keeper means nothing here
		}
		g := s.grant(Ask{ID: b.Member, Demand: a.Demand, Applied: a.Applied}, b.Leaving, t.opts.Clock)
		out.Grants = append(out.Grants, NamedGrant{Name: a.Name, Grant: g})
	}
	return out
}

// grant reads the clock after it has the lock, so that readings never go back.
func (s *lockedAllocator) grant(a Ask, leaving bool, clock func() time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving {
		s.allocator.grants.Remove(a.ID)
		return Grant{}
	}
	return s.allocator.Ask(a, clock())
}

// idle reports whether no instance has a grant or has asked lately.
func (t *allocatorSession) idle() bool {
	for _, s := range *t.allocators.Load() {
		s.mu.Lock()
		s.allocator.grants.expireGrants(t.opts.Clock())
		asked := len(s.allocator.grants.members) > 0
		s.mu.Unlock()
		if asked {
			return false
		}
	}
	return true
}

// deregistered reports whether the tenure is in no ledger.
func (t *allocatorSession) deregistered() bool {
	for _, s := range *t.allocators.Load() {
		s.mu.Lock()
		gone := s.allocator.Left(t.opts.Clock())
		s.mu.Unlock()
		if !gone {
			return false
		}
	}
	return true
}

// sync reads all ledgers and writes those that are due. It returns one *StepError
// for each failed call.
func (t *allocatorSession) sync(ctx context.Context, propose allocatorProposeFunc) []error {
	var errs []error
	if err := t.readLedgers(ctx); err != nil {
		errs = append(errs, &StepError{Op: "read", Err: err})
	}
	return append(errs, inParallel(*t.allocators.Load(), t.opts.Parallel, func(name string, s *lockedAllocator) error {
		return t.writeLedger(ctx, name, s, propose)
	})...)
}

func (t *allocatorSession) readLedgers(ctx context.Context) error {
	rows, err := t.ledgerReader.scanLedgers(ctx)
	if err != nil {
		return err
	}
	for name, s := range *t.allocators.Load() {
		if err := s.observeRow(name, rows[RowKey(name)], t.opts.Clock); err != nil {
			t.opts.OnError(&StepError{Name: name, Op: "decode", Err: err})
		}
	}
	return nil
}

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

// writeLedger sends one proposal. A conflict is no error: the next step reads the row
// again. After an unknown outcome the row is read back by the next step.
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
	return &StepError{Name: name, Op: "write", Err: err}
}

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
