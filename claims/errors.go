package claims

import "fmt"

// FormatError reports data that this package did not write.
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

// InvalidRequestError reports a request that cannot be claimed. Nothing has run.
type InvalidRequestError struct{ Field string }

func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("the request has no %s", e.Field)
}

// ClaimNotWrittenError reports that no claim could be written. This request has not
// run and will not run. It says nothing about earlier requests with the key that
// only other instances have seen.
type ClaimNotWrittenError struct{ Err error }

func (e *ClaimNotWrittenError) Error() string {
	return fmt.Sprintf("claim not written, request not run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ClaimNotWrittenError) Unwrap() error { return e.Err }

// PriorClaimUnreadableError reports that an earlier request with the key exists whose
// claim or outcome cannot be read now. This request has not run; the earlier one
// may have.
type PriorClaimUnreadableError struct{ Err error }

func (e *PriorClaimUnreadableError) Error() string {
	return fmt.Sprintf("an earlier claim with this idempotency key cannot be read: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PriorClaimUnreadableError) Unwrap() error { return e.Err }

// KeyReusedError reports an idempotency key that was used for a different
// request. This request has not run.
type KeyReusedError struct{ RowKey string }

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key of %s belongs to a different request", e.RowKey)
}

// StartNotAllowedError reports that the first byte must not be sent.
type StartNotAllowedError struct{ Reason string }

func (e *StartNotAllowedError) Error() string { return "request must not start: " + e.Reason }

// StateError reports a call that the progress of the claim does not allow.
type StateError struct {
	Operation   string
	Reason string
}

func (e *StateError) Error() string { return fmt.Sprintf("%s: %s", e.Operation, e.Reason) }

// UpdatePendingError reports an outcome or a release that is not yet stored. The store
// keeps trying for Config.RetryTimeout; until then other callers get "in progress"
// or "outcome unknown".
type UpdatePendingError struct{ Err error }

func (e *UpdatePendingError) Error() string {
	return fmt.Sprintf("claim row not yet updated: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UpdatePendingError) Unwrap() error { return e.Err }

// RowChangedError reports a claim row that somebody else has changed, so that the
// outcome cannot be stored.
type RowChangedError struct{ RowKey string }

func (e *RowChangedError) Error() string {
	return fmt.Sprintf("claim row %s was changed by another writer", e.RowKey)
}

// PendingResponseLimitError reports an outcome that is dropped after its first failed
// write, because too many bytes wait for the platform.
type PendingResponseLimitError struct{ Bytes, Max int }

func (e *PendingResponseLimitError) Error() string {
	return fmt.Sprintf("%d bytes of outcomes wait for the platform, the maximum is %d", e.Bytes, e.Max)
}

// StoreClosedError reports a call to a store that was closed. Nothing has run.
type StoreClosedError struct{}

func (e *StoreClosedError) Error() string { return "claim store is closed" }

// ActiveClaimLimitError reports that this process works on too many claims, most of
// which wait for the platform.
type ActiveClaimLimitError struct{ Max int }

func (e *ActiveClaimLimitError) Error() string {
	return fmt.Sprintf("%d claims are in progress", e.Max)
}
