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
	maxAttempts  = 3
	attemptPause = 100 * time.Millisecond
)

// Publish makes doc the next generation after baseGeneration, which must be the
// current one. It returns *config.ValidationError, *PublishConflictError,
// *tablestore.UnavailableError (nothing was published) or *PublishOutcomeUnknownError.
func (s *Store) Publish(ctx context.Context, doc *config.Document, baseGeneration uint64, author string) (GenerationRecord, error) {
	if err := config.Validate(doc); err != nil {
		return GenerationRecord{}, err
	}
	current, version, err := s.current(ctx)
	if err != nil {
		return GenerationRecord{}, err
	}
	if current.Generation != baseGeneration {
		return GenerationRecord{}, s.conflict(ctx, baseGeneration)
	}
	manifest, err := s.upload(ctx, doc, current)
	if err != nil {
		return GenerationRecord{}, err
	}
	next := GenerationRecord{
		Generation:  baseGeneration + 1,
		ChangeID:    s.newChangeID(),
		Author:      author,
		ManifestHash:    manifest,
		PublishedAt: s.now().UTC(),
	}
	return s.commit(ctx, next, version)
}

// upload puts the sections and the manifest that current does not have, and
// returns the hash of the manifest.
func (s *Store) upload(ctx context.Context, doc *config.Document, current GenerationRecord) (config.Hash, error) {
	manifest, parts, err := config.Split(doc)
	if err != nil {
		return config.Hash{}, err
	}
	encoded, err := manifest.Encode()
	if err != nil {
		return config.Hash{}, err
	}
	h := config.HashOf(encoded)
	for _, present := range s.sectionsOf(ctx, current) {
		delete(parts, present)
	}
	parts[h] = encoded
	return h, s.putAll(ctx, parts)
}

// sectionsOf returns the sections of a published generation. All of them are in
// the object store, because they were put before the generation was published.
// When its manifest cannot be read, it returns none and all sections are put.
func (s *Store) sectionsOf(ctx context.Context, p GenerationRecord) []config.Hash {
	if p.Generation == 0 {
		return nil
	}
	m, err := newSections().manifest(ctx, p.ManifestHash, objectsFetch(s.objects))
	if err != nil {
		return nil
	}
	return m.SectionHashes()
}

func (s *Store) putAll(ctx context.Context, parts map[config.Hash][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(transfersAtOnce)
	for h, data := range parts {
		group.Go(func() error { return s.put(ctx, objectName(h), data) })
	}
	return group.Wait()
}

// put repeats a put whose reply was lost. The name depends on the content, so a
// repeated put changes nothing.
func (s *Store) put(ctx context.Context, name string, data []byte) error {
	var err error
	for range maxAttempts {
		err = s.objects.Put(ctx, name, data)
		if !tablestore.IsOutcomeUnknown(err) {
			return err
		}
		_ = sleep.For(ctx, attemptPause)
	}
	return err
}

// commit writes the generation, on the condition that config/current still has
// the version.
func (s *Store) commit(ctx context.Context, next GenerationRecord, version int64) (GenerationRecord, error) {
	value, err := next.encode()
	if err != nil {
		return GenerationRecord{}, err
	}
	writes := []tablestore.Write{
		{Key: currentKey, Value: value, IfVersion: version},
		{Key: historyKey(next.Generation), Value: value, IfVersion: 0},
	}
	var unknown error
	for range maxAttempts {
		_, err := s.table.Transact(ctx, next.ChangeID, writes)
		if err == nil {
			return next, nil
		}
		if tablestore.IsOutcomeUnknown(err) {
			unknown = err
		} else if !tablestore.IsConflict(err) && unknown == nil {
			return GenerationRecord{}, err
		}
		owner := s.readBack(ctx, next)
		if owner == ownerSelf {
			return next, nil
		}
		if owner == ownerOther || tablestore.IsConflict(err) && unknown == nil {
			return GenerationRecord{}, s.conflict(ctx, next.Generation-1)
		}
		_ = sleep.For(ctx, attemptPause)
	}
	return GenerationRecord{}, &PublishOutcomeUnknownError{Attempted: next, Err: unknown}
}

// owner says which change has a generation.
type owner int

const (
	ownerUnknown owner = iota // the history could not be read
	ownerNone
	ownerSelf
	ownerOther
)

// readBack returns the owner of the generation of next.
func (s *Store) readBack(ctx context.Context, next GenerationRecord) owner {
	row, err := s.table.Read(ctx, historyKey(next.Generation))
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

// conflict describes the change that is in the way of one based on base.
func (s *Store) conflict(ctx context.Context, base uint64) error {
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
