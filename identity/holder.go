package identity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

const (
	// callTimeout bounds one platform call.
	callTimeout = 2 * time.Second
	// maxWriteAttempts bounds the conditional writes of one registration.
	maxWriteAttempts = 5
	// leaseMargin covers clocks of two machines that run at different rates.
	leaseMargin = 2 * time.Second
)

// Config describes the instance that registers.
type Config struct {
	Name          string
	Zone          string
	BootID        uint64 // zero takes a random one
	PeerAddress   string
	CallerAddress string
	// Fleet returns the current size of the fleet. Nil means a small one.
	Fleet func() Fleet
}

// Holder owns the registration of this process. It is safe for concurrent use.
type Holder struct {
	config Config
	table  tablestore.Table
	jitterFraction func() float64 // in [0, 1); replaced in tests

	writeMu sync.Mutex // held during a platform write

	mu            sync.Mutex
	registration           Registration // Token 0: not registered
	previousRegistration      Registration // found in the row before registering
	rowVersion       int64        // of the row; also the condition of the next write
	validUntil    time.Time    // on the monotonic clock
	exclusiveFrom time.Time
	superseded    *SupersededError
	changeSeq      uint64
}

// NewHolder returns a holder that is not registered.
func NewHolder(config Config, table tablestore.Table) *Holder {
	if config.BootID == 0 {
		config.BootID = NewBootID()
	}
	if config.Fleet == nil {
		config.Fleet = func() Fleet { return Fleet{} }
	}
	reg := Registration{
		Name:          config.Name,
		Zone:          config.Zone,
		BootID:        config.BootID,
		PeerAddress:   config.PeerAddress,
		CallerAddress: config.CallerAddress,
		State:         StateServing,
	}
	return &Holder{config: config, table: table, jitterFraction: rand.Float64, registration: reg}
}

// Registration returns the registration as this process knows it. Its token is 0
// before the first successful Register.
func (h *Holder) Registration() Registration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registration
}

// Valid reports whether this process was, within its lease, the newest
// registration of its name.
func (h *Holder) Valid(now time.Time) bool { return h.Check(now) == nil }

// Check returns nil when Valid, and otherwise *SupersededError, *ExpiredError or
// *NotRegisteredError.
func (h *Holder) Check(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.superseded != nil:
		return h.superseded
	case h.registration.Token == 0 || h.registration.State == StateLeft:
		return &NotRegisteredError{Name: h.registration.Name}
	case !now.Before(h.validUntil):
		return &ExpiredError{Name: h.registration.Name, By: now.Sub(h.validUntil)}
	}
	return nil
}

// ExclusiveFrom returns the time from which no older process of the same name
// holds itself for valid. It is the zero time before registration.
func (h *Holder) ExclusiveFrom() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exclusiveFrom
}

// Register writes the registration with a new fencing token, or renews it when
// the process is registered. It returns the errors of the table, *SupersededError when this process was registered and a
// newer one exists, and *ContentionError.
func (h *Holder) Register(ctx context.Context) error { return h.writeState(ctx, StateServing) }

// Renew confirms the registration in the table; it registers when the process is
// not registered yet or its row was pruned. Errors are those of Register, and
// *NotRegisteredError after Deregister.
func (h *Holder) Renew(ctx context.Context) error { return h.writeState(ctx, keepState) }

// Drain announces that the instance takes no new work. When it fails, the next
// renewal carries the announcement. Errors are those of Register.
func (h *Holder) Drain(ctx context.Context) error { return h.writeState(ctx, StateDraining) }

// Deregister ends the registration. The row stays with StateLeft to keep its
// token. Errors are those of Register.
func (h *Holder) Deregister(ctx context.Context) error { return h.writeState(ctx, StateLeft) }

// keepState makes write keep the state, so that a renewal never takes back a
// Drain that runs at the same time.
const keepState State = ""

// writeState brings the row to the wanted state.
func (h *Holder) writeState(ctx context.Context, state State) error {
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	if needed, err := h.prepareState(state); !needed {
		return err
	}
	for range maxWriteAttempts {
		done, err := h.tryWrite(ctx)
		if done || err != nil {
			return err
		}
	}
	return &ContentionError{Name: h.config.Name}
}

// prepareState prepares the next write. It returns false when there is nothing to
// write: for a renewal after Deregister, with *NotRegisteredError, and for a
// process that leaves without having been registered.
func (h *Holder) prepareState(state State) (needed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := h.registration.State == StateLeft
	switch {
	case state == keepState && left:
		return false, &NotRegisteredError{Name: h.registration.Name}
	case state == keepState:
		return true, nil
	case state == StateLeft && h.registration.Token == 0:
		return false, nil
	case left && state != StateLeft:
		h.startNewRegistration()
	}
	h.registration.State = state
	return true, nil
}

// startNewRegistration makes the next write a new registration. It is called with the
// mutex held.
func (h *Holder) startNewRegistration() {
	h.previousRegistration = h.registration
	h.registration.Token = 0
}

// tryWrite tries one conditional write. done is false when the row had changed
// and the write must be tried again.
func (h *Holder) tryWrite(ctx context.Context) (done bool, err error) {
	if err := h.supersededError(); err != nil {
		return false, err
	}
	if h.Registration().Token == 0 {
		row, err := h.readRow(ctx)
		if err != nil {
			return false, err
		}
		h.applyRow(row)
	}
	started := time.Now()
	next, version, changeID := h.nextWrite(started, h.config.Fleet().Lease())
	write := tablestore.Write{Key: RowKey(next.Name), Value: next.Encode(), IfVersion: version}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := h.table.Transact(call, changeID, []tablestore.Write{write})
	switch {
	case err == nil:
		h.recordWrite(next, result.Versions[0], started)
		return true, nil
	case tablestore.IsConflict(err), tablestore.IsOutcomeUnknown(err):
		return h.readBack(ctx, next, changeID, started)
	}
	return false, err
}

func (h *Holder) supersededError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.superseded != nil {
		return h.superseded
	}
	return nil
}

// nextWrite returns the row of the next write, its condition and its change id.
func (h *Holder) nextWrite(started time.Time, lease time.Duration) (Registration, int64, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.registration
	if next.Token == 0 {
		next.Token = nextFencingToken(h.previousRegistration.Token, started)
	}
	next.Renewal++
	next.LeaseMS = lease.Milliseconds()
	next.WrittenAt = started.Unix()
	h.changeSeq++
	changeID := fmt.Sprintf("%s-%x-reg-%d", next.Name, next.BootID, h.changeSeq)
	return next, h.rowVersion, changeID
}

// recordWrite records a write that was applied. started is before the write.
func (h *Holder) recordWrite(next Registration, version int64, started time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registration.Token == 0 {
		h.exclusiveFrom = previousLeaseEnd(h.previousRegistration, time.Now())
	}
	h.registration = next
	h.rowVersion = version
	h.validUntil = started.Add(next.Lease())
}

// previousLeaseEnd returns when the lease of a previous registration has ended. A
// renewal that preceded the new registration cannot count from later than now.
func previousLeaseEnd(previous Registration, now time.Time) time.Time {
	if previous.Token == 0 || previous.State == StateLeft {
		return now
	}
	return now.Add(previous.Lease() + leaseMargin)
}

// readBack finds out why a write was not confirmed.
func (h *Holder) readBack(ctx context.Context, next Registration, changeID string, started time.Time) (done bool, err error) {
	row, err := h.readRow(ctx)
	if err != nil {
		return false, err
	}
	if row.ChangeID == changeID {
		h.recordWrite(next, row.Version, started)
		return true, nil
	}
	h.applyRow(row)
	return false, nil
}

func (h *Holder) readRow(ctx context.Context) (tablestore.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.table.Read(call, RowKey(h.config.Name))
}

// applyRow takes over what the row says before the next attempt.
func (h *Holder) applyRow(row tablestore.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, err := Decode(row)
	registered := h.registration.Token != 0
	switch {
	case row.Version == 0 && registered:
		// The row was pruned, and nobody has registered since.
		h.startNewRegistration()
	case row.Version != 0 && err == nil && current.BootID == h.registration.BootID && current.State != StateLeft:
		// A write of this process arrived after its reply was lost.
		if !registered {
			h.exclusiveFrom = previousLeaseEnd(h.previousRegistration, time.Now())
		}
		h.registration.Token = current.Token
		h.registration.Renewal = max(h.registration.Renewal, current.Renewal)
	case row.Version != 0 && registered && current.BootID != h.registration.BootID:
		h.superseded = &SupersededError{Name: h.registration.Name, Token: h.registration.Token, Newer: current.Token}
	case err == nil:
		h.previousRegistration = current
	}
	h.rowVersion = row.Version
}
