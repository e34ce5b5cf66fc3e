package keys

import (
	"fmt"
	"time"
)

// MalformedKeyError reports a presented value that does not have the format of a key.
// It does not contain the value, because the value may include a secret.
type MalformedKeyError struct{}

func (e *MalformedKeyError) Error() string { return "the key is malformed" }

// UnknownKeyError reports a key ID for which there is no record.
type UnknownKeyError struct{ KeyID string }

func (e *UnknownKeyError) Error() string { return fmt.Sprintf("key %s is unknown", e.KeyID) }

// WrongSecretError reports a secret that does not match the record of the key.
type WrongSecretError struct{ KeyID string }

func (e *WrongSecretError) Error() string { return fmt.Sprintf("wrong secret for key %s", e.KeyID) }

// WithdrawnError reports a key that has been withdrawn.
type WithdrawnError struct{ KeyID string }

func (e *WithdrawnError) Error() string { return fmt.Sprintf("key %s is withdrawn", e.KeyID) }

// RouteNotAllowedError reports a key whose record does not allow the requested route.
type RouteNotAllowedError struct {
	KeyID string
	Route string
}

func (e *RouteNotAllowedError) Error() string {
	return fmt.Sprintf("key %s does not allow route %s", e.KeyID, e.Route)
}

// InvalidIDError reports text that is not a key ID. It does not contain the text,
// because operators sometimes paste a whole key with its secret by mistake.
type InvalidIDError struct{}

func (e *InvalidIDError) Error() string {
	return "not a key identifier, want the part between jr_ and the next underscore"
}

// InvalidGrantError reports a grant request without a customer or without routes.
type InvalidGrantError struct {
	Field       string
	Requirement string // what the field must be
}

func (e *InvalidGrantError) Error() string {
	return fmt.Sprintf("grant: %s must be %s", e.Field, e.Requirement)
}

// ChangeOutcomeUnknownError reports a grant or withdrawal whose outcome is unknown: it may
// have been written. A withdrawal can safely be repeated. After a grant with an
// unknown outcome, the key can be withdrawn by its ID.
type ChangeOutcomeUnknownError struct {
	KeyID    string
	ChangeID string
	Err      error
}

func (e *ChangeOutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s of key %s may have been written: %v", e.ChangeID, e.KeyID, e.Err)
}

// Unwrap returns the cause.
func (e *ChangeOutcomeUnknownError) Unwrap() error { return e.Err }

// ContentionError reports a change that was not written, because every attempt
// conflicted with a concurrent change by another operator.
type ContentionError struct {
	KeyID    string
	Attempts int
}

func (e *ContentionError) Error() string {
	return fmt.Sprintf("key %s was not changed: %d attempts met other changes", e.KeyID, e.Attempts)
}

// StaleReadError reports a platform read that returned an older key generation than
// one that this instance has already seen. The read is ignored and does not count
// for the freshness of the key data.
type StaleReadError struct {
	ReadGeneration  uint64 // key generation returned by the platform
	KnownGeneration uint64 // newest key generation that this instance has seen
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("stale platform read: got key generation %d, already seen generation %d", e.ReadGeneration, e.KnownGeneration)
}

// StaleKeyDataError reports key data that is older than the staleness bound of a route,
// so that a withdrawal may have been missed and no key can be accepted. The request
// is rejected before it runs.
type StaleKeyDataError struct{ StalenessBound time.Duration }

func (e *StaleKeyDataError) Error() string {
	return fmt.Sprintf("key data is older than %s", e.StalenessBound)
}

// RowDecodeError reports a table row that cannot be decoded.
type RowDecodeError struct {
	RowKey string // of the row
	Err    error
}

func (e *RowDecodeError) Error() string { return fmt.Sprintf("row %q: %v", e.RowKey, e.Err) }

// Unwrap returns the cause.
func (e *RowDecodeError) Unwrap() error { return e.Err }
