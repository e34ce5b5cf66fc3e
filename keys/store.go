package keys

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Table rows of this package.
const (
	generationKey   = "keys/current" // generationRow
	recordKeyPrefix = "keys/"        // Record, by key ID
	logKeyPrefix    = "keys/log/"    // KeyChange, by generation
)

const (
	// LogRetentionRows is the number of change log rows that are kept. An instance that is
	// further behind loads all records.
	LogRetentionRows = 1024
	// maxChangeAttempts bounds the attempts to write one change. Concurrent changes
	// of any keys conflict with each other.
	maxChangeAttempts = 20
	// attemptBackoff is the pause after the first attempt. It grows by the same
	// amount with each further attempt.
	attemptBackoff = 50 * time.Millisecond
	scanPageRows   = 500 // rows per Scan call
)

func recordKey(id string) string { return recordKeyPrefix + id }

// logKey pads the generation with zeros, so that the row keys sort by generation.
func logKey(generation uint64) string { return fmt.Sprintf("%s%020d", logKeyPrefix, generation) }

// KeyChange is one row of the change log, written when a key is granted or withdrawn.
type KeyChange struct {
	Generation uint64 `json:"generation"` // first key generation that contains the change
	ChangeID   string `json:"change_id"`
	Record     Record `json:"record"` // after the change
}

// generationRow is the value of the row generationKey.
type generationRow struct {
	Generation uint64 `json:"generation"`
}

// Store reads and writes keys in the platform's table. It is safe for concurrent use,
// also by several processes.
type Store struct{ table tablestore.Table }

// NewStore returns a store that uses table.
func NewStore(table tablestore.Table) *Store { return &Store{table: table} }

// Grant creates a key of a customer for routes, which may include AnyRoute. The secret
// is not stored and exists only in the returned key. With *InvalidGrantError,
// *tablestore.UnavailableError or *ContentionError nothing was granted. With
// *ChangeOutcomeUnknownError the grant may have been written.
func (s *Store) Grant(ctx context.Context, customer string, routes []string) (Key, error) {
	if customer == "" {
		return Key{}, &InvalidGrantError{Field: "customer", Requirement: "the name of a customer"}
	}
	if len(routes) == 0 {
		return Key{}, &InvalidGrantError{Field: "routes", Requirement: "at least one route, or *"}
	}
	k := NewKey()
	_, err := s.writeChange(ctx, k.ID, newChangeID(), func(Record) Record { return NewRecord(k, customer, routes) })
	if err != nil {
		return Key{}, err
	}
	return k, nil
}

// Withdraw makes a key invalid and returns a key generation that contains the
// withdrawal. The withdrawal of an unknown key is recorded, and that of a withdrawn
// key changes nothing. With *InvalidIDError, *tablestore.UnavailableError or
// *ContentionError nothing was written. With *ChangeOutcomeUnknownError the withdrawal may
// have been written.
func (s *Store) Withdraw(ctx context.Context, w Withdrawal) (uint64, error) {
	if !ValidKeyID(w.KeyID) {
		return 0, &InvalidIDError{}
	}
	return s.writeChange(ctx, w.KeyID, w.ChangeID, func(r Record) Record {
		r.KeyID = w.KeyID
		r.Withdrawn = true
		return r
	})
}

// writeChange changes one record and increments the key generation in one conditional
// transaction, and returns the new generation. It tries again after a conflict with
// another change or when the outcome of the transaction is unknown.
func (s *Store) writeChange(ctx context.Context, id, changeID string, modify func(Record) Record) (uint64, error) {
	var unknown error
	for attempt := range maxChangeAttempts {
		generation, err := s.tryWriteChange(ctx, id, changeID, modify)
		switch {
		case err == nil:
			return generation, nil
		case tablestore.IsOutcomeUnknown(err):
			unknown = err
		case !tablestore.IsConflict(err) && unknown != nil:
			return 0, &ChangeOutcomeUnknownError{KeyID: id, ChangeID: changeID, Err: unknown}
		case !tablestore.IsConflict(err):
			return 0, err
		}
		_ = sleep.For(ctx, attemptBackoff*time.Duration(attempt+1))
	}
	if unknown != nil {
		return 0, &ChangeOutcomeUnknownError{KeyID: id, ChangeID: changeID, Err: unknown}
	}
	return 0, &ContentionError{KeyID: id, Attempts: maxChangeAttempts}
}

// tryWriteChange writes the change, unless the record already contains it from an
// earlier attempt or the key has been withdrawn. It returns the key generation after
// the change.
func (s *Store) tryWriteChange(ctx context.Context, id, changeID string, modify func(Record) Record) (uint64, error) {
	record, row, err := s.readRecord(ctx, id)
	if err != nil {
		return 0, err
	}
	now, version, err := s.readGenerationRow(ctx)
	if err != nil {
		return 0, err
	}
	if row.ChangeID == changeID || record.Withdrawn {
		return now, nil
	}
	change := KeyChange{Generation: now + 1, ChangeID: changeID, Record: modify(record)}
	writes, err := changeWrites(change, row.Version, version)
	if err != nil {
		return 0, err
	}
	_, err = s.table.Transact(ctx, changeID, writes)
	return change.Generation, err
}

// changeWrites returns the writes of the transaction for a change: the record, the key
// generation, the log row, and the removal of the oldest log row.
func changeWrites(c KeyChange, recordVersion, currentVersion int64) ([]tablestore.Write, error) {
	record, err := json.Marshal(c.Record)
	if err != nil {
		return nil, fmt.Errorf("encode key %s: %w", c.Record.KeyID, err)
	}
	entry, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode key change %d: %w", c.Generation, err)
	}
	generation, err := json.Marshal(generationRow{Generation: c.Generation})
	if err != nil {
		return nil, fmt.Errorf("encode key generation %d: %w", c.Generation, err)
	}
	writes := []tablestore.Write{
		{Key: recordKey(c.Record.KeyID), Value: record, IfVersion: recordVersion},
		{Key: generationKey, Value: generation, IfVersion: currentVersion},
		{Key: logKey(c.Generation), Value: entry, IfVersion: 0},
	}
	if c.Generation > LogRetentionRows {
		writes = append(writes, tablestore.Write{Key: logKey(c.Generation - LogRetentionRows), IfVersion: tablestore.AnyVersion, Delete: true})
	}
	return writes, nil
}

func (s *Store) readRecord(ctx context.Context, id string) (Record, tablestore.Row, error) {
	row, err := s.table.Read(ctx, recordKey(id))
	if err != nil || row.Version == 0 {
		return Record{}, row, err
	}
	var r Record
	err = decodeRow(row, &r)
	return r, row, err
}

// readGenerationRow returns the key generation and the version of its row, both 0 if
// there is no row.
func (s *Store) readGenerationRow(ctx context.Context) (uint64, int64, error) {
	row, err := s.table.Read(ctx, generationKey)
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	var c generationRow
	err = decodeRow(row, &c)
	return c.Generation, row.Version, err
}

func decodeRow(row tablestore.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return &RowDecodeError{RowKey: row.Key, Err: err}
	}
	return nil
}

// Generation returns the platform's current key generation. It reads one row.
func (s *Store) Generation(ctx context.Context) (uint64, error) {
	generation, _, err := s.readGenerationRow(ctx)
	return generation, err
}

// Changes returns up to scanPageRows changes that follow a generation, oldest first. It
// reads one row per change.
func (s *Store) Changes(ctx context.Context, after uint64) ([]KeyChange, error) {
	rows, err := s.table.Scan(ctx, logKeyPrefix, scanPageRows, logKey(after))
	if err != nil {
		return nil, err
	}
	changes := make([]KeyChange, len(rows))
	for i, row := range rows {
		if err := decodeRow(row, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// List returns all records, sorted by key ID. It reads one row per key that was ever
// granted or withdrawn.
func (s *Store) List(ctx context.Context) ([]Record, error) {
	var records []Record
	after := ""
	for {
		rows, err := s.table.Scan(ctx, recordKeyPrefix+idPrefix, scanPageRows, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var r Record
			if err := decodeRow(row, &r); err != nil {
				return nil, err
			}
			records = append(records, r)
			after = row.Key
		}
		if len(rows) < scanPageRows {
			return records, nil
		}
	}
}

// LoadState returns all records and the key generation to which they belong. Records read
// while a change is written may or may not contain it. LoadState therefore reads the
// generation again after the records and applies the changes in between.
func (s *Store) LoadState(ctx context.Context) (State, error) {
	first, err := s.Generation(ctx)
	if err != nil {
		return State{}, err
	}
	records, err := s.List(ctx)
	if err != nil {
		return State{}, err
	}
	set := NewKeySet()
	set.Import(State{Generation: first, Records: records})
	return s.applyLaterChanges(ctx, set)
}

// applyLaterChanges applies the changes up to the platform's current generation to set.
func (s *Store) applyLaterChanges(ctx context.Context, set *KeySet) (State, error) {
	last, err := s.Generation(ctx)
	if err != nil {
		return State{}, err
	}
	for set.Generation() < last {
		before := set.Generation()
		changes, err := s.Changes(ctx, before)
		if err != nil {
			return State{}, err
		}
		if !set.ApplyChanges(changes) || set.Generation() == before {
			return State{}, &StaleReadError{ReadGeneration: before, KnownGeneration: last}
		}
	}
	return set.Export(), nil
}
