package configstore

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Retries of writes whose outcome is unknown because the reply was lost. After a lost
// reply to a transaction, the history row is read; if the change is not there, the same
// conditional transaction is retried.
const (
	maxWriteAttempts = 3                      // of one transaction or object
	retryDelay       = 100 * time.Millisecond // between two attempts
)

// Publish publishes doc as the generation after baseGeneration, which must be the
// current one. It returns *config.ValidationError, *PublishConflictError,
// *tablestore.UnavailableError (nothing was published) or *PublishOutcomeUnknownError.
func (s *Store) Publish(ctx context.Context, doc *config.Document, baseGeneration uint64, author string) (GenerationRecord, error) {
	if err := config.Validate(doc); err != nil {
		return GenerationRecord{}, err
	}
	current, version, err := s.readCurrentRow(ctx)
	if err != nil {
		return GenerationRecord{}, err
	}
	if current.Generation != baseGeneration {
		return GenerationRecord{}, s.conflictError(ctx, baseGeneration)
	}
	manifest, err := s.uploadSections(ctx, doc, current)
	if err != nil {
		return GenerationRecord{}, err
	}
	next := GenerationRecord{
		Generation:   baseGeneration + 1,
		ChangeID:     s.newChangeID(),
		Author:       author,
		ManifestHash: manifest,
		PublishedAt:  s.now().UTC(),
	}
	return s.commit(ctx, next, version)
}

// uploadSections stores the manifest and the sections of doc, except the sections that
// are part of the current generation, and returns the hash of the manifest.
func (s *Store) uploadSections(ctx context.Context, doc *config.Document, current GenerationRecord) (config.Hash, error) {
	manifest, contentByHash, err := config.Split(doc)
	if err != nil {
		return config.Hash{}, err
	}
	encoded, err := manifest.Encode()
	if err != nil {
		return config.Hash{}, err
	}
	h := config.HashOf(encoded)
	for _, stored := range s.publishedSectionHashes(ctx, current) {
		delete(contentByHash, stored)
	}
	contentByHash[h] = encoded
	return h, s.putObjects(ctx, contentByHash)
}

// publishedSectionHashes returns the hashes of the sections of a published generation.
// All of them are in the object store, because they were stored before the generation
// was published. When its manifest cannot be read, it returns none, so that all sections
// are stored again.
func (s *Store) publishedSectionHashes(ctx context.Context, p GenerationRecord) []config.Hash {
	if p.Generation == 0 {
		return nil
	}
	m, err := newSectionSet().fetchManifest(ctx, p.ManifestHash, fetchFromObjects(s.objects))
	if err != nil {
		return nil
	}
	return m.SectionHashes()
}

// putObjects stores manifests and sections concurrently.
func (s *Store) putObjects(ctx context.Context, contentByHash map[config.Hash][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentTransfers)
	for h, data := range contentByHash {
		group.Go(func() error { return s.putObject(ctx, objectName(h), data) })
	}
	return group.Wait()
}

// putObject stores an object and retries when the outcome is unknown. Retries are
// idempotent, since the name is derived from the content.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	var err error
	for range maxWriteAttempts {
		err = s.objects.Put(ctx, name, data)
		if !tablestore.IsOutcomeUnknown(err) {
			return err
		}
		_ = sleep.For(ctx, retryDelay)
	}
	return err
}

// commit writes the rows of the generation next, on the condition that the row
// config/current still has the version currentVersion. When the outcome of a
// transaction is unknown, it reads the history row and retries.
func (s *Store) commit(ctx context.Context, next GenerationRecord, currentVersion int64) (GenerationRecord, error) {
	value, err := next.encode()
	if err != nil {
		return GenerationRecord{}, err
	}
	writes := []tablestore.Write{
		{Key: currentRowKey, Value: value, IfVersion: currentVersion},
		{Key: historyRowKey(next.Generation), Value: value, IfVersion: 0},
	}
	var unknownErr error // of the last attempt whose outcome is unknown
	for range maxWriteAttempts {
		_, err := s.table.Transact(ctx, next.ChangeID, writes)
		if err == nil {
			return next, nil
		}
		if tablestore.IsOutcomeUnknown(err) {
			unknownErr = err
		} else if !tablestore.IsConflict(err) && unknownErr == nil {
			return GenerationRecord{}, err
		}
		owner := s.readGenerationOwner(ctx, next)
		if owner == ownerSelf {
			return next, nil
		}
		if owner == ownerOther || tablestore.IsConflict(err) && unknownErr == nil {
			return GenerationRecord{}, s.conflictError(ctx, next.Generation-1)
		}
		_ = sleep.For(ctx, retryDelay)
	}
	return GenerationRecord{}, &PublishOutcomeUnknownError{Attempted: next, Err: unknownErr}
}

// generationOwner tells which change created a generation.
type generationOwner int

const (
	ownerUnknown generationOwner = iota // the history could not be read
	ownerNone                           // the generation does not exist
	ownerSelf                           // the change that is being published
	ownerOther                          // another change
)

// readGenerationOwner reads the history row of the generation of next and tells which
// change created it.
func (s *Store) readGenerationOwner(ctx context.Context, next GenerationRecord) generationOwner {
	row, err := s.table.Read(ctx, historyRowKey(next.Generation))
	switch {
	case err != nil:
		return ownerUnknown
	case row.Version == 0:
		return ownerNone
	case row.ChangeID == next.ChangeID:
		return ownerSelf
	default:
		return ownerOther
	}
}

// conflictError returns a *PublishConflictError for a change based on the generation
// base, with the current generation and the differences between the two.
func (s *Store) conflictError(ctx context.Context, base uint64) error {
	e := &PublishConflictError{BaseGeneration: base}
	if e.Current, e.LoadErr = s.Current(ctx); e.LoadErr != nil {
		return e
	}
	var before *config.Document
	if base > 0 {
		before, _, e.LoadErr = s.Load(ctx, base)
	}
	if e.LoadErr != nil || e.Current.Generation == 0 {
		return e
	}
	after, err := s.loadDocument(ctx, e.Current.ManifestHash)
	if err != nil {
		e.LoadErr = err
		return e
	}
	e.Changes = config.Diff(before, after)
	return e
}
