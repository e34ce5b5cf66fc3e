package configstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// transfersAtOnce bounds the object transfers of one publish or load.
const transfersAtOnce = 8

// Store publishes and loads generations on the platform. It is safe for
// concurrent use.
type Store struct {
	table       tablestore.Table
	objects     tablestore.ObjectStore
	newChangeID func() string
	now         func() time.Time
}

// NewStore returns a store on the platform.
func NewStore(table tablestore.Table, objects tablestore.ObjectStore) *Store {
	return &Store{table: table, objects: objects, newChangeID: newChangeID, now: time.Now}
}

// newChangeID returns 128 random bits.
func newChangeID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}

// Current returns the newest generation, which has number 0 before the first
// publish. It returns *tablestore.UnavailableError or *RowDecodeError.
func (s *Store) Current(ctx context.Context) (GenerationRecord, error) {
	current, _, err := s.current(ctx)
	return current, err
}

// current also returns the version of the row.
func (s *Store) current(ctx context.Context) (GenerationRecord, int64, error) {
	row, err := s.table.Read(ctx, currentKey)
	if err != nil {
		return GenerationRecord{}, 0, err
	}
	current, err := decodeRow(row)
	return current, row.Version, err
}

// History returns the newest limit generations, newest first. It returns
// *tablestore.UnavailableError or *RowDecodeError.
func (s *Store) History(ctx context.Context, limit int) ([]GenerationRecord, error) {
	current, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	var after string
	if current.Generation > uint64(limit) {
		after = historyKey(current.Generation - uint64(limit))
	}
	rows, err := s.table.Scan(ctx, historyPrefix, limit, after)
	if err != nil {
		return nil, err
	}
	list := make([]GenerationRecord, len(rows))
	for i, row := range rows {
		if list[i], err = decodeRow(row); err != nil {
			return nil, err
		}
	}
	slices.Reverse(list)
	return list, nil
}

// Load returns a generation and its document. It returns
// *GenerationNotFoundError, *tablestore.UnavailableError, *RowDecodeError or the errors of
// config.Join.
func (s *Store) Load(ctx context.Context, generation uint64) (*config.Document, GenerationRecord, error) {
	row, err := s.table.Read(ctx, historyKey(generation))
	if err != nil {
		return nil, GenerationRecord{}, err
	}
	if row.Version == 0 {
		return nil, GenerationRecord{}, &GenerationNotFoundError{Generation: generation}
	}
	p, err := decodeRow(row)
	if err != nil {
		return nil, GenerationRecord{}, err
	}
	doc, err := s.loadDocument(ctx, p.ManifestHash)
	return doc, p, err
}

func (s *Store) loadDocument(ctx context.Context, manifest config.Hash) (*config.Document, error) {
	got := newSections()
	fetch := objectsFetch(s.objects)
	m, err := got.manifest(ctx, manifest, fetch)
	if err != nil {
		return nil, err
	}
	if err := got.fetchAll(ctx, m.SectionHashes(), fetch); err != nil {
		return nil, err
	}
	return config.Join(m, got.get)
}

// FetchFunc returns the manifest or section with a hash, from a peer or from the
// object store. The caller verifies the hash.
type FetchFunc func(ctx context.Context, h config.Hash) ([]byte, error)

// objectsFetch fetches from the object store.
func objectsFetch(objects tablestore.ObjectStore) FetchFunc {
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		return objects.Get(ctx, objectName(h))
	}
}

// sections holds verified manifests and sections by hash. It is safe for
// concurrent use.
type sections struct {
	mu   sync.Mutex
	data map[config.Hash][]byte
}

func newSections() *sections { return &sections{data: make(map[config.Hash][]byte)} }

// find returns the section when it is present.
func (s *sections) find(h config.Hash) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.data[h]
	return data, ok
}

// get implements config.FetchFunc.
func (s *sections) get(h config.Hash) ([]byte, error) {
	data, ok := s.find(h)
	if !ok {
		return nil, &SectionNotFoundError{Hash: h}
	}
	return data, nil
}

// add keeps a verified section.
func (s *sections) add(h config.Hash, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data[h] = data
}

// subset returns the sections of list that are present.
func (s *sections) subset(list []config.Hash) *sections {
	some := newSections()
	for _, h := range list {
		if data, ok := s.find(h); ok {
			some.data[h] = data
		}
	}
	return some
}

// fetch gets the section h unless it is present, and verifies it.
func (s *sections) fetch(ctx context.Context, h config.Hash, from FetchFunc) error {
	if _, ok := s.find(h); ok {
		return nil
	}
	data, err := from(ctx, h)
	if err != nil {
		return err
	}
	if err := config.VerifyHash(h, data); err != nil {
		return err
	}
	s.add(h, data)
	return nil
}

// fetchAll gets the sections that are missing.
func (s *sections) fetchAll(ctx context.Context, list []config.Hash, from FetchFunc) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(transfersAtOnce)
	for _, h := range list {
		group.Go(func() error { return s.fetch(ctx, h, from) })
	}
	return group.Wait()
}

// manifest gets and decodes a manifest.
func (s *sections) manifest(ctx context.Context, h config.Hash, from FetchFunc) (config.Manifest, error) {
	if err := s.fetch(ctx, h, from); err != nil {
		return config.Manifest{}, err
	}
	data, _ := s.find(h)
	return config.ParseManifest(data, h)
}
