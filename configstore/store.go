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

// maxConcurrentTransfers bounds the object transfers of one publish or load.
const maxConcurrentTransfers = 8

// Store publishes and loads generations on the platform. It is safe for
// concurrent use.
type Store struct {
	table       tablestore.Table
	objects     tablestore.Objects
	newChangeID func() string
	now         func() time.Time
}

// NewStore returns a store on the platform.
func NewStore(table tablestore.Table, objects tablestore.Objects) *Store {
	return &Store{table: table, objects: objects, newChangeID: newChangeID, now: time.Now}
}

// newChangeID returns 128 random bits.
func newChangeID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}

// Current returns the newest generation, which has number 0 before the first
// publish. It returns *tablestore.UnavailableError or *RowError.
func (s *Store) Current(ctx context.Context) (Published, error) {
	current, _, err := s.readCurrentRow(ctx)
	return current, err
}

// readCurrentRow also returns the version of the row.
func (s *Store) readCurrentRow(ctx context.Context) (Published, int64, error) {
	row, err := s.table.Read(ctx, currentRowKey)
	if err != nil {
		return Published{}, 0, err
	}
	current, err := decodeGenerationRow(row)
	return current, row.Version, err
}

// History returns the newest limit generations, newest first. It returns
// *tablestore.UnavailableError or *RowError.
func (s *Store) History(ctx context.Context, limit int) ([]Published, error) {
	current, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	var after string
	if current.Generation > uint64(limit) {
		after = historyRowKey(current.Generation - uint64(limit))
	}
	rows, err := s.table.Scan(ctx, historyRowPrefix, limit, after)
	if err != nil {
		return nil, err
	}
	list := make([]Published, len(rows))
	for i, row := range rows {
		if list[i], err = decodeGenerationRow(row); err != nil {
			return nil, err
		}
	}
	slices.Reverse(list)
	return list, nil
}

// Load returns a generation and its document. It returns
// *GenerationNotFoundError, *tablestore.UnavailableError, *RowError or the errors of
// config.Join.
func (s *Store) Load(ctx context.Context, generation uint64) (*config.Document, Published, error) {
	row, err := s.table.Read(ctx, historyRowKey(generation))
	if err != nil {
		return nil, Published{}, err
	}
	if row.Version == 0 {
		return nil, Published{}, &GenerationNotFoundError{Generation: generation}
	}
	p, err := decodeGenerationRow(row)
	if err != nil {
		return nil, Published{}, err
	}
	doc, err := s.loadDocument(ctx, p.Manifest)
	return doc, p, err
}

func (s *Store) loadDocument(ctx context.Context, manifest config.Hash) (*config.Document, error) {
	got := newSectionSet()
	fetch := fetchFromObjects(s.objects)
	m, err := got.fetchManifest(ctx, manifest, fetch)
	if err != nil {
		return nil, err
	}
	if err := got.fetchMissing(ctx, m.Sections(), fetch); err != nil {
		return nil, err
	}
	return config.Join(m, got.get)
}

// FetchFunc returns the manifest or section with a hash, from a peer or from the
// object store. The caller verifies the hash.
type FetchFunc func(ctx context.Context, h config.Hash) ([]byte, error)

// fetchFromObjects fetches from the object store.
func fetchFromObjects(objects tablestore.Objects) FetchFunc {
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		return objects.Get(ctx, objectName(h))
	}
}

// sectionSet holds verified manifests and sections by hash. It is safe for
// concurrent use.
type sectionSet struct {
	mu   sync.Mutex
	dataByHash map[config.Hash][]byte
}

func newSectionSet() *sectionSet { return &sectionSet{dataByHash: make(map[config.Hash][]byte)} }

// find returns the section when it is present.
func (s *sectionSet) find(h config.Hash) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.dataByHash[h]
	return data, ok
}

// get implements config.FetchFunc.
func (s *sectionSet) get(h config.Hash) ([]byte, error) {
	data, ok := s.find(h)
	if !ok {
		return nil, &NoSourceError{Hash: h}
	}
	return data, nil
}

// add keeps a verified section.
func (s *sectionSet) add(h config.Hash, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataByHash[h] = data
}

// subset returns the sections of list that are present.
func (s *sectionSet) subset(list []config.Hash) *sectionSet {
	some := newSectionSet()
	for _, h := range list {
		if data, ok := s.find(h); ok {
			some.dataByHash[h] = data
		}
	}
	return some
}

// fetchIfMissing gets the section h unless it is present, and verifies it.
func (s *sectionSet) fetchIfMissing(ctx context.Context, h config.Hash, from FetchFunc) error {
	if _, ok := s.find(h); ok {
		return nil
	}
	data, err := from(ctx, h)
	if err != nil {
		return err
	}
	if err := config.Verify(h, data); err != nil {
		return err
	}
	s.add(h, data)
	return nil
}

// fetchMissing gets the sections that are missing.
func (s *sectionSet) fetchMissing(ctx context.Context, list []config.Hash, from FetchFunc) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentTransfers)
	for _, h := range list {
		group.Go(func() error { return s.fetchIfMissing(ctx, h, from) })
	}
	return group.Wait()
}

// fetchManifest gets and decodes a manifest.
func (s *sectionSet) fetchManifest(ctx context.Context, h config.Hash, from FetchFunc) (config.Manifest, error) {
	if err := s.fetchIfMissing(ctx, h, from); err != nil {
		return config.Manifest{}, err
	}
	data, _ := s.find(h)
	return config.ParseManifest(data, h)
}
