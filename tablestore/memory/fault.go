package memory

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// OpKind names a platform call.
type OpKind string

// Platform calls.
const (
	OpRead     OpKind = "read"
	OpScan     OpKind = "scan"
	OpTransact OpKind = "transact"
	OpPut      OpKind = "put"
	OpGet      OpKind = "get"
	OpList     OpKind = "list"
)

// writes reports whether the call changes state.
func (k OpKind) writes() bool { return k == OpTransact || k == OpPut }

// Op describes one call to a FaultFunc.
type Op struct {
	Kind     OpKind
	Key      string // row key, prefix or object name; of a transaction, the first row
	ChangeID string
}

// Fault describes how one call misbehaves. The zero value is a healthy call.
type Fault struct {
	Unavailable      bool          // the call fails and has no effect
	LoseReply bool          // the call takes effect and its reply is lost
	Delay     time.Duration // before the call takes effect
}

// FaultFunc decides the fault of a call. It is called with the store locked and
// must not call the store.
type FaultFunc func(Op) Fault

// InjectedFaultError is the cause inside errors that faults produce.
type InjectedFaultError struct{ Kind string }

func (e *InjectedFaultError) Error() string { return fmt.Sprintf("injected fault: %s", e.Kind) }

// Unavailable makes every call fail without effect.
func AlwaysUnavailable(Op) Fault { return Fault{Unavailable: true} }

func (s *Store) call(ctx context.Context, op Op, apply func() error) error {
	fault := s.faultFor(op)
	if err := sleep.For(ctx, fault.Delay); err != nil {
		return &tablestore.UnavailableError{Op: string(op.Kind), Err: err}
	}
	if fault.Unavailable {
		return &tablestore.UnavailableError{Op: string(op.Kind), Err: &InjectedFaultError{Kind: "down"}}
	}
	s.mu.Lock()
	err := apply()
	s.mu.Unlock()
	if !fault.LoseReply {
		return err
	}
	cause := &InjectedFaultError{Kind: "reply lost"}
	if op.Kind.writes() {
		return &tablestore.OutcomeUnknownError{Op: string(op.Kind), ChangeID: op.ChangeID, Err: cause}
	}
	return &tablestore.UnavailableError{Op: string(op.Kind), Err: cause}
}

func (s *Store) faultFor(op Op) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return Fault{}
	}
	return s.fault(op)
}
