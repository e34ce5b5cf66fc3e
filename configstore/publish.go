package configstore

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Attempts of one publish. A lost reply is followed by a read and, if the change
// is not there, by the same conditional transaction again.
const (
	maxWriteAttempts  = 3
	retryDelay = 100 * time.Millisecond
)

// Publish makes doc the next generation after baseGeneration, which must be the
// current one. It returns *config.ValidationError, *PublishConflictError,
// *tablestore.UnavailableError (nothing was published) or *PublishUnknownError.
func (s *Store) Publish(ctx context.Context, doc *config.Document, baseGeneration uint64, author string) (Published, error) {
	if err := config.Validate(doc); err != nil {
		return Published{}, err
	}
	current, version, err := s.readCurrentRow(ctx)
	if err != nil {
		return Published{}, err
	}
	if current.Generation != baseGeneration {
		return Published{}, s.conflictError(ctx, baseGeneration)
	}
	manifest, err := s.uploadSections(ctx, doc, current)
	if err != nil {
		return Published{}, err
	}
	next := Published{
		Generation:  baseGeneration + 1,
		ChangeID:    s.newChangeID(),
		Author:      author,
		Manifest:    manifest,
		PublishedAt: s.now().UTC(),
	}
	return s.commit(ctx, next, version)
}

// uploadSections puts the sections and the manifest that current does not have, and
// returns the hash of the manifest.
func (s *Store) uploadSections(ctx context.Context, doc *config.Document, current Published) (config.Hash, error) {
	manifest, parts, err := config.Split(doc)
	if err != nil {
		return config.Hash{}, err
	}
	encoded, err := manifest.Encode()
	if err != nil {
		return config.Hash{}, err
	}
	h := config.HashOf(encoded)
	for _, present := range s.publishedSectionHashes(ctx, current) {
		delete(parts, present)
	}
	parts[h] = encoded
	return h, s.putObjects(ctx, parts)
}

// publishedSectionHashes returns the sections of a published generation. All of them are in
// the object store, because they were put before the generation was published.
// When its manifest cannot be read, it returns none and all sections are put.
func (s *Store) publishedSectionHashes(ctx context.Context, p Published) []config.Hash {
	if p.Generation == 0 {
		return nil
	}
	m, err := newSectionSet().fetchManifest(ctx, p.Manifest, fetchFromObjects(s.objects))
	if err != nil {
		return nil
	}
	return m.Sections()
}

func (s *Store) putObjects(ctx context.Context, parts map[config.Hash][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentTransfers)
	for h, data := range parts {
		group.Go(func() error { return s.putObject(ctx, objectName(h), data) })
	}
	return group.Wait()
}

// putObject repeats a put whose reply was lost. The name depends on the content, so a
// repeated put changes nothing.
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

// commit writes the generation, on the condition that config/current still has
// the version.
func (s *Store) commit(ctx context.Context, next Published, version int64) (Published, error) {
	value, err := next.encode()
	if err != nil {
		return Published{}, err
	}
	writes := []tablestore.Write{
		{Key: currentRowKey, Value: value, IfVersion: version},
		{Key: historyRowKey(next.Generation), Value: value, IfVersion: 0},
	}
	var unknown error
	for range maxWriteAttempts {
		_, err := s.table.Transact(ctx, next.ChangeID, writes)
		if err == nil {
			return next, nil
		}
		if tablestore.IsOutcomeUnknown(err) {
			unknown = err
		} else if !tablestore.IsConflict(err) && unknown == nil {
			return Published{}, err
		}
		owner := s.readGenerationOwner(ctx, next)
		if owner == ownerSelf {
			return next, nil
		}
		if owner == ownerOther || tablestore.IsConflict(err) && unknown == nil {
			return Published{}, s.conflictError(ctx, next.Generation-1)
		}
		_ = sleep.For(ctx, retryDelay)
	}
	return Published{}, &PublishUnknownError{Attempted: next, Err: unknown}
}

// generationOwner says which change has a generation.
type generationOwner int

const (
	ownerUnknown generationOwner = iota // the history could not be read
	ownerNone
	ownerSelf
	ownerOther
)

// readGenerationOwner returns the owner of the generation of next.
func (s *Store) readGenerationOwner(ctx context.Context, next Published) generationOwner {
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

// conflictError describes the change that is in the way of one based on base.
func (s *Store) conflictError(ctx context.Context, base uint64) error {
	e := &PublishConflictError{Base: base}
	if e.Other, e.LoadErr = s.Current(ctx); e.LoadErr != nil {
		return e
	}
	var before *config.Document
	if base > 0 {
		before, _, e.LoadErr = s.Load(ctx, base)
	}
	if e.LoadErr != nil || e.Other.Generation == 0 {
		return e
	}
	after, err := s.loadDocument(ctx, e.Other.Manifest)
	if err != nil {
		e.LoadErr = err
		return e
	}
	e.Changes = config.Diff(before, after)
	return e
}
