package tablestore

import (
	"errors"
	"fmt"
)

// Conflict describes a write whose version condition was not met.
type Conflict struct {
	Key         string `json:"key"`
	WantVersion int64  `json:"want_version"` // from Write.IfVersion
	HaveVersion int64  `json:"have_version"` // the row's version, 0 if it is absent
}

// ConflictError reports a transaction with version conditions that were not met. Nothing
// was written.
type ConflictError struct{ Conflicts []Conflict }

func (e *ConflictError) Error() string {
	if len(e.Conflicts) == 0 {
		return "transaction conflict"
	}
	c := e.Conflicts[0]
	return fmt.Sprintf("transaction conflict on %d rows: row %q has version %d, want %d",
		len(e.Conflicts), c.Key, c.HaveVersion, c.WantVersion)
}

// HasKey reports whether the row with the given key is one of the conflicts.
func (e *ConflictError) HasKey(key string) bool {
	for _, c := range e.Conflicts {
		if c.Key == key {
			return true
		}
	}
	return false
}

// UnavailableError reports a call that had no effect because the platform could not be
// reached or rejected it.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s: unavailable: %v", e.Op, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports a write that may or may not have been applied, because its
// reply was lost. To find out, the caller must read the rows and compare their change IDs.
type OutcomeUnknownError struct {
	Op       string
	ChangeID string
	Err      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform %s: outcome of change %s is unknown: %v", e.Op, e.ChangeID, e.Err)
}

// Unwrap returns the underlying error.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Name)
}

// LimitError reports a call that exceeds a limit of the platform. Nothing was written.
type LimitError struct {
	Limit string // what is limited
	Max   int
	Got   int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is %d, the maximum is %d", e.Limit, e.Got, e.Max)
}

// IsOutcomeUnknown reports whether err is or wraps an *OutcomeUnknownError.
func IsOutcomeUnknown(err error) bool {
	var unknown *OutcomeUnknownError
	return errors.As(err, &unknown)
}

// IsConflict reports whether err is or wraps a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
