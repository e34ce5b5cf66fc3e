package memory

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// OpKind is the kind of a platform call.
type OpKind string

// Kinds of platform calls.
const (
	OpRead     OpKind = "read"
	OpScan     OpKind = "scan"
	OpTransact OpKind = "transact"
	OpPut      OpKind = "put"
	OpGet      OpKind = "get"
	OpList     OpKind = "list"
)

// isWrite reports whether calls of this kind change rows or objects.
func (k OpKind) isWrite() bool { return k == OpTransact || k == OpPut }

// Op describes a platform call for a FaultFunc.
type Op struct {
	Kind     OpKind
	Key      string // row key, scan prefix, object name, or key of a transaction's first write
	ChangeID string // only of transactions
}

// Fault describes how a call fails or is delayed. The zero value is no fault.
type Fault struct {
	Unavailable bool          // the call fails and has no effect
	LoseReply   bool          // the call takes effect but its reply is lost
	Delay       time.Duration // delay before the call takes effect
}

// FaultFunc returns the fault to inject into a call. It is called while the store is
// locked, so it must not call methods of the store.
type FaultFunc func(Op) Fault

// InjectedFaultError is the underlying error of the errors that an injected fault causes.
type InjectedFaultError struct{ Kind string }

func (e *InjectedFaultError) Error() string { return fmt.Sprintf("injected fault: %s", e.Kind) }

// AlwaysUnavailable is a FaultFunc that makes every call fail without effect.
func AlwaysUnavailable(Op) Fault { return Fault{Unavailable: true} }

// callWithFault performs a call with its fault: it runs apply with the store locked, unless
// the fault prevents that, and returns the error of apply or of the fault.
func (s *Store) callWithFault(ctx context.Context, op Op, apply func() error) error {
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
	if op.Kind.isWrite() {
		return &tablestore.OutcomeUnknownError{Op: string(op.Kind), ChangeID: op.ChangeID, Err: cause}
	}
	return &tablestore.UnavailableError{Op: string(op.Kind), Err: cause}
}

func (s *Store) faultFor(op Op) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFunc == nil {
		return Fault{}
	}
	return s.faultFunc(op)
}
