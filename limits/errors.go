package limits

import "fmt"

// LimitValueError reports a configured limit whose rate or burst is negative or
// not a number.
type LimitValueError struct {
	Name  string
	Field string
	Value float64
}

func (e *LimitValueError) Error() string {
	return fmt.Sprintf("limit %q: %s is %v, want a number of at least 0", e.Name, e.Field, e.Value)
}

// SyncError reports that one limit could not be read or written in a step. The
// shares in use stay valid until their terms end.
type SyncError struct {
	Name string // empty when all limits were read together
	Op   string
	Err  error
}

func (e *SyncError) Error() string {
	return fmt.Sprintf("limit %q: %s: %v", e.Name, e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }
