package configstore

import (
	"fmt"

	"github.com/jacinthrack/jacinthrack/config"
)

// PublishConflictError reports that the document was not published, because the
// configuration has changed since the generation it was based on.
type PublishConflictError struct {
	Base  uint64    // generation that the document was based on
	Other Published // generation in force
	// Changes lead from the base generation to the one in force. They are empty
	// when LoadErr is set.
	Changes []config.Change
	LoadErr error // why the other change or the changes could not be read
}

func (e *PublishConflictError) Error() string {
	if e.Other.ChangeID == "" {
		return fmt.Sprintf("not published: generation %d is no longer current, and the other change could not be read: %v", e.Base, e.LoadErr)
	}
	return fmt.Sprintf("not published: based on generation %d, but %s published generation %d (change %s, %d differences)",
		e.Base, e.Other.Author, e.Other.Generation, e.Other.ChangeID, len(e.Changes))
}

// Unwrap returns the reason why the other change could not be read.
func (e *PublishConflictError) Unwrap() error { return e.LoadErr }

// PublishUnknownError reports that a generation may have been published. The
// history shows later whether it contains the change id.
type PublishUnknownError struct {
	Attempted Published
	Err       error
}

func (e *PublishUnknownError) Error() string {
	return fmt.Sprintf("generation %d (change %s) may have been published: %v", e.Attempted.Generation, e.Attempted.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *PublishUnknownError) Unwrap() error { return e.Err }

// GenerationNotFoundError reports a generation that was never published.
type GenerationNotFoundError struct{ Generation uint64 }

func (e *GenerationNotFoundError) Error() string {
	return fmt.Sprintf("generation %d does not exist", e.Generation)
}

// RowError reports a row that cannot be decoded.
type RowError struct {
	Key string
	Err error
}

func (e *RowError) Error() string { return fmt.Sprintf("row %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// StaleError reports a generation that is older than the one in force. It was
// ignored. Lagging peers and stale reads cause it in normal operation.
type StaleError struct {
	Source  string
	Offered uint64
	InForce uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("generation %d from %s is older than generation %d in force", e.Offered, e.Source, e.InForce)
}

// HashConflictError reports two different contents for one generation. The
// generation in force was kept.
type HashConflictError struct {
	Source     string
	Generation uint64
	InForce    config.Hash
	Offered    config.Hash
}

func (e *HashConflictError) Error() string {
	return fmt.Sprintf("generation %d from %s has manifest %s, but manifest %s is in force", e.Generation, e.Source, e.Offered, e.InForce)
}

// RefusedError reports a newer generation that could not be put in force.
type RefusedError struct {
	Source     string
	Generation uint64
	Err        error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("generation %d from %s was not put in force: %v", e.Generation, e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// NoSourceError reports a section that no source had.
type NoSourceError struct{ Hash config.Hash }

func (e *NoSourceError) Error() string { return fmt.Sprintf("no source for section %s", e.Hash) }
