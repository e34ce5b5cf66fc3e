package configstore

import (
	"fmt"

	"github.com/jacinthrack/jacinthrack/config"
)

// PublishConflictError reports that a document was not published because the
// generation it was based on is no longer the current one.
type PublishConflictError struct {
	Base  uint64    // generation that the document was based on
	Other Published // current generation on the platform
	// Changes are the differences between the base generation and the current
	// one. They are empty when LoadErr is set.
	Changes []config.Change
	LoadErr error // set when the current generation or the changes could not be read
}

func (e *PublishConflictError) Error() string {
	if e.Other.ChangeID == "" {
		return fmt.Sprintf("not published: generation %d is no longer current, and the other change could not be read: %v", e.Base, e.LoadErr)
	}
	return fmt.Sprintf("not published: based on generation %d, but %s published generation %d (change %s, %d differences)",
		e.Base, e.Other.Author, e.Other.Generation, e.Other.ChangeID, len(e.Changes))
}

// Unwrap returns the error of reading the current generation or the changes, if any.
func (e *PublishConflictError) Unwrap() error { return e.LoadErr }

// PublishUnknownError reports that it is unknown whether a generation was published.
// If it was, the history contains its change ID.
type PublishUnknownError struct {
	Attempted Published // the generation that may have been published
	Err       error
}

func (e *PublishUnknownError) Error() string {
	return fmt.Sprintf("generation %d (change %s) may have been published: %v", e.Attempted.Generation, e.Attempted.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *PublishUnknownError) Unwrap() error { return e.Err }

// GenerationNotFoundError reports a generation that has not been published.
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

// StaleError reports a candidate that was ignored because its generation is older than
// the one in force. Peers that lag behind and stale reads of the platform cause it in
// normal operation.
type StaleError struct {
	Source  string // of the candidate
	Offered uint64 // generation of the candidate
	InForce uint64 // generation in force
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("configuration generation %d from %s is older than generation %d in force", e.Offered, e.Source, e.InForce)
}

// HashConflictError reports a candidate with the generation in force but another
// manifest. The configuration in force was kept.
type HashConflictError struct {
	Source     string // of the candidate
	Generation uint64
	InForce    config.Hash
	Offered    config.Hash
}

func (e *HashConflictError) Error() string {
	return fmt.Sprintf("configuration generation %d from %s has manifest %s, but manifest %s is in force", e.Generation, e.Source, e.Offered, e.InForce)
}

// RefusedError reports a newer generation that could not be applied.
type RefusedError struct {
	Source     string // of the candidate
	Generation uint64
	Err        error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("apply configuration generation %d from %s: %v", e.Generation, e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// NoSourceError reports a manifest or section that is not available.
type NoSourceError struct{ Hash config.Hash }

func (e *NoSourceError) Error() string { return fmt.Sprintf("no source for section %s", e.Hash) }
