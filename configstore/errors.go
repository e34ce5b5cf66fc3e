package configstore

import (
	"fmt"

	"github.com/jacinthrack/jacinthrack/config"
)

// PublishConflictError reports that the document was not published, because the
// configuration has changed since the generation it was based on.
type PublishConflictError struct {
	BaseGeneration  uint64    // generation that the document was based on
	Current GenerationRecord // generation in force
	// Changes lead from the base generation to the one in force. They are empty
	// when LoadErr is set.
	Changes []config.Change
	LoadErr error // why the other change or the changes could not be read
}

func (e *PublishConflictError) Error() string {
	if e.Current.ChangeID == "" {
		return fmt.Sprintf("not published: generation %d is no longer current, and the other change could not be read: %v", e.BaseGeneration, e.LoadErr)
	}
	return fmt.Sprintf("not published: based on generation %d, but %s published generation %d (change %s, %d differences)",
		e.BaseGeneration, e.Current.Author, e.Current.Generation, e.Current.ChangeID, len(e.Changes))
}

// Unwrap returns the reason why the other change could not be read.
func (e *PublishConflictError) Unwrap() error { return e.LoadErr }

// PublishOutcomeUnknownError reports that a generation may have been published. The
// history shows later whether it contains the change id.
type PublishOutcomeUnknownError struct {
	Attempted GenerationRecord
	Err       error
}

func (e *PublishOutcomeUnknownError) Error() string {
	return fmt.Sprintf("generation %d (change %s) may have been published: %v", e.Attempted.Generation, e.Attempted.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *PublishOutcomeUnknownError) Unwrap() error { return e.Err }

// GenerationNotFoundError reports a generation that was never published.
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

// StaleGenerationError reports a generation that is older than the one in force. It was
// ignored. Lagging peers and stale reads cause it in normal operation.
type StaleGenerationError struct {
	Source  string
	CandidateGeneration uint64
	CurrentGeneration uint64
}

func (e *StaleGenerationError) Error() string {
	return fmt.Sprintf("generation %d from %s is older than generation %d in force", e.CandidateGeneration, e.Source, e.CurrentGeneration)
}

// ManifestConflictError reports two different contents for one generation. The
// generation in force was kept.
type ManifestConflictError struct {
	Source     string
	Generation uint64
	CurrentManifest    config.Hash
	CandidateManifest    config.Hash
}

func (e *ManifestConflictError) Error() string {
	return fmt.Sprintf("generation %d from %s has manifest %s, but manifest %s is in force", e.Generation, e.Source, e.CandidateManifest, e.CurrentManifest)
}

// ApplyError reports a newer generation that could not be put in force.
type ApplyError struct {
	Source     string
	Generation uint64
	Err        error
}

func (e *ApplyError) Error() string {
	return fmt.Sprintf("generation %d from %s was not put in force: %v", e.Generation, e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *ApplyError) Unwrap() error { return e.Err }

// SectionNotFoundError reports a section that no source had.
type SectionNotFoundError struct{ Hash config.Hash }

func (e *SectionNotFoundError) Error() string { return fmt.Sprintf("no source for section %s", e.Hash) }
