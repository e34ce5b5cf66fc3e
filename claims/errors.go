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

// ClaimNotWrittenError reports that no claim was written. This request did not run and
// will not run. An earlier request with the same idempotency key may have run at
// another instance without this instance knowing of it.
type ClaimNotWrittenError struct{ Err error }

func (e *ClaimNotWrittenError) Error() string {
	return fmt.Sprintf("writing the claim row failed, the request did not run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ClaimNotWrittenError) Unwrap() error { return e.Err }

// PriorClaimUnreadableError reports that an earlier request with the same idempotency
// key exists, but its claim or its response cannot be read at present. This request
// did not run; the earlier one may have run.
type PriorClaimUnreadableError struct{ Err error }

func (e *PriorClaimUnreadableError) Error() string {
	return fmt.Sprintf("reading the earlier claim with this idempotency key failed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PriorClaimUnreadableError) Unwrap() error { return e.Err }

// KeyReusedError reports an idempotency key that was used for a request with a
// different fingerprint. This request did not run.
type KeyReusedError struct{ RowKey string }

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key of claim row %s was used for a different request", e.RowKey)
}

// StartNotAllowedError reports that the request must not be sent to a backend server.
type StartNotAllowedError struct{ Reason string }

func (e *StartNotAllowedError) Error() string { return "request must not be sent: " + e.Reason }

// StateError reports an operation that the state of the claim or of its row does not
// allow.
type StateError struct {
	Operation string
	Reason    string
}

func (e *StateError) Error() string { return fmt.Sprintf("%s: %s", e.Operation, e.Reason) }

// UpdatePendingError reports that a response or a release is not yet stored. The store
// retries the write for up to Config.RetryTimeout. Until it is stored, other instances
// answer requests with the same key with "in progress" or "outcome unknown".
type UpdatePendingError struct{ Err error }

func (e *UpdatePendingError) Error() string {
	return fmt.Sprintf("claim row not yet updated, the write continues in the background: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UpdatePendingError) Unwrap() error { return e.Err }

// RowChangedError reports that the final state of a claim was not stored because another
// writer has changed or removed the row.
type RowChangedError struct{ RowKey string }

func (e *RowChangedError) Error() string {
	return fmt.Sprintf("updating claim row %s failed: changed by another writer", e.RowKey)
}

// PendingResponseLimitError reports a response that is dropped after its first failed write
// because too many bytes of responses wait to be stored.
type PendingResponseLimitError struct{ Bytes, Max int }

func (e *PendingResponseLimitError) Error() string {
	return fmt.Sprintf("response dropped: %d bytes of responses would wait for the platform, the maximum is %d", e.Bytes, e.Max)
}

// StoreClosedError reports a call to a store that was closed. The request did not run.
type StoreClosedError struct{}

func (e *StoreClosedError) Error() string { return "claim store is closed" }

// ActiveClaimLimitError reports that too many claims of this process are unfinished. Most
// of them wait for the platform.
type ActiveClaimLimitError struct{ Max int }

func (e *ActiveClaimLimitError) Error() string {
	return fmt.Sprintf("claim rejected: the maximum of %d unfinished claims is reached", e.Max)
}
