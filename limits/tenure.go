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

// keeperSlot is a keeper with its lock.
type keeperSlot struct {
	mu     sync.Mutex
	keeper *Allocator
}

// tenure is one period in which a process keeps its zone's shares. It holds the
// ledgers under a name of its own, so that an earlier period of the same process
// is another holder. Its methods are safe for concurrent use.
type tenure struct {
	id     string
	zone   string
	opts   Options
	reader *Manager
	slots  atomic.Pointer[map[string]*keeperSlot] // replaced, never changed
	leaves int                                    // steps since it ended
}

func newTenure(id, zone string, o Options) *tenure {
	t := &tenure{id: id, zone: zone, opts: o, reader: &Manager{opts: o}}
	t.slots.Store(&map[string]*keeperSlot{})
	return t
}

// setLimits sets the limits of a generation. Calls must not overlap.
func (t *tenure) setLimits(generation int64, wanted map[string]Share) {
	next := maps.Clone(*t.slots.Load())
	for name := range wanted {
		if next[name] == nil {
			next[name] = &keeperSlot{keeper: NewAllocator(t.id, t.zone, t.opts.Policy, t.opts.Clock())}
		}
	}
	for name, s := range next {
		s.mu.Lock()
		s.keeper.SetLimit(wanted[name], generation)
		s.mu.Unlock()
	}
	t.slots.Store(&next)
}

// answer grants parts of the zone's shares. Limits that this process does not know
// are left out.
func (t *tenure) answer(b ShareRequestBatch) ShareGrantBatch {
	out := ShareGrantBatch{AllocatorID: t.id}
	slots := *t.slots.Load()
	for _, a := range b.Requests {
		s := slots[a.LimitName]
		if s == nil {
			continue
		}
		if b.AllocatorID != t.id {
			a.AppliedSeq = 0 // a number of another keeper means nothing here
		}
		g := s.answer(ShareRequest{MemberID: b.MemberID, Demand: a.Demand, AppliedSeq: a.AppliedSeq}, b.Leaving, t.opts.Clock)
		out.Grants = append(out.Grants, NamedShareGrant{LimitName: a.LimitName, ShareGrant: g})
	}
	return out
}

// answer reads the clock after it has the lock, so that readings never go back.
func (s *keeperSlot) answer(a ShareRequest, leaving bool, clock func() time.Time) ShareGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving {
		s.keeper.zone.RemoveMember(a.MemberID)
		return ShareGrant{}
	}
	return s.keeper.Grant(a, clock())
}

// idle reports whether no instance has a grant or has asked lately.
func (t *tenure) idle() bool {
	for _, s := range *t.slots.Load() {
		s.mu.Lock()
		s.keeper.zone.expire(t.opts.Clock())
		asked := len(s.keeper.zone.members) > 0
		s.mu.Unlock()
		if asked {
			return false
		}
	}
	return true
}

// left reports whether the tenure is in no ledger.
func (t *tenure) left() bool {
	for _, s := range *t.slots.Load() {
		s.mu.Lock()
		gone := s.keeper.Deregistered(t.opts.Clock())
		s.mu.Unlock()
		if !gone {
			return false
		}
	}
	return true
}

// step reads all ledgers and writes those that are due. It returns one *SyncError
// for each failed call.
func (t *tenure) step(ctx context.Context, propose keeperProposal) []error {
	var errs []error
	if err := t.readAll(ctx); err != nil {
		errs = append(errs, &SyncError{Op: "read", Err: err})
	}
	return append(errs, inParallel(*t.slots.Load(), t.opts.MaxParallelWrites, func(name string, s *keeperSlot) error {
		return t.write(ctx, name, s, propose)
	})...)
}

func (t *tenure) readAll(ctx context.Context) error {
	rows, err := t.reader.scan(ctx)
	if err != nil {
		return err
	}
	for name, s := range *t.slots.Load() {
		if err := s.observe(name, rows[LedgerKey(name)], t.opts.Clock); err != nil {
			t.opts.OnError(&SyncError{Name: name, Op: "decode", Err: err})
		}
	}
	return nil
}

func (s *keeperSlot) observe(name string, row tablestore.Row, clock func() time.Time) error {
	var l Ledger
	if row.Version > 0 {
		var err error
		if l, err = DecodeLedger(row.Value); err != nil {
			return &LedgerEncodingError{Key: LedgerKey(name), Err: err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.ObserveRow(l, row.Version, clock())
	return nil
}

// write sends one proposal. A conflict is no error: the next step reads the row
// again. After an unknown outcome the row is read back by the next step.
func (t *tenure) write(ctx context.Context, name string, s *keeperSlot, propose keeperProposal) error {
	s.mu.Lock()
	p, due := propose(s.keeper, t.opts.Clock())
	s.mu.Unlock()
	if !due {
		return nil
	}
	err := t.transact(ctx, name, s, p)
	if err == nil || tablestore.IsConflict(err) {
		return nil
	}
	return &SyncError{Name: name, Op: "write", Err: err}
}

func (t *tenure) transact(ctx context.Context, name string, s *keeperSlot, p Proposal) error {
	value, err := p.Ledger.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.CallTimeout)
	defer cancel()
	write := tablestore.Write{Key: LedgerKey(name), Value: value, IfVersion: p.IfVersion}
	result, err := t.opts.Table.Transact(ctx, fmt.Sprintf("%s/%d", t.id, p.counter), []tablestore.Write{write})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.keeper.WriteApplied(p, result.Versions[0], t.opts.Clock())
	case !tablestore.IsOutcomeUnknown(err):
		s.keeper.WriteFailed(p, t.opts.Clock())
	}
	return err
}
