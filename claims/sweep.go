package claims

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// MaxSweepRows is the number of rows that one Sweep reads at most. One sweep is one
// transaction, and hosted table services accept 100 rows in it.
const MaxSweepRows = 100

// SweepResult reports one Sweep.
type SweepResult struct {
	Scanned int
	Removed int
	// NextCursor is the cursor of the next sweep. It is empty at the end of the table.
	NextCursor string
}

// Sweep removes claim rows past their retention time from the page of rows after
// the cursor after. wall is the wall clock. A row that changed since it was read
// stays, and the rest of its page stays until the next round. It costs one read
// per scanned row and one row write per removed row. Objects of large outcomes
// stay, because the object store has no delete. It returns the errors of the
// table.
func (s *Store) Sweep(ctx context.Context, wall time.Time, after string) (SweepResult, error) {
	rows, err := s.table.Scan(ctx, rowPrefix, MaxSweepRows, after)
	if err != nil {
		return SweepResult{}, err
	}
	result := SweepResult{Scanned: len(rows)}
	if len(rows) == MaxSweepRows {
		result.NextCursor = rows[len(rows)-1].Key
	}
	removals := expired(rows, wall)
	if len(removals) == 0 {
		return result, nil
	}
	_, err = s.table.Transact(ctx, s.newChangeID(), removals)
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		return result, nil
	}
	if err != nil {
		return result, err
	}
	result.Removed = len(removals)
	return result, nil
}

// expired returns the conditional deletes of the rows past their retention time.
// Rows that cannot be parsed stay.
func expired(rows []tablestore.Row, wall time.Time) []tablestore.Write {
	var removals []tablestore.Write
	for _, row := range rows {
		record, err := DecodeRecord(row.Value)
		if err != nil || !RetentionExpired(record, wall) {
			continue
		}
		removals = append(removals, tablestore.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
	}
	return removals
}
