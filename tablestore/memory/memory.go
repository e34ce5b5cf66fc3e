// Package memory implements the platform interfaces in memory, with injected
// faults. It backs the platform stand-in and the tests.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Limits of one call, those of a typical hosted table service.
const (
	MaxWritesPerTransaction = 100
	MaxScanRows             = 1000
	MaxValueBytes           = 400 << 10
)

// Store is an in-memory platform. The zero value is not usable; call New.
type Store struct {
	mu   sync.Mutex
	rows map[string]tablestore.Row
	// deleted is at least the version of every deleted row. New rows continue
	// above it, so that no key ever repeats a version.
	deleted   int64
	objects   map[string][]byte
	instances []tablestore.Instance
	asOf      time.Time
	fault     FaultFunc
	counts    Counts
}

// Counts holds the number of calls and rows that the store has served.
type Counts struct {
	RowReads        int // Read calls and rows returned by Scan
	Transactions int
	RowWrites    int
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

// SetFault installs f, which decides the fault of each call. Nil removes it.
func (s *Store) SetFault(f FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Read implements tablestore.Table.
func (s *Store) Read(ctx context.Context, key string) (tablestore.Row, error) {
	var row tablestore.Row
	err := s.call(ctx, Op{Kind: OpRead, Key: key}, func() error {
		s.counts.RowReads++
		row = copyRow(s.rows[key])
		row.Key = key
		return nil
	})
	return row, err
}

// copyRow returns the row with its own copy of the value.
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
	err := s.call(ctx, Op{Kind: OpScan, Key: prefix}, func() error {
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
	err := s.call(ctx, op, func() error {
		var err error
		result, err = s.transactLocked(changeID, writes)
		return err
	})
	return result, err
}

// checkLimits returns *tablestore.LimitError when the writes exceed a limit.
func checkLimits(writes []tablestore.Write) error {
	if len(writes) > MaxWritesPerTransaction {
		return &tablestore.LimitError{Limit: "writes in a transaction", Max: MaxWritesPerTransaction, Got: len(writes)}
	}
	perRow := make(map[string]int, len(writes))
	for _, w := range writes {
		if len(w.Value) > MaxValueBytes {
			return &tablestore.LimitError{Limit: "value bytes of row " + w.Key, Max: MaxValueBytes, Got: len(w.Value)}
		}
		perRow[w.Key]++
		if perRow[w.Key] > 1 {
			return &tablestore.LimitError{Limit: "writes of row " + w.Key, Max: 1, Got: perRow[w.Key]}
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
			s.deleted = max(s.deleted, s.rows[w.Key].Version)
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
	return s.deleted + 1
}

func (s *Store) conflictsLocked(writes []tablestore.Write) []tablestore.Conflict {
	var conflicts []tablestore.Conflict
	for _, w := range writes {
		have := s.rows[w.Key].Version
		if w.IfVersion == tablestore.AnyVersion || w.IfVersion == have {
			continue
		}
		conflicts = append(conflicts, tablestore.Conflict{Key: w.Key, WantVersion: w.IfVersion, HaveVersion: have})
	}
	return conflicts
}

// Put implements tablestore.ObjectStore.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	return s.call(ctx, Op{Kind: OpPut, Key: name}, func() error {
		s.counts.ObjectPuts++
		s.objects[name] = append([]byte(nil), data...)
		return nil
	})
}

// Get implements tablestore.ObjectStore.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := s.call(ctx, Op{Kind: OpGet, Key: name}, func() error {
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

// SetInstances replaces the instance list. asOf is the platform's clock.
func (s *Store) SetInstances(instances []tablestore.Instance, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append([]tablestore.Instance(nil), instances...)
	s.asOf = asOf
}

// List implements tablestore.InstanceLister.
func (s *Store) List(ctx context.Context) (tablestore.Listing, error) {
	var listing tablestore.Listing
	err := s.call(ctx, Op{Kind: OpList}, func() error {
		listing.Instances = append([]tablestore.Instance(nil), s.instances...)
		listing.AsOf = s.asOf
		return nil
	})
	return listing, err
}
