// Package memory implements the platform interfaces in memory, with injectable faults. The
// platform stand-in and the tests use it.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Limits of one call. They are those of a typical hosted table service.
const (
	MaxWritesPerTransaction = 100
	MaxScanRows             = 1000
	MaxValueBytes           = 400 << 10
)

// Store is an in-memory platform. Create it with New; the zero value is not usable.
type Store struct {
	mu   sync.Mutex
	rows map[string]tablestore.Row
	// maxDeletedVersion is the highest version that any deleted row had. The version of an
	// inserted row is higher, so that no key ever reuses a version.
	maxDeletedVersion int64
	objects           map[string][]byte
	instances         []tablestore.Instance
	asOf              time.Time
	faultFunc         FaultFunc
	counts            Counts
}

// Counts holds the numbers of calls that the store has served, with reads and writes of
// the table counted in rows. Calls that an injected fault prevented are not counted.
type Counts struct {
	RowReads     int // rows returned by Read, absent ones included, and by Scan
	Transactions int // conflicting ones included
	RowWrites    int // rows written or deleted by transactions
	ObjectGets   int
	ObjectPuts   int
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		rows:    make(map[string]tablestore.Row),
		objects: make(map[string][]byte),
	}
}

// SetFault makes f decide the fault of each call. Nil means no faults.
func (s *Store) SetFault(f FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFunc = f
}

// Counts returns the counts since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Read implements tablestore.Table.
func (s *Store) Read(ctx context.Context, key string) (tablestore.Row, error) {
	var row tablestore.Row
	err := s.callWithFault(ctx, Op{Kind: OpRead, Key: key}, func() error {
		s.counts.RowReads++
		row = copyRow(s.rows[key])
		row.Key = key
		return nil
	})
	return row, err
}

// copyRow returns a copy of row that does not share its value.
func copyRow(row tablestore.Row) tablestore.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

// Scan implements tablestore.Table.
func (s *Store) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if limit < 1 || limit > MaxScanRows {
		return nil, &tablestore.LimitError{Limit: "scan rows", Max: MaxScanRows, Got: limit}
	}
	var found []tablestore.Row
	err := s.callWithFault(ctx, Op{Kind: OpScan, Key: prefix}, func() error {
		found = s.scanLocked(prefix, limit, after)
		s.counts.RowReads += len(found)
		return nil
	})
	return found, err
}

func (s *Store) scanLocked(prefix string, limit int, after string) []tablestore.Row {
	var keys []string
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]tablestore.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, copyRow(s.rows[key]))
	}
	return rows
}

// Transact implements tablestore.Table.
func (s *Store) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	if err := checkLimits(writes); err != nil {
		return tablestore.TransactResult{}, err
	}
	var result tablestore.TransactResult
	op := Op{Kind: OpTransact, Key: firstKey(writes), ChangeID: changeID}
	err := s.callWithFault(ctx, op, func() error {
		var err error
		result, err = s.transactLocked(changeID, writes)
		return err
	})
	return result, err
}

// checkLimits returns *tablestore.LimitError if the writes of a transaction exceed a limit.
func checkLimits(writes []tablestore.Write) error {
	if len(writes) > MaxWritesPerTransaction {
		return &tablestore.LimitError{Limit: "writes in a transaction", Max: MaxWritesPerTransaction, Got: len(writes)}
	}
	writesPerRow := make(map[string]int, len(writes))
	for _, w := range writes {
		if len(w.Value) > MaxValueBytes {
			return &tablestore.LimitError{Limit: "value bytes of row " + w.Key, Max: MaxValueBytes, Got: len(w.Value)}
		}
		writesPerRow[w.Key]++
		if writesPerRow[w.Key] > 1 {
			return &tablestore.LimitError{Limit: "writes of row " + w.Key, Max: 1, Got: writesPerRow[w.Key]}
		}
	}
	return nil
}

func firstKey(writes []tablestore.Write) string {
	if len(writes) == 0 {
		return ""
	}
	return writes[0].Key
}

func (s *Store) transactLocked(changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	s.counts.Transactions++
	if conflicts := s.conflictsLocked(writes); len(conflicts) > 0 {
		return tablestore.TransactResult{}, &tablestore.ConflictError{Conflicts: conflicts}
	}
	result := tablestore.TransactResult{Versions: make([]int64, len(writes))}
	for i, w := range writes {
		s.counts.RowWrites++
		if w.Delete {
			s.maxDeletedVersion = max(s.maxDeletedVersion, s.rows[w.Key].Version)
			delete(s.rows, w.Key)
			continue
		}
		version := s.nextVersionLocked(w.Key)
		s.rows[w.Key] = tablestore.Row{
			Key:      w.Key,
			Value:    append([]byte(nil), w.Value...),
			Version:  version,
			ChangeID: changeID,
		}
		result.Versions[i] = version
	}
	return result, nil
}

func (s *Store) nextVersionLocked(key string) int64 {
	if row, ok := s.rows[key]; ok {
		return row.Version + 1
	}
	return s.maxDeletedVersion + 1
}

func (s *Store) conflictsLocked(writes []tablestore.Write) []tablestore.Conflict {
	var conflicts []tablestore.Conflict
	for _, w := range writes {
		current := s.rows[w.Key].Version
		if w.IfVersion == tablestore.AnyVersion || w.IfVersion == current {
			continue
		}
		conflicts = append(conflicts, tablestore.Conflict{Key: w.Key, WantVersion: w.IfVersion, HaveVersion: current})
	}
	return conflicts
}

// Put implements tablestore.ObjectStore.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	return s.callWithFault(ctx, Op{Kind: OpPut, Key: name}, func() error {
		s.counts.ObjectPuts++
		s.objects[name] = append([]byte(nil), data...)
		return nil
	})
}

// Get implements tablestore.ObjectStore.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := s.callWithFault(ctx, Op{Kind: OpGet, Key: name}, func() error {
		s.counts.ObjectGets++
		stored, ok := s.objects[name]
		if !ok {
			return &tablestore.NotFoundError{Name: name}
		}
		data = append([]byte(nil), stored...)
		return nil
	})
	return data, err
}

// SetInstances replaces the instance list. asOf is the time on the platform's clock that
// List returns with it.
func (s *Store) SetInstances(instances []tablestore.Instance, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append([]tablestore.Instance(nil), instances...)
	s.asOf = asOf
}

// List implements tablestore.InstanceLister.
func (s *Store) List(ctx context.Context) (tablestore.Listing, error) {
	var listing tablestore.Listing
	err := s.callWithFault(ctx, Op{Kind: OpList}, func() error {
		listing.Instances = append([]tablestore.Instance(nil), s.instances...)
		listing.AsOf = s.asOf
		return nil
	})
	return listing, err
}
