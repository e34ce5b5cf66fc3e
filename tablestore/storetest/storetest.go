// Package storetest provides the contract tests for implementations of the platform
// interfaces.
package storetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// Platform is an implementation under test.
type Platform struct {
	Table     tablestore.Table
	Objects   tablestore.ObjectStore
	Instances tablestore.InstanceLister
	// SetInstances makes Instances.List return the given instances and time.
	SetInstances func(instances []tablestore.Instance, asOf time.Time)
	// Limits are the limits that the implementation enforces.
	Limits Limits
}

// Limits holds the largest values that one call accepts.
type Limits struct {
	WritesPerTransaction int // rows written by a transaction
	RowsPerScan          int // limit of a scan, in rows
	ValueBytes           int // size of a row's value
}

// testTimeout bounds each contract test, so that an implementation that blocks fails the
// test instead of hanging it.
const testTimeout = 30 * time.Second

// Run runs the contract tests. It calls newPlatform for each test, which must return an
// empty platform without faults.
func Run(t *testing.T, newPlatform func(t *testing.T) Platform) {
	tests := []struct {
		name string
		run  func(*testing.T, *fixture)
	}{
		{"absent rows", testAbsentRow},
		{"insert, update and delete", testRowLifecycle},
		{"versions are never reused", testVersionsAreNotReused},
		{"unconditional writes", testUnconditionalWrites},
		{"transactions are atomic", testAtomicTransactions},
		{"conflicts list every conflicting row", testConflictDetails},
		{"change IDs", testChangeIDs},
		{"one write per row", testDuplicateKey},
		{"transaction limits", testTransactLimits},
		{"scan pages", testScanPages},
		{"scan prefixes", testScanPrefix},
		{"scan limits", testScanLimits},
		{"keys, values and change IDs are opaque", testOpaqueBytes},
		{"values share no memory with callers", testNoSharedMemory},
		{"concurrent inserts", testConcurrentInserts},
		{"concurrent increments", testConcurrentIncrements},
		{"concurrent transactions", testConcurrentTransactions},
		{"calls with a cancelled context", testCancelledContext},
		{"objects", testObjects},
		{"instance list", testInstanceList},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			tc.run(t, &fixture{Platform: newPlatform(t), t: t, ctx: ctx})
		})
	}
}

// fixture is the platform of one test, with helpers that fail the test on an unexpected
// result.
type fixture struct {
	Platform
	t           *testing.T
	ctx         context.Context
	changeCount int
}

// newChangeID returns a change ID that no earlier call returned.
func (f *fixture) newChangeID() string {
	f.changeCount++
	return fmt.Sprintf("change-%d", f.changeCount)
}

func (f *fixture) mustRead(key string) tablestore.Row {
	f.t.Helper()
	row, err := f.Table.Read(f.ctx, key)
	must.NoError(f.t, err)
	must.Eq(f.t, key, row.Key)
	return row
}

// mustTransact performs a transaction, which must succeed, and returns the new versions.
func (f *fixture) mustTransact(writes ...tablestore.Write) []int64 {
	f.t.Helper()
	result, err := f.Table.Transact(f.ctx, f.newChangeID(), writes)
	must.NoError(f.t, err)
	must.Len(f.t, len(writes), result.Versions)
	return result.Versions
}

// mustConflict performs a transaction, which must fail with a conflict.
func (f *fixture) mustConflict(writes ...tablestore.Write) *tablestore.ConflictError {
	f.t.Helper()
	_, err := f.Table.Transact(f.ctx, f.newChangeID(), writes)
	return mustBeError[*tablestore.ConflictError](f.t, err)
}

// mustBeError returns err as an error of type E. It fails the test if err is of another type.
func mustBeError[E error](t *testing.T, err error) E {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is %T (%v), want %T", err, err, typed))
	return typed
}

// mustScanKeys performs a scan, which must succeed, and returns the keys of the rows.
func (f *fixture) mustScanKeys(prefix string, limit int, after string) []string {
	f.t.Helper()
	rows, err := f.Table.Scan(f.ctx, prefix, limit, after)
	must.NoError(f.t, err)
	keys := []string{}
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys
}

func put(key, value string, ifVersion int64) tablestore.Write {
	return tablestore.Write{Key: key, Value: []byte(value), IfVersion: ifVersion}
}

func remove(key string, ifVersion int64) tablestore.Write {
	return tablestore.Write{Key: key, IfVersion: ifVersion, Delete: true}
}
