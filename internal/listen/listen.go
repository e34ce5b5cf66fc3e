// Package listen defines the error that programs return when they cannot open a listener.
package listen

import "fmt"

// Error reports an address on which a listener could not be opened.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
