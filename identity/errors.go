package identity

import (
	"fmt"
	"time"
)

// InvalidRegistrationError reports a registration row that this package did not write.
type InvalidRegistrationError struct {
	RowKey string
	Err error
}

func (e *InvalidRegistrationError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("invalid registration row %q", e.RowKey)
	}
	return fmt.Sprintf("invalid registration row %q: %v", e.RowKey, e.Err)
}

// Unwrap returns the cause.
func (e *InvalidRegistrationError) Unwrap() error { return e.Err }

// SupersededError reports a newer registration of the same name. The process
// must stop acting under this name.
type SupersededError struct {
	Name  string
	FencingToken int64 // of this process, 0 when it was never registered
	NewerToken int64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("registration %d of instance %q is superseded by %d", e.FencingToken, e.Name, e.NewerToken)
}

// RegistrationExpiredError reports a registration that was not confirmed for longer than its
// lease. Whether a newer one exists is unknown until the next renewal.
type RegistrationExpiredError struct {
	Name string
	ExpiredFor   time.Duration
}

func (e *RegistrationExpiredError) Error() string {
	return fmt.Sprintf("registration of instance %q expired %v ago", e.Name, e.ExpiredFor)
}

// NotRegisteredError reports a process that has no registration, because it has
// not registered yet or has deregistered.
type NotRegisteredError struct{ Name string }

func (e *NotRegisteredError) Error() string {
	return fmt.Sprintf("instance %q is not registered", e.Name)
}

// ContentionError reports a registration that lost against others of the same
// name too many times.
type ContentionError struct{ Name string }

func (e *ContentionError) Error() string {
	return fmt.Sprintf("other processes keep registering instance %q", e.Name)
}
