package identity

import (
	"fmt"
	"time"
)

// FormatError reports a registration row that this package did not write.
type FormatError struct {
	Key string
	Err error
}

func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("invalid registration row %q", e.Key)
	}
	return fmt.Sprintf("invalid registration row %q: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// SupersededError reports a newer registration of the same name. The process
// must stop acting under this name.
type SupersededError struct {
	Name  string
	Token int64 // of this process, 0 when it was never registered
	Newer int64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("registration %d of instance %q is superseded by %d", e.Token, e.Name, e.Newer)
}

// ExpiredError reports a registration that was not confirmed for longer than its
// lease. Whether a newer one exists is unknown until the next renewal.
type ExpiredError struct {
	Name string
	By   time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("registration of instance %q expired %v ago", e.Name, e.By)
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
