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
	// callTimeout is the timeout of one platform call.
	callTimeout = 2 * time.Second
	// maxWriteAttempts bounds the attempts at a conditional write of the row.
	maxWriteAttempts = 5
	// leaseMargin is added to the lease of an older process, because the clocks of
	// two machines may run at different rates.
	leaseMargin = 2 * time.Second
)

// InstanceConfig describes the instance to be registered.
type InstanceConfig struct {
	Name          string
	Zone          string
	BootID        uint64 // default random
	PeerAddress   string
	CallerAddress string
	// FleetSize returns the current size of the fleet, from which the intervals are
	// computed. Nil means a small fleet.
	FleetSize func() FleetSize
}

// RegistrationHolder writes and renews the registration of this process, and tells whether it is
// still valid. It is safe for concurrent use.
type RegistrationHolder struct {
	config         InstanceConfig
	table          tablestore.Table
	jitterFraction func() float64 // in [0, 1); replaced in tests

	writeMu sync.Mutex // held during a write, including its retries

	mu                   sync.Mutex
	registration         Registration // as last confirmed; FencingToken 0: not registered
	previousRegistration Registration // the one that the next new registration replaces
	rowVersion           int64        // last seen; condition of the next write
	validUntil           time.Time    // end of the lease, on the monotonic clock
	exclusiveFrom        time.Time
	superseded           *SupersededError
	changeSeq            uint64 // number of write attempts, for change IDs
}

// NewRegistrationHolder returns a holder whose process is not registered yet.
func NewRegistrationHolder(config InstanceConfig, table tablestore.Table) *RegistrationHolder {
	if config.BootID == 0 {
		config.BootID = NewBootID()
	}
	if config.FleetSize == nil {
		config.FleetSize = func() FleetSize { return FleetSize{} }
	}
	registration := Registration{
		Name:          config.Name,
		Zone:          config.Zone,
		BootID:        config.BootID,
		PeerAddress:   config.PeerAddress,
		CallerAddress: config.CallerAddress,
		State:         StateServing,
	}
	return &RegistrationHolder{config: config, table: table, jitterFraction: rand.Float64, registration: registration}
}

// Registration returns the registration as this process last confirmed it. Its token is
// 0 before the first successful Register.
func (h *RegistrationHolder) Registration() Registration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registration
}

// Valid reports whether the registration was confirmed within its lease and no newer
// registration of the name is known.
func (h *RegistrationHolder) Valid(now time.Time) bool { return h.CheckValid(now) == nil }

// CheckValid returns nil if the registration is valid (see Valid), and otherwise
// *SupersededError, *RegistrationExpiredError or *NotRegisteredError.
func (h *RegistrationHolder) CheckValid(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.superseded != nil:
		return h.superseded
	case h.registration.FencingToken == 0 || h.registration.State == StateDeregistered:
		return &NotRegisteredError{Name: h.registration.Name}
	case !now.Before(h.validUntil):
		return &RegistrationExpiredError{Name: h.registration.Name, ExpiredFor: now.Sub(h.validUntil)}
	}
	return nil
}

// ExclusiveFrom returns the time from which no older process of the same name considers
// its registration valid. It is the zero time before registration.
func (h *RegistrationHolder) ExclusiveFrom() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exclusiveFrom
}

// Register writes a registration with a new fencing token, or renews the registration
// if the process has one. It returns the errors of the table, *ContentionError, and
// *SupersededError if this process was registered and a newer registration exists.
func (h *RegistrationHolder) Register(ctx context.Context) error {
	return h.writeState(ctx, StateServing)
}

// Renew renews the registration in the table. It registers the process if that has not
// been done yet or the row was pruned. It returns the errors of Register, and
// *NotRegisteredError after Deregister.
func (h *RegistrationHolder) Renew(ctx context.Context) error { return h.writeState(ctx, keepState) }

// Drain writes to the row that the instance takes no new work. If that fails, the next
// renewal writes it. It returns the errors of Register.
func (h *RegistrationHolder) Drain(ctx context.Context) error {
	return h.writeState(ctx, StateDraining)
}

// Deregister ends the registration. The row remains with StateDeregistered, so that the next
// registration gets a larger fencing token. It returns the errors of Register.
func (h *RegistrationHolder) Deregister(ctx context.Context) error {
	return h.writeState(ctx, StateDeregistered)
}

// keepState makes writeState keep the current state, so that a renewal does not undo a
// concurrent Drain.
const keepState State = ""

// writeState writes the row with the state.
func (h *RegistrationHolder) writeState(ctx context.Context, state State) error {
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

// prepareState sets the state for the next write. It returns false if no write is
// needed: for a renewal after Deregister, with *NotRegisteredError, and for a
// Deregister without a registration.
func (h *RegistrationHolder) prepareState(state State) (needed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	deregistered := h.registration.State == StateDeregistered
	switch {
	case state == keepState && deregistered:
		return false, &NotRegisteredError{Name: h.registration.Name}
	case state == keepState:
		return true, nil
	case state == StateDeregistered && h.registration.FencingToken == 0:
		return false, nil
	case deregistered && state != StateDeregistered:
		h.startNewRegistration()
	}
	h.registration.State = state
	return true, nil
}

// startNewRegistration makes the next write a registration with a new fencing token. It
// must be called with mu held.
func (h *RegistrationHolder) startNewRegistration() {
	h.previousRegistration = h.registration
	h.registration.FencingToken = 0
}

// tryWrite makes one attempt at the conditional write. If done is false and err is nil,
// the row had changed, and the write must be tried again.
func (h *RegistrationHolder) tryWrite(ctx context.Context) (done bool, err error) {
	if err := h.supersededError(); err != nil {
		return false, err
	}
	if h.Registration().FencingToken == 0 {
		row, err := h.readRow(ctx)
		if err != nil {
			return false, err
		}
		h.applyRow(row)
	}
	started := time.Now()
	next, version, changeID := h.nextWrite(started, h.config.FleetSize().Lease())
	write := tablestore.Write{Key: RegistrationKey(next.Name), Value: next.Encode(), IfVersion: version}
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

func (h *RegistrationHolder) supersededError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.superseded != nil {
		return h.superseded
	}
	return nil
}

// nextWrite returns the registration to write, the row version on which the write is
// conditional, and the change ID.
func (h *RegistrationHolder) nextWrite(started time.Time, lease time.Duration) (Registration, int64, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.registration
	if next.FencingToken == 0 {
		next.FencingToken = nextFencingToken(h.previousRegistration.FencingToken, started)
	}
	next.RenewalCount++
	next.LeaseMS = lease.Milliseconds()
	next.WrittenAt = started.Unix()
	h.changeSeq++
	changeID := fmt.Sprintf("%s-%x-reg-%d", next.Name, next.BootID, h.changeSeq)
	return next, h.rowVersion, changeID
}

// recordWrite records that a write was applied. started is the time before the write,
// from which the lease counts.
func (h *RegistrationHolder) recordWrite(next Registration, version int64, started time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registration.FencingToken == 0 {
		h.exclusiveFrom = previousLeaseEnd(h.previousRegistration, time.Now())
	}
	h.registration = next
	h.rowVersion = version
	h.validUntil = started.Add(next.Lease())
}

// previousLeaseEnd returns the time at which the lease of a previous registration has
// certainly ended. Its last renewal was written before the new registration, so the
// lease counts from now at the latest.
func previousLeaseEnd(previous Registration, now time.Time) time.Time {
	if previous.FencingToken == 0 || previous.State == StateDeregistered {
		return now
	}
	return now.Add(previous.Lease() + leaseMargin)
}

// readBack reads the row after a conflict or an unknown outcome. done is true if the row
// shows that the write was applied.
func (h *RegistrationHolder) readBack(ctx context.Context, next Registration, changeID string, started time.Time) (done bool, err error) {
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

func (h *RegistrationHolder) readRow(ctx context.Context) (tablestore.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.table.Read(call, RegistrationKey(h.config.Name))
}

// applyRow updates the state from the current row before the next attempt.
func (h *RegistrationHolder) applyRow(row tablestore.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, err := DecodeRegistration(row)
	registered := h.registration.FencingToken != 0
	switch {
	case row.Version == 0 && registered:
		// The row was pruned, and no process has registered since.
		h.startNewRegistration()
	case row.Version != 0 && err == nil && current.BootID == h.registration.BootID && current.State != StateDeregistered:
		// The row is from an earlier write of this process whose reply was lost.
		if !registered {
			h.exclusiveFrom = previousLeaseEnd(h.previousRegistration, time.Now())
		}
		h.registration.FencingToken = current.FencingToken
		h.registration.RenewalCount = max(h.registration.RenewalCount, current.RenewalCount)
	case row.Version != 0 && registered && current.BootID != h.registration.BootID:
		h.superseded = &SupersededError{Name: h.registration.Name, FencingToken: h.registration.FencingToken, NewerToken: current.FencingToken}
	case err == nil:
		h.previousRegistration = current
	}
	h.rowVersion = row.Version
}
