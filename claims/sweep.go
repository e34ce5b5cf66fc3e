package claims

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

// MaxSweepRows is the maximum number of rows that one Sweep reads. A sweep removes them in
// one transaction, and hosted table services accept 100 rows in a transaction.
const MaxSweepRows = 100

// SweepResult is the result of one Sweep.
type SweepResult struct {
	Scanned int // rows read
	Removed int // rows deleted
	// NextCursor is the cursor for the next sweep. It is empty if there are no more rows.
	NextCursor string
}

// Sweep reads the page of claim rows after the cursor and removes those whose retention
// time has passed by the wall clock time now. If one of these rows changed since it was
// read, nothing is removed, and the rows are considered again by the next sweep of the
// page. A sweep costs one read per scanned row and one row write per removed row.
// Objects of large responses are not removed, because the object store has no delete
// operation. Sweep returns the errors of the table.
func (s *Store) Sweep(ctx context.Context, now time.Time, cursor string) (SweepResult, error) {
	rows, err := s.table.Scan(ctx, rowKeyPrefix, MaxSweepRows, cursor)
	if err != nil {
		return SweepResult{}, err
	}
	result := SweepResult{Scanned: len(rows)}
	if len(rows) == MaxSweepRows {
		result.NextCursor = rows[len(rows)-1].Key
	}
	deletes := expiredRowDeletes(rows, now)
	if len(deletes) == 0 {
		return result, nil
	}
	_, err = s.table.Transact(ctx, s.newChangeID(), deletes)
	var conflict *tablestore.ConflictError
	if errors.As(err, &conflict) {
		return result, nil
	}
	if err != nil {
		return result, err
	}
	result.Removed = len(deletes)
	return result, nil
}

// expiredRowDeletes returns conditional deletes of the rows whose retention time has
// passed. Rows that cannot be decoded are kept.
func expiredRowDeletes(rows []tablestore.Row, now time.Time) []tablestore.Write {
	var deletes []tablestore.Write
	for _, row := range rows {
		record, err := DecodeRecord(row.Value)
		if err != nil || !RetentionExpired(record, now) {
			continue
		}
		deletes = append(deletes, tablestore.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
	}
	return deletes
}
