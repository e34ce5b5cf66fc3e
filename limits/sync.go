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

// scanPageRows is the maximum number of rows per Scan call.
const scanPageRows = 500

// Sync reads all ledgers once and writes those whose writes are due. It returns one
// *SyncError for each failed operation; rows that cannot be decoded go to
// Options.OnError. Run calls it. Tests and package splitcompare call it with a virtual
// clock.
func (m *Manager) Sync(ctx context.Context) []error {
	m.syncMu.Lock()
	defer m.syncMu.Unlock()
	var errs []error
	if err := m.readLedgers(ctx); err != nil {
		errs = append(errs, &SyncError{Op: "read", Err: err})
	}
	if err := m.readListing(ctx); err != nil {
		errs = append(errs, &SyncError{Op: "list instances", Err: err})
	}
	return append(errs, m.writeDueLedgers(ctx, (*ShareHolder).Propose)...)
}

// maxReleaseTries is how often Release tries to remove the holders from their ledgers. A try
// can fail because of a conflict or of a loan that has not ended.
const maxReleaseTries = 3

// Release stops admitting and removes this process from all ledgers, so that other holders
// can use its shares at once. It returns one *SyncError for each operation that failed in
// the last try. Shares that remain in a ledger end with their terms.
func (m *Manager) Release(ctx context.Context) []error {
	m.syncMu.Lock()
	defer m.syncMu.Unlock()
	var errs []error
	for try := range maxReleaseTries {
		if try > 0 {
			// A holder cannot leave its ledger before its loans have ended.
			_ = sleep.For(ctx, lenderLoanTerm)
		}
		errs = nil
		if err := m.readLedgers(ctx); err != nil {
			errs = append(errs, &SyncError{Op: "read", Err: err})
		}
		errs = append(errs, m.writeDueLedgers(ctx, (*ShareHolder).Deregister)...)
		if m.deregistered() {
			return nil
		}
	}
	return errs
}

// deregistered reports whether this process has no entry in any ledger.
func (m *Manager) deregistered() bool {
	for _, h := range *m.holders.Load() {
		h.mu.Lock()
		done := h.holder.Deregistered()
		h.mu.Unlock()
		if !done {
			return false
		}
	}
	return true
}

// readLedgers reads all ledgers and passes them to their holders. It reports rows that
// cannot be decoded to Options.OnError.
func (m *Manager) readLedgers(ctx context.Context) error {
	rows, err := m.scanLedgers(ctx)
	if err != nil {
		return err
	}
	now := m.opts.Clock()
	for name, h := range *m.holders.Load() {
		if err := h.observeRow(name, rows[LedgerKey(name)], now); err != nil {
			m.opts.OnError(&SyncError{Name: name, Op: "decode ledger", Err: err})
		}
	}
	return nil
}

// scanLedgers returns the rows of all ledgers by table key.
func (m *Manager) scanLedgers(ctx context.Context) (map[string]tablestore.Row, error) {
	found := make(map[string]tablestore.Row)
	after := ""
	for {
		rows, err := m.scanPage(ctx, after)
		if err != nil {
			return nil, fmt.Errorf("scan table for keys with prefix %q: %w", LedgerKeyPrefix, err)
		}
		for _, row := range rows {
			found[row.Key] = row
			after = row.Key
		}
		if len(rows) < scanPageRows {
			return found, nil
		}
	}
}

// scanPage returns up to scanPageRows ledger rows with keys after the given one.
func (m *Manager) scanPage(ctx context.Context, after string) ([]tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	return m.opts.Table.Scan(ctx, LedgerKeyPrefix, scanPageRows, after)
}

// observeRow decodes the row of the named limit and passes it to the holder. Its error is a
// *LedgerEncodingError.
func (h *lockedHolder) observeRow(name string, row tablestore.Row, now time.Time) error {
	var l Ledger
	if row.Version > 0 {
		var err error
		if l, err = DecodeLedger(row.Value); err != nil {
			return &LedgerEncodingError{Key: LedgerKey(name), Err: err}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.ObserveRow(l, row.Version, now)
	return nil
}

// readListing reads the platform's list of instances and passes it to all holders, if the
// policy uses it.
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
	for _, h := range *m.holders.Load() {
		h.mu.Lock()
		h.holder.observed.updateFromListing(h.holder.row, listed, now)
		h.mu.Unlock()
	}
	return nil
}

// holderProposeFunc is ShareHolder.Propose or ShareHolder.Deregister.
type holderProposeFunc func(*ShareHolder, time.Time) (Proposal, bool)

// writeDueLedgers writes the ledgers whose writes are due, in the order of the limits'
// names. It returns one *SyncError for each write that failed.
func (m *Manager) writeDueLedgers(ctx context.Context, propose holderProposeFunc) []error {
	return inParallel(*m.holders.Load(), m.opts.MaxParallelWrites, func(name string, h *lockedHolder) error {
		return m.writeLedger(ctx, name, h, propose)
	})
}

// inParallel calls do for each entry, started in the order of the names, at most
// maxParallel at a time. It returns the errors in that order.
func inParallel[T any](entries map[string]T, maxParallel int, do func(name string, entry T) error) []error {
	names := slices.Sorted(maps.Keys(entries))
	errs := make([]error, len(names))
	permits := make(chan struct{}, maxParallel)
	var wait sync.WaitGroup
	for i, name := range names {
		permits <- struct{}{}
		wait.Go(func() {
			defer func() { <-permits }()
			errs[i] = do(name, entries[name])
		})
	}
	wait.Wait()
	return nonNilErrors(errs)
}

// nonNilErrors returns the errors that are not nil.
func nonNilErrors(errs []error) []error {
	var nonNil []error
	for _, err := range errs {
		if err != nil {
			nonNil = append(nonNil, err)
		}
	}
	return nonNil
}

// writeLedger writes the named limit's ledger if a write is due. A conflict is not an error,
// because the next sync reads the row again. If the outcome of the write is unknown, the
// row is read back at once.
func (m *Manager) writeLedger(ctx context.Context, name string, h *lockedHolder, propose holderProposeFunc) error {
	p, due := h.propose(propose, m.opts.Clock())
	if !due {
		return nil
	}
	err := m.transact(ctx, name, h, p)
	if err == nil || tablestore.IsConflict(err) {
		return nil
	}
	if tablestore.IsOutcomeUnknown(err) {
		if readErr := m.readBack(ctx, name, h); readErr == nil {
			return nil
		}
	}
	return &SyncError{Name: name, Op: "write ledger", Err: err}
}

// propose calls the given method of the holder.
func (h *lockedHolder) propose(propose holderProposeFunc, now time.Time) (Proposal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return propose(h.holder, now)
}

// transact writes the proposed row and reports a known outcome to the holder.
func (m *Manager) transact(ctx context.Context, name string, h *lockedHolder, p Proposal) error {
	value, err := p.Ledger.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	changeID := fmt.Sprintf("%s/%d", m.opts.ID, p.writeCounter)
	write := tablestore.Write{Key: LedgerKey(name), Value: value, IfVersion: p.IfVersion}
	result, err := m.opts.Table.Transact(ctx, changeID, []tablestore.Write{write})
	now := m.opts.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.holder.WriteApplied(p, result.Versions[0], now)
	case !tablestore.IsOutcomeUnknown(err):
		h.holder.WriteFailed(p, now)
	}
	return err
}

// readBack reads the row after a write whose outcome is unknown. The holder finds from the
// renewal counter of its own entry whether the write was applied.
func (m *Manager) readBack(ctx context.Context, name string, h *lockedHolder) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	row, err := m.opts.Table.Read(ctx, LedgerKey(name))
	if err != nil {
		return err
	}
	return h.observeRow(name, row, m.opts.Clock())
}
