package identity

import (
	"fmt"
	"time"
)

// InvalidRegistrationError reports a registration row that cannot be decoded, or whose content does
// not match its row key.
type InvalidRegistrationError struct {
	RowKey string // of the row
	Err    error
}

func (e *InvalidRegistrationError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("invalid registration row %q", e.RowKey)
	}
	return fmt.Sprintf("invalid registration row %q: %v", e.RowKey, e.Err)
}

// Unwrap returns the cause.
func (e *InvalidRegistrationError) Unwrap() error { return e.Err }

// SupersededError reports that another process has registered the same name later. This
// process must stop acting under the name.
type SupersededError struct {
	Name         string
	FencingToken int64 // fencing token of this process; 0 if it was never registered
	NewerToken   int64 // fencing token of the newer registration
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("fencing token %d of instance %q is superseded by token %d", e.FencingToken, e.Name, e.NewerToken)
}

// RegistrationExpiredError reports a registration that has not been confirmed within its lease.
// Whether another process has registered since is unknown until the next renewal.
type RegistrationExpiredError struct {
	Name       string
	ExpiredFor time.Duration // time since the lease ended
}

func (e *RegistrationExpiredError) Error() string {
	return fmt.Sprintf("registration of instance %q not confirmed: lease expired %v ago", e.Name, e.ExpiredFor)
}

// NotRegisteredError reports that this process has no registration, because it has not
// registered yet or has deregistered.
type NotRegisteredError struct{ Name string }

func (e *NotRegisteredError) Error() string {
	return fmt.Sprintf("instance %q is not registered", e.Name)
}

// ContentionError reports a registration that was not written, because every attempt
// conflicted with a write by another process of the same name.
type ContentionError struct{ Name string }

func (e *ContentionError) Error() string {
	return fmt.Sprintf("registration of instance %q not written: other processes of this name keep changing the row", e.Name)
}
