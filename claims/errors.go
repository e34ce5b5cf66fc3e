package claims

import "fmt"

// FormatError reports data that is not in the format of this package.
type FormatError struct {
	What string
	Err  error
}

func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("invalid %s", e.What)
	}
	return fmt.Sprintf("invalid %s: %v", e.What, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// InvalidRequestError reports a request that cannot be claimed because a field is
// empty. The request did not run.
type InvalidRequestError struct{ Field string }

func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("the request has no %s", e.Field)
}

// UnavailableError reports that no claim was written. This request did not run and
// will not run. An earlier request with the same idempotency key may have run at
// another instance without this instance knowing of it.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("writing the claim row failed, the request did not run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// PriorUnreadableError reports that an earlier request with the same idempotency
// key exists, but its claim or its response cannot be read at present. This request
// did not run; the earlier one may have run.
type PriorUnreadableError struct{ Err error }

func (e *PriorUnreadableError) Error() string {
	return fmt.Sprintf("reading the earlier claim with this idempotency key failed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PriorUnreadableError) Unwrap() error { return e.Err }

// KeyReusedError reports an idempotency key that was used for a request with a
// different fingerprint. This request did not run.
type KeyReusedError struct{ Row string }

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key of claim row %s was used for a different request", e.Row)
}

// StartError reports that the request must not be sent to a backend server.
type StartError struct{ Reason string }

func (e *StartError) Error() string { return "request must not be sent: " + e.Reason }

// StateError reports an operation that the state of the claim or of its row does not
// allow.
type StateError struct {
	Call   string
	Reason string
}

func (e *StateError) Error() string { return fmt.Sprintf("%s: %s", e.Call, e.Reason) }

// PendingError reports that a response or a release is not yet stored. The store
// retries the write for up to Config.RetryFor. Until it is stored, other instances
// answer requests with the same key with "in progress" or "outcome unknown".
type PendingError struct{ Err error }

func (e *PendingError) Error() string {
	return fmt.Sprintf("claim row not yet updated, the write continues in the background: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Err }

// LostError reports that the final state of a claim was not stored because another
// writer has changed or removed the row.
type LostError struct{ Row string }

func (e *LostError) Error() string {
	return fmt.Sprintf("updating claim row %s failed: changed by another writer", e.Row)
}

// PendingLimitError reports a response that is dropped after its first failed write
// because too many bytes of responses wait to be stored.
type PendingLimitError struct{ Bytes, Max int }

func (e *PendingLimitError) Error() string {
	return fmt.Sprintf("response dropped: %d bytes of responses would wait for the platform, the maximum is %d", e.Bytes, e.Max)
}

// ClosedError reports a call to a store that was closed. The request did not run.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "claim store is closed" }

// ActiveLimitError reports that too many claims of this process are unfinished. Most
// of them wait for the platform.
type ActiveLimitError struct{ Max int }

func (e *ActiveLimitError) Error() string {
	return fmt.Sprintf("claim rejected: the maximum of %d unfinished claims is reached", e.Max)
}
