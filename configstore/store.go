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

// maxConcurrentTransfers is the maximum number of concurrent object transfers of one
// publish or load.
const maxConcurrentTransfers = 8

// Store publishes and loads generations on the platform. It is safe for
// concurrent use.
type Store struct {
	table       tablestore.Table
	objects     tablestore.ObjectStore
	newChangeID func() string
	now         func() time.Time
}

// NewStore returns a store that uses the platform's table and object store.
func NewStore(table tablestore.Table, objects tablestore.ObjectStore) *Store {
	return &Store{table: table, objects: objects, newChangeID: newChangeID, now: time.Now}
}

// newChangeID returns 128 random bits in hexadecimal.
func newChangeID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}

// Current returns the newest generation, which is generation 0 before the first
// publish. It returns *tablestore.UnavailableError or *RowDecodeError.
func (s *Store) Current(ctx context.Context) (GenerationRecord, error) {
	current, _, err := s.readCurrentRow(ctx)
	return current, err
}

// readCurrentRow returns the newest generation and the version of the row that
// describes it.
func (s *Store) readCurrentRow(ctx context.Context) (GenerationRecord, int64, error) {
	row, err := s.table.Read(ctx, currentRowKey)
	if err != nil {
		return GenerationRecord{}, 0, err
	}
	current, err := decodeGenerationRow(row)
	return current, row.Version, err
}

// History returns up to limit generations, newest first. It returns
// *tablestore.UnavailableError or *RowDecodeError.
func (s *Store) History(ctx context.Context, limit int) ([]GenerationRecord, error) {
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
	generations := make([]GenerationRecord, len(rows))
	for i, row := range rows {
		if generations[i], err = decodeGenerationRow(row); err != nil {
			return nil, err
		}
	}
	slices.Reverse(generations)
	return generations, nil
}

// Load returns a generation and its document. It returns
// *GenerationNotFoundError, *tablestore.UnavailableError, *RowDecodeError or the errors of
// config.Join.
func (s *Store) Load(ctx context.Context, generation uint64) (*config.Document, GenerationRecord, error) {
	row, err := s.table.Read(ctx, historyRowKey(generation))
	if err != nil {
		return nil, GenerationRecord{}, err
	}
	if row.Version == 0 {
		return nil, GenerationRecord{}, &GenerationNotFoundError{Generation: generation}
	}
	p, err := decodeGenerationRow(row)
	if err != nil {
		return nil, GenerationRecord{}, err
	}
	doc, err := s.loadDocument(ctx, p.ManifestHash)
	return doc, p, err
}

// loadDocument returns the document whose manifest has the hash.
func (s *Store) loadDocument(ctx context.Context, manifestHash config.Hash) (*config.Document, error) {
	sections := newSectionSet()
	fetch := fetchFromObjects(s.objects)
	m, err := sections.fetchManifest(ctx, manifestHash, fetch)
	if err != nil {
		return nil, err
	}
	if err := sections.fetchMissing(ctx, m.SectionHashes(), fetch); err != nil {
		return nil, err
	}
	return config.Join(m, sections.get)
}

// FetchFunc returns the manifest or section with the hash from a peer or from the
// object store. The caller verifies the hash.
type FetchFunc func(ctx context.Context, h config.Hash) ([]byte, error)

// fetchFromObjects returns a function that fetches from the object store.
func fetchFromObjects(objects tablestore.ObjectStore) FetchFunc {
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		return objects.Get(ctx, objectName(h))
	}
}

// sectionSet contains verified manifests and sections. It is safe for concurrent use.
type sectionSet struct {
	mu         sync.Mutex
	dataByHash map[config.Hash][]byte
}

func newSectionSet() *sectionSet { return &sectionSet{dataByHash: make(map[config.Hash][]byte)} }

// find returns the manifest or section with the hash, and whether it is present.
func (s *sectionSet) find(h config.Hash) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.dataByHash[h]
	return data, ok
}

// get implements config.FetchFunc. It returns *SectionNotFoundError when the section is not
// present.
func (s *sectionSet) get(h config.Hash) ([]byte, error) {
	data, ok := s.find(h)
	if !ok {
		return nil, &SectionNotFoundError{Hash: h}
	}
	return data, nil
}

// add adds a verified manifest or section.
func (s *sectionSet) add(h config.Hash, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataByHash[h] = data
}

// subset returns the set of those manifests and sections with the hashes that are
// present.
func (s *sectionSet) subset(hashes []config.Hash) *sectionSet {
	found := newSectionSet()
	for _, h := range hashes {
		if data, ok := s.find(h); ok {
			found.dataByHash[h] = data
		}
	}
	return found
}

// fetchIfMissing fetches, verifies and adds the manifest or section with the hash unless
// it is present.
func (s *sectionSet) fetchIfMissing(ctx context.Context, h config.Hash, fetch FetchFunc) error {
	if _, ok := s.find(h); ok {
		return nil
	}
	data, err := fetch(ctx, h)
	if err != nil {
		return err
	}
	if err := config.VerifyHash(h, data); err != nil {
		return err
	}
	s.add(h, data)
	return nil
}

// fetchMissing fetches the sections that are not present, concurrently.
func (s *sectionSet) fetchMissing(ctx context.Context, hashes []config.Hash, fetch FetchFunc) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentTransfers)
	for _, h := range hashes {
		group.Go(func() error { return s.fetchIfMissing(ctx, h, fetch) })
	}
	return group.Wait()
}

// fetchManifest returns the manifest with the hash. It fetches it unless it is present.
func (s *sectionSet) fetchManifest(ctx context.Context, h config.Hash, fetch FetchFunc) (config.Manifest, error) {
	if err := s.fetchIfMissing(ctx, h, fetch); err != nil {
		return config.Manifest{}, err
	}
	data, _ := s.find(h)
	return config.ParseManifest(data, h)
}
