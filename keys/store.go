package keys

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
	"github.com/jacinthrack/jacinthrack/tablestore"
)

// Rows of the keys.
const (
	currentKey   = "keys/current"
	recordPrefix = "keys/"
	logPrefix    = "keys/log/"
)

const (
	// LogRetentionRows is the number of log rows that are kept. An instance that is
	// further behind loads all records.
	LogRetentionRows = 1024
	// maxAttempts bounds the attempts of one change. Operators that change keys
	// at the same time make each other's attempts fail.
	maxAttempts  = 20
	attemptPause = 50 * time.Millisecond
	scanRows     = 500
)

func recordKey(id string) string { return recordPrefix + id }

// logKey pads the generation so that keys sort by generation.
func logKey(generation uint64) string { return fmt.Sprintf("%s%020d", logPrefix, generation) }

// KeyChange is one row of the change log: a key after it was granted or withdrawn.
type KeyChange struct {
	Generation uint64 `json:"generation"`
	ChangeID   string `json:"change_id"`
	Record     Record `json:"record"`
}

// current is the value of keys/current.
type current struct {
	Generation uint64 `json:"generation"`
}

// Store reads and writes keys on the platform. It is safe for concurrent use, also
// by several operators.
type Store struct{ table tablestore.Table }

// NewStore returns a store on the platform.
func NewStore(table tablestore.Table) *Store { return &Store{table: table} }

// Grant creates a key of a customer for routes, of which one may be AnyRoute. The
// secret is in the returned key only. It returns *InvalidGrantError,
// *tablestore.UnavailableError and *ContentionError when nothing was granted, and
// *ChangeOutcomeUnknownError.
func (s *Store) Grant(ctx context.Context, customer string, routes []string) (Key, error) {
	if customer == "" {
		return Key{}, &InvalidGrantError{Field: "customer", Requirement: "the name of a customer"}
	}
	if len(routes) == 0 {
		return Key{}, &InvalidGrantError{Field: "routes", Requirement: "at least one route, or *"}
	}
	k := NewKey()
	_, err := s.update(ctx, k.ID, newChangeID(), func(Record) Record { return NewRecord(k, customer, routes) })
	if err != nil {
		return Key{}, err
	}
	return k, nil
}

// Withdraw makes a key invalid and returns the key generation that contains the
// withdrawal. Withdrawing an unknown key is recorded, and withdrawing a withdrawn
// key changes nothing. It returns *InvalidIDError, *tablestore.UnavailableError and
// *ContentionError when nothing was written, and *ChangeOutcomeUnknownError.
func (s *Store) Withdraw(ctx context.Context, w Withdrawal) (uint64, error) {
	if !ValidKeyID(w.KeyID) {
		return 0, &InvalidIDError{}
	}
	return s.update(ctx, w.KeyID, w.ChangeID, func(r Record) Record {
		r.KeyID = w.KeyID
		r.Withdrawn = true
		return r
	})
}

// update changes one record and raises the key generation in one transaction. It
// repeats the attempt when another change came first or a reply was lost.
func (s *Store) update(ctx context.Context, id, changeID string, modify func(Record) Record) (uint64, error) {
	var unknown error
	for attempt := range maxAttempts {
		generation, err := s.attempt(ctx, id, changeID, modify)
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
		_ = sleep.For(ctx, attemptPause*time.Duration(attempt+1))
	}
	if unknown != nil {
		return 0, &ChangeOutcomeUnknownError{KeyID: id, ChangeID: changeID, Err: unknown}
	}
	return 0, &ContentionError{KeyID: id, Attempts: maxAttempts}
}

// attempt writes the change unless the record already contains it, because of an
// earlier attempt or of another withdrawal of the key.
func (s *Store) attempt(ctx context.Context, id, changeID string, modify func(Record) Record) (uint64, error) {
	record, row, err := s.record(ctx, id)
	if err != nil {
		return 0, err
	}
	now, version, err := s.current(ctx)
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

// changeWrites returns the transaction of a change: the record, the generation,
// the log row, and the removal of the oldest log row.
func changeWrites(c KeyChange, recordVersion, currentVersion int64) ([]tablestore.Write, error) {
	record, err := json.Marshal(c.Record)
	if err != nil {
		return nil, fmt.Errorf("encode key %s: %w", c.Record.KeyID, err)
	}
	entry, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode key change %d: %w", c.Generation, err)
	}
	generation, err := json.Marshal(current{Generation: c.Generation})
	if err != nil {
		return nil, fmt.Errorf("encode key generation %d: %w", c.Generation, err)
	}
	writes := []tablestore.Write{
		{Key: recordKey(c.Record.KeyID), Value: record, IfVersion: recordVersion},
		{Key: currentKey, Value: generation, IfVersion: currentVersion},
		{Key: logKey(c.Generation), Value: entry, IfVersion: 0},
	}
	if c.Generation > LogRetentionRows {
		writes = append(writes, tablestore.Write{Key: logKey(c.Generation - LogRetentionRows), IfVersion: tablestore.AnyVersion, Delete: true})
	}
	return writes, nil
}

func (s *Store) record(ctx context.Context, id string) (Record, tablestore.Row, error) {
	row, err := s.table.Read(ctx, recordKey(id))
	if err != nil || row.Version == 0 {
		return Record{}, row, err
	}
	var r Record
	err = decode(row, &r)
	return r, row, err
}

// current returns the key generation and the version of its row.
func (s *Store) current(ctx context.Context) (uint64, int64, error) {
	row, err := s.table.Read(ctx, currentKey)
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	var c current
	err = decode(row, &c)
	return c.Generation, row.Version, err
}

func decode(row tablestore.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return &RowDecodeError{RowKey: row.Key, Err: err}
	}
	return nil
}

// Generation returns the key generation of the platform. It is one row read.
func (s *Store) Generation(ctx context.Context) (uint64, error) {
	generation, _, err := s.current(ctx)
	return generation, err
}

// Changes returns the changes after a generation, oldest first, at most scanRows
// of them. It reads one row per change.
func (s *Store) Changes(ctx context.Context, after uint64) ([]KeyChange, error) {
	rows, err := s.table.Scan(ctx, logPrefix, scanRows, logKey(after))
	if err != nil {
		return nil, err
	}
	changes := make([]KeyChange, len(rows))
	for i, row := range rows {
		if err := decode(row, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// List returns all records, sorted by key identifier. It reads one row per key
// that was ever granted.
func (s *Store) List(ctx context.Context) ([]Record, error) {
	var records []Record
	after := ""
	for {
		rows, err := s.table.Scan(ctx, recordPrefix+idPrefix, scanRows, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var r Record
			if err := decode(row, &r); err != nil {
				return nil, err
			}
			records = append(records, r)
			after = row.Key
		}
		if len(rows) < scanRows {
			return records, nil
		}
	}
}

// LoadState returns all records together with a generation that they belong to. It
// reads the generation again after the records: a change in between may be in the
// records, so they belong to the later generation.
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
	return s.catchUp(ctx, set)
}

// catchUp adds the changes that were made while the records were read.
func (s *Store) catchUp(ctx context.Context, set *KeySet) (State, error) {
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
