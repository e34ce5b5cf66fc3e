package keys

import (
	"fmt"
	"time"
)

// MalformedKeyError reports a presented value that is not a key. It holds nothing of
// the value, which may contain a secret.
type MalformedKeyError struct{}

func (e *MalformedKeyError) Error() string { return "the key is malformed" }

// UnknownKeyError reports a key identifier that was never granted.
type UnknownKeyError struct{ KeyID string }

func (e *UnknownKeyError) Error() string { return fmt.Sprintf("key %s is unknown", e.KeyID) }

// WrongSecretError reports a known key identifier with another secret.
type WrongSecretError struct{ KeyID string }

func (e *WrongSecretError) Error() string { return fmt.Sprintf("key %s has another secret", e.KeyID) }

// WithdrawnError reports a withdrawn key.
type WithdrawnError struct{ KeyID string }

func (e *WithdrawnError) Error() string { return fmt.Sprintf("key %s is withdrawn", e.KeyID) }

// RouteNotAllowedError reports a key that may not be used on a route.
type RouteNotAllowedError struct {
	KeyID string
	Route string
}

func (e *RouteNotAllowedError) Error() string {
	return fmt.Sprintf("key %s does not allow route %s", e.KeyID, e.Route)
}

// InvalidIDError reports text that is not a key identifier. It does not repeat
// the text, because operators paste whole keys by mistake.
type InvalidIDError struct{}

func (e *InvalidIDError) Error() string {
	return "not a key identifier, want the part between jr_ and the next underscore"
}

// InvalidGrantError reports a grant without a customer or routes.
type InvalidGrantError struct {
	Field   string
	Requirement string
}

func (e *InvalidGrantError) Error() string {
	return fmt.Sprintf("grant: %s must be %s", e.Field, e.Requirement)
}

// ChangeOutcomeUnknownError reports a grant or withdrawal that may have been written. A
// withdrawal can be repeated. A key whose grant is unknown can be withdrawn.
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

// ContentionError reports a change that was not written, because other operators
// changed keys at the same time in every attempt.
type ContentionError struct {
	KeyID    string
	Attempts int
}

func (e *ContentionError) Error() string {
	return fmt.Sprintf("key %s was not changed: %d attempts met other changes", e.KeyID, e.Attempts)
}

// StaleReadError reports a platform read that is older than what is known. It was
// ignored and does not make key data fresh.
type StaleReadError struct {
	ReadGeneration  uint64 // key generation
	KnownGeneration uint64
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("read key generation %d, but generation %d is known", e.ReadGeneration, e.KnownGeneration)
}

// StaleKeyDataError reports that the key data is older than the staleness bound of a
// route, so that the key cannot be accepted. The request was not run.
type StaleKeyDataError struct{ StalenessBound time.Duration }

func (e *StaleKeyDataError) Error() string {
	return fmt.Sprintf("key data is older than %s", e.StalenessBound)
}

// RowDecodeError reports a row that cannot be decoded.
type RowDecodeError struct {
	RowKey string
	Err error
}

func (e *RowDecodeError) Error() string { return fmt.Sprintf("row %q: %v", e.RowKey, e.Err) }

// Unwrap returns the cause.
func (e *RowDecodeError) Unwrap() error { return e.Err }
