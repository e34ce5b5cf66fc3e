package tablestore

import (
	"errors"
	"fmt"
)

// Conflict describes one write whose condition did not hold.
type Conflict struct {
	Key         string `json:"key"`
	WantVersion int64  `json:"want_version"`
	HaveVersion int64  `json:"have_version"`
}

// ConflictError reports a transaction whose conditions did not hold. Nothing was
// written.
type ConflictError struct{ Conflicts []Conflict }

func (e *ConflictError) Error() string {
	if len(e.Conflicts) == 0 {
		return "transaction conflict"
	}
	c := e.Conflicts[0]
	return fmt.Sprintf("transaction conflict on %d rows: row %q has version %d, want %d",
		len(e.Conflicts), c.Key, c.HaveVersion, c.WantVersion)
}

// HasKey reports whether key is one of the rows in conflict.
func (e *ConflictError) HasKey(key string) bool {
	for _, c := range e.Conflicts {
		if c.Key == key {
			return true
		}
	}
	return false
}

// UnavailableError reports a call that had no effect because the platform could
// not be reached or refused it.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s: unavailable: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports a write whose reply was lost. The caller must read
// the rows back and compare the change id.
type OutcomeUnknownError struct {
	Op       string
	ChangeID string
	Err      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform %s: outcome of change %s is unknown: %v", e.Op, e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Name)
}

// LimitError reports a request that exceeds a limit of the platform. Nothing was
// written.
type LimitError struct {
	Limit string
	Max   int
	Got   int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is %d, the maximum is %d", e.Limit, e.Got, e.Max)
}

// IsOutcomeUnknown reports whether err leaves open if a write was applied.
func IsOutcomeUnknown(err error) bool {
	var unknown *OutcomeUnknownError
	return errors.As(err, &unknown)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
