package configstore

import (
	"fmt"

	"github.com/jacinthrack/jacinthrack/config"
)

// PublishConflictError reports that a document was not published because the
// generation it was based on is no longer the current one.
type PublishConflictError struct {
	BaseGeneration uint64           // generation that the document was based on
	Current        GenerationRecord // current generation on the platform
	// Changes are the differences between the base generation and the current
	// one. They are empty when LoadErr is set.
	Changes []config.Change
	LoadErr error // set when the current generation or the changes could not be read
}

func (e *PublishConflictError) Error() string {
	if e.Current.ChangeID == "" {
		return fmt.Sprintf("not published: generation %d is no longer current, and the other change could not be read: %v", e.BaseGeneration, e.LoadErr)
	}
	return fmt.Sprintf("not published: based on generation %d, but %s published generation %d (change %s, %d differences)",
		e.BaseGeneration, e.Current.Author, e.Current.Generation, e.Current.ChangeID, len(e.Changes))
}

// Unwrap returns the error of reading the current generation or the changes, if any.
func (e *PublishConflictError) Unwrap() error { return e.LoadErr }

// PublishOutcomeUnknownError reports that it is unknown whether a generation was published.
// If it was, the history contains its change ID.
type PublishOutcomeUnknownError struct {
	Attempted GenerationRecord // the generation that may have been published
	Err       error
}

func (e *PublishOutcomeUnknownError) Error() string {
	return fmt.Sprintf("generation %d (change %s) may have been published: %v", e.Attempted.Generation, e.Attempted.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *PublishOutcomeUnknownError) Unwrap() error { return e.Err }

// GenerationNotFoundError reports a generation that has not been published.
type GenerationNotFoundError struct{ Generation uint64 }

func (e *GenerationNotFoundError) Error() string {
	return fmt.Sprintf("generation %d does not exist", e.Generation)
}

// RowDecodeError reports a row that cannot be decoded.
type RowDecodeError struct {
	Key string
	Err error
}

func (e *RowDecodeError) Error() string { return fmt.Sprintf("row %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowDecodeError) Unwrap() error { return e.Err }

// StaleGenerationError reports a candidate that was ignored because its generation is older than
// the one in force. Peers that lag behind and stale reads of the platform cause it in
// normal operation.
type StaleGenerationError struct {
	Source              string // of the candidate
	CandidateGeneration uint64 // generation of the candidate
	CurrentGeneration   uint64 // generation in force
}

func (e *StaleGenerationError) Error() string {
	return fmt.Sprintf("configuration generation %d from %s is older than generation %d in force", e.CandidateGeneration, e.Source, e.CurrentGeneration)
}

// ManifestConflictError reports a candidate with the generation in force but another
// manifest. The configuration in force was kept.
type ManifestConflictError struct {
	Source            string // of the candidate
	Generation        uint64
	CurrentManifest   config.Hash
	CandidateManifest config.Hash
}

func (e *ManifestConflictError) Error() string {
	return fmt.Sprintf("configuration generation %d from %s has manifest %s, but manifest %s is in force", e.Generation, e.Source, e.CandidateManifest, e.CurrentManifest)
}

// ApplyError reports a newer generation that could not be applied.
type ApplyError struct {
	Source     string // of the candidate
	Generation uint64
	Err        error
}

func (e *ApplyError) Error() string {
	return fmt.Sprintf("apply configuration generation %d from %s: %v", e.Generation, e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *ApplyError) Unwrap() error { return e.Err }

// SectionNotFoundError reports a manifest or section that is not available.
type SectionNotFoundError struct{ Hash config.Hash }

func (e *SectionNotFoundError) Error() string { return fmt.Sprintf("no source for section %s", e.Hash) }
