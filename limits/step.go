package limits

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// scanRows is the number of rows per Scan call.
const scanRows = 500

// Sync reads all ledgers once and writes those that are due. It returns one
// *SyncError for each failed call. Run calls it; tests and traces call it with a
// virtual clock.
func (m *Manager) Sync(ctx context.Context) []error {
	m.steps.Lock()
	defer m.steps.Unlock()
	var errs []error
	if err := m.readAll(ctx); err != nil {
		errs = append(errs, &SyncError{Op: "read", Err: err})
	}
	if err := m.readListing(ctx); err != nil {
		errs = append(errs, &SyncError{Op: "list instances", Err: err})
	}
	return append(errs, m.writeAll(ctx, (*ShareHolder).Propose)...)
}

// releaseTries bounds the attempts of Release, which may meet conflicts.
const releaseTries = 3

// Release stops admitting and removes this process from all ledgers, so that
// others can use its shares at once. It returns one *SyncError for each ledger
// that could not be written; the shares in it end with their terms.
func (m *Manager) Release(ctx context.Context) []error {
	m.steps.Lock()
	defer m.steps.Unlock()
	var errs []error
	for try := range releaseTries {
		if try > 0 {
			// Lent tokens keep a process in its ledger until they have ended.
			_ = sleep.For(ctx, loanHold)
		}
		errs = nil
		if err := m.readAll(ctx); err != nil {
			errs = append(errs, &SyncError{Op: "read", Err: err})
		}
		errs = append(errs, m.writeAll(ctx, (*ShareHolder).Deregister)...)
		if m.left() {
			return nil
		}
	}
	return errs
}

// left reports whether this process is in no ledger.
func (m *Manager) left() bool {
	for _, s := range *m.slots.Load() {
		s.mu.Lock()
		gone := s.holder.Deregistered()
		s.mu.Unlock()
		if !gone {
			return false
		}
	}
	return true
}

func (m *Manager) readAll(ctx context.Context) error {
	rows, err := m.scan(ctx)
	if err != nil {
		return err
	}
	now := m.opts.Clock()
	for name, s := range *m.slots.Load() {
		if err := s.observe(name, rows[LedgerKey(name)], now); err != nil {
			m.opts.OnError(&SyncError{Name: name, Op: "decode", Err: err})
		}
	}
	return nil
}

func (m *Manager) scan(ctx context.Context) (map[string]tablestore.Row, error) {
	found := make(map[string]tablestore.Row)
	after := ""
	for {
		rows, err := m.scanPage(ctx, after)
		if err != nil {
			return nil, fmt.Errorf("scan %s: %w", LedgerKeyPrefix, err)
		}
		for _, row := range rows {
			found[row.Key] = row
			after = row.Key
		}
		if len(rows) < scanRows {
			return found, nil
		}
	}
}

func (m *Manager) scanPage(ctx context.Context, after string) ([]tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	return m.opts.Table.Scan(ctx, LedgerKeyPrefix, scanRows, after)
}

func (s *slot) observe(name string, row tablestore.Row, now time.Time) error {
	var l Ledger
	if row.Version > 0 {
		var err error
		if l, err = DecodeLedger(row.Value); err != nil {
			return &LedgerEncodingError{Key: LedgerKey(name), Err: err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.ObserveRow(l, row.Version, now)
	return nil
}

func (m *Manager) readListing(ctx context.Context) error {
	if !m.opts.Policy.ReclaimDelistedFloors || m.opts.Instances == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	listing, err := m.opts.Instances.List(ctx)
	if err != nil {
		return err
	}
	listed := make(map[string]bool, len(listing.Instances))
	for _, in := range listing.Instances {
		listed[in.Name] = true
	}
	now := m.opts.Clock()
	for _, s := range *m.slots.Load() {
		s.mu.Lock()
		s.holder.seen.list(s.holder.row, listed, now)
		s.mu.Unlock()
	}
	return nil
}

// proposeFunc is Holder.Propose or Holder.Deregister.
type proposeFunc func(*ShareHolder, time.Time) (Proposal, bool)

// writeAll writes the rows that are due, in the order of their names.
func (m *Manager) writeAll(ctx context.Context, propose proposeFunc) []error {
	return inParallel(*m.slots.Load(), m.opts.MaxParallelWrites, func(name string, s *slot) error {
		return m.write(ctx, name, s, propose)
	})
}

// inParallel calls do for each entry, in the order of the names and at most limit at
// a time. It returns the errors in that order.
func inParallel[T any](entries map[string]T, limit int, do func(name string, entry T) error) []error {
	names := slices.Sorted(maps.Keys(entries))
	errs := make([]error, len(names))
	permits := make(chan struct{}, limit)
	var wait sync.WaitGroup
	for i, name := range names {
		permits <- struct{}{}
		wait.Go(func() {
			defer func() { <-permits }()
			errs[i] = do(name, entries[name])
		})
	}
	wait.Wait()
	return withoutNil(errs)
}

func withoutNil(errs []error) []error {
	var out []error
	for _, err := range errs {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}

// write sends one proposal. A conflict is no error: the next step reads the row
// again. After an unknown outcome the row is read back at once.
func (m *Manager) write(ctx context.Context, name string, s *slot, propose proposeFunc) error {
	p, due := s.propose(propose, m.opts.Clock())
	if !due {
		return nil
	}
	err := m.transact(ctx, name, s, p)
	if err == nil || tablestore.IsConflict(err) {
		return nil
	}
	if tablestore.IsOutcomeUnknown(err) {
		if readErr := m.readBack(ctx, name, s); readErr == nil {
			return nil
		}
	}
	return &SyncError{Name: name, Op: "write", Err: err}
}

func (s *slot) propose(propose proposeFunc, now time.Time) (Proposal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return propose(s.holder, now)
}

func (m *Manager) transact(ctx context.Context, name string, s *slot, p Proposal) error {
	value, err := p.Ledger.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	changeID := fmt.Sprintf("%s/%d", m.opts.ID, p.counter)
	write := tablestore.Write{Key: LedgerKey(name), Value: value, IfVersion: p.IfVersion}
	result, err := m.opts.Table.Transact(ctx, changeID, []tablestore.Write{write})
	now := m.opts.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.holder.WriteApplied(p, result.Versions[0], now)
	case !tablestore.IsOutcomeUnknown(err):
		s.holder.WriteFailed(p, now)
	}
	return err
}

// readBack reads the row after a write whose outcome is unknown. The renewal
// counter in the own entry says whether the write was applied.
func (m *Manager) readBack(ctx context.Context, name string, s *slot) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	row, err := m.opts.Table.Read(ctx, LedgerKey(name))
	if err != nil {
		return err
	}
	return s.observe(name, row, m.opts.Clock())
}
