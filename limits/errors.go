package limits

import "fmt"

// LimitValueError reports a configured limit whose rate or burst is negative, infinite
// or NaN.
type LimitValueError struct {
	Name  string
	Field string // "rate per second" or "burst"
	Value float64
}

func (e *LimitValueError) Error() string {
	return fmt.Sprintf("limit %q: %s is %v, want a number of at least 0", e.Name, e.Field, e.Value)
}

// SyncError reports that an operation of a sync failed, for one limit or for all. Shares
// in use stay valid until their terms end.
type SyncError struct {
	Name string // of the limit; empty if the operation concerns all limits
	Op   string // operation that failed, such as "write ledger"
	Err  error
}

func (e *SyncError) Error() string {
	return fmt.Sprintf("limit %q: %s failed: %v", e.Name, e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }
