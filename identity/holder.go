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

// InstanceConfig describes the instance that registers.
type InstanceConfig struct {
	Name          string
	Zone          string
	BootID        uint64 // zero takes a random one
	PeerAddress   string
	CallerAddress string
	// FleetSize returns the current size of the fleet. Nil means a small one.
	FleetSize func() FleetSize
}

// RegistrationHolder owns the registration of this process. It is safe for concurrent use.
type RegistrationHolder struct {
	config InstanceConfig
	table  tablestore.Table
	jitter func() float64 // in [0, 1); replaced in tests

	writing sync.Mutex // held during a platform write

	mu            sync.Mutex
	reg           Registration // Token 0: not registered
	previous      Registration // found in the row before registering
	version       int64        // of the row; also the condition of the next write
	validUntil    time.Time    // on the monotonic clock
	exclusiveFrom time.Time
	superseded    *SupersededError
	changeNo      uint64
}

// NewRegistrationHolder returns a holder that is not registered.
func NewRegistrationHolder(config InstanceConfig, table tablestore.Table) *RegistrationHolder {
	if config.BootID == 0 {
		config.BootID = NewBootID()
	}
	if config.FleetSize == nil {
		config.FleetSize = func() FleetSize { return FleetSize{} }
	}
	reg := Registration{
		Name:          config.Name,
		Zone:          config.Zone,
		BootID:        config.BootID,
		PeerAddress:   config.PeerAddress,
		CallerAddress: config.CallerAddress,
		State:         StateServing,
	}
	return &RegistrationHolder{config: config, table: table, jitter: rand.Float64, reg: reg}
}

// Registration returns the registration as this process knows it. Its token is 0
// before the first successful Register.
func (h *RegistrationHolder) Registration() Registration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reg
}

// Valid reports whether this process was, within its lease, the newest
// registration of its name.
func (h *RegistrationHolder) Valid(now time.Time) bool { return h.CheckValid(now) == nil }

// CheckValid returns nil when Valid, and otherwise *SupersededError, *RegistrationExpiredError or
// *NotRegisteredError.
func (h *RegistrationHolder) CheckValid(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.superseded != nil:
		return h.superseded
	case h.reg.FencingToken == 0 || h.reg.State == StateDeregistered:
		return &NotRegisteredError{Name: h.reg.Name}
	case !now.Before(h.validUntil):
		return &RegistrationExpiredError{Name: h.reg.Name, ExpiredFor: now.Sub(h.validUntil)}
	}
	return nil
}

// ExclusiveFrom returns the time from which no older process of the same name
// holds itself for valid. It is the zero time before registration.
func (h *RegistrationHolder) ExclusiveFrom() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exclusiveFrom
}

// Register writes the registration with a new fencing token, or renews it when
// the process is registered. It returns the errors of the table, *SupersededError when this process was registered and a
// newer one exists, and *ContentionError.
func (h *RegistrationHolder) Register(ctx context.Context) error { return h.write(ctx, StateServing) }

// Renew confirms the registration in the table; it registers when the process is
// not registered yet or its row was pruned. Errors are those of Register, and
// *NotRegisteredError after Deregister.
func (h *RegistrationHolder) Renew(ctx context.Context) error { return h.write(ctx, sameState) }

// Drain announces that the instance takes no new work. When it fails, the next
// renewal carries the announcement. Errors are those of Register.
func (h *RegistrationHolder) Drain(ctx context.Context) error { return h.write(ctx, StateDraining) }

// Deregister ends the registration. The row stays with StateDeregistered to keep its
// token. Errors are those of Register.
func (h *RegistrationHolder) Deregister(ctx context.Context) error { return h.write(ctx, StateDeregistered) }

// sameState makes write keep the state, so that a renewal never takes back a
// Drain that runs at the same time.
const sameState State = ""

// write brings the row to the wanted state.
func (h *RegistrationHolder) write(ctx context.Context, state State) error {
	h.writing.Lock()
	defer h.writing.Unlock()
	if needed, err := h.setState(state); !needed {
		return err
	}
	for range maxWriteAttempts {
		done, err := h.writeOnce(ctx)
		if done || err != nil {
			return err
		}
	}
	return &ContentionError{Name: h.config.Name}
}

// setState prepares the next write. It returns false when there is nothing to
// write: for a renewal after Deregister, with *NotRegisteredError, and for a
// process that leaves without having been registered.
func (h *RegistrationHolder) setState(state State) (needed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := h.reg.State == StateDeregistered
	switch {
	case state == sameState && left:
		return false, &NotRegisteredError{Name: h.reg.Name}
	case state == sameState:
		return true, nil
	case state == StateDeregistered && h.reg.FencingToken == 0:
		return false, nil
	case left && state != StateDeregistered:
		h.forgetToken()
	}
	h.reg.State = state
	return true, nil
}

// forgetToken makes the next write a new registration. It is called with the
// mutex held.
func (h *RegistrationHolder) forgetToken() {
	h.previous = h.reg
	h.reg.FencingToken = 0
}

// writeOnce tries one conditional write. done is false when the row had changed
// and the write must be tried again.
func (h *RegistrationHolder) writeOnce(ctx context.Context) (done bool, err error) {
	if err := h.supersededError(); err != nil {
		return false, err
	}
	if h.Registration().FencingToken == 0 {
		row, err := h.read(ctx)
		if err != nil {
			return false, err
		}
		h.found(row)
	}
	started := time.Now()
	next, version, changeID := h.next(started, h.config.FleetSize().Lease())
	write := tablestore.Write{Key: RegistrationKey(next.Name), Value: next.Encode(), IfVersion: version}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := h.table.Transact(call, changeID, []tablestore.Write{write})
	switch {
	case err == nil:
		h.confirm(next, result.Versions[0], started)
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

// next returns the row of the next write, its condition and its change id.
func (h *RegistrationHolder) next(started time.Time, lease time.Duration) (Registration, int64, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.reg
	if next.FencingToken == 0 {
		next.FencingToken = nextToken(h.previous.FencingToken, started)
	}
	next.RenewalCount++
	next.LeaseMS = lease.Milliseconds()
	next.WrittenAt = started.Unix()
	h.changeNo++
	changeID := fmt.Sprintf("%s-%x-reg-%d", next.Name, next.BootID, h.changeNo)
	return next, h.version, changeID
}

// confirm records a write that was applied. started is before the write.
func (h *RegistrationHolder) confirm(next Registration, version int64, started time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reg.FencingToken == 0 {
		h.exclusiveFrom = exclusiveFrom(h.previous, time.Now())
	}
	h.reg = next
	h.version = version
	h.validUntil = started.Add(next.Lease())
}

// exclusiveFrom returns when the lease of a previous registration has ended. A
// renewal that preceded the new registration cannot count from later than now.
func exclusiveFrom(previous Registration, now time.Time) time.Time {
	if previous.FencingToken == 0 || previous.State == StateDeregistered {
		return now
	}
	return now.Add(previous.Lease() + leaseMargin)
}

// readBack finds out why a write was not confirmed.
func (h *RegistrationHolder) readBack(ctx context.Context, next Registration, changeID string, started time.Time) (done bool, err error) {
	row, err := h.read(ctx)
	if err != nil {
		return false, err
	}
	if row.ChangeID == changeID {
		h.confirm(next, row.Version, started)
		return true, nil
	}
	h.found(row)
	return false, nil
}

func (h *RegistrationHolder) read(ctx context.Context) (tablestore.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.table.Read(call, RegistrationKey(h.config.Name))
}

// found takes over what the row says before the next attempt.
func (h *RegistrationHolder) found(row tablestore.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, err := DecodeRegistration(row)
	registered := h.reg.FencingToken != 0
	switch {
	case row.Version == 0 && registered:
		// The row was pruned, and nobody has registered since.
		h.forgetToken()
	case row.Version != 0 && err == nil && current.BootID == h.reg.BootID && current.State != StateDeregistered:
		// A write of this process arrived after its reply was lost.
		if !registered {
			h.exclusiveFrom = exclusiveFrom(h.previous, time.Now())
		}
		h.reg.FencingToken = current.FencingToken
		h.reg.RenewalCount = max(h.reg.RenewalCount, current.RenewalCount)
	case row.Version != 0 && registered && current.BootID != h.reg.BootID:
		h.superseded = &SupersededError{Name: h.reg.Name, FencingToken: h.reg.FencingToken, NewerToken: current.FencingToken}
	case err == nil:
		h.previous = current
	}
	h.version = row.Version
}
