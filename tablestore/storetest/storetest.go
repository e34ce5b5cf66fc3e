// Package storetest checks that an implementation of the platform interfaces
// keeps their contract.
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

// Platform is one implementation under test.
type Platform struct {
	Table     tablestore.Table
	Objects   tablestore.ObjectStore
	Instances tablestore.InstanceLister
	// SetInstances makes List return the instances and the platform's clock.
	SetInstances func(instances []tablestore.Instance, asOf time.Time)
	// Limits are the limits of one call.
	Limits Limits
}

// Limits are the largest values that one call accepts.
type Limits struct {
	WritesPerTransaction     int // rows in a transaction
	RowsPerScan   int // rows of one scan
	ValueBytes int // value of one row
}

// callTimeout bounds each call, so that a broken implementation fails instead of
// hanging.
const callTimeout = 30 * time.Second

// Run runs the contract tests. newPlatform returns an empty platform without
// faults and is called once for each test.
func Run(t *testing.T, newPlatform func(t *testing.T) Platform) {
	tests := []struct {
		name string
		run  func(*testing.T, *env)
	}{
		{"absent rows", testAbsentRow},
		{"insert, update and delete", testRowLife},
		{"versions never repeat", testVersionsNeverRepeat},
		{"unconditional writes", testAnyVersion},
		{"all or nothing", testAllOrNothing},
		{"conflicts name every row", testConflictDetails},
		{"change ids", testChangeIDs},
		{"one write per row", testDuplicateKey},
		{"transaction limits", testTransactLimits},
		{"scan pages", testScanPages},
		{"scan prefix", testScanPrefix},
		{"scan limits", testScanLimits},
		{"keys and values are opaque", testOpaqueBytes},
		{"values are copies", testValueCopies},
		{"concurrent inserts", testConcurrentInserts},
		{"concurrent increments", testConcurrentIncrements},
		{"concurrent transactions", testConcurrentTransactions},
		{"cancelled calls", testCancelled},
		{"objects", testObjects},
		{"instance list", testInstanceList},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			tc.run(t, &env{Platform: newPlatform(t), t: t, ctx: ctx})
		})
	}
}

// env is one platform and helpers that fail the test on an error.
type env struct {
	Platform
	t       *testing.T
	ctx     context.Context
	changes int
}

// changeID returns a new change id.
func (e *env) changeID() string {
	e.changes++
	return fmt.Sprintf("change-%d", e.changes)
}

func (e *env) read(key string) tablestore.Row {
	e.t.Helper()
	row, err := e.Table.Read(e.ctx, key)
	must.NoError(e.t, err)
	must.Eq(e.t, key, row.Key)
	return row
}

// transact applies writes that must succeed and returns the new versions.
func (e *env) transact(writes ...tablestore.Write) []int64 {
	e.t.Helper()
	result, err := e.Table.Transact(e.ctx, e.changeID(), writes)
	must.NoError(e.t, err)
	must.Len(e.t, len(writes), result.Versions)
	return result.Versions
}

// conflict applies writes that must conflict.
func (e *env) conflict(writes ...tablestore.Write) *tablestore.ConflictError {
	e.t.Helper()
	_, err := e.Table.Transact(e.ctx, e.changeID(), writes)
	return mustBe[*tablestore.ConflictError](e.t, err)
}

// mustBe returns err as the typed error E and fails the test otherwise.
func mustBe[E error](t *testing.T, err error) E {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is %T (%v), want %T", err, err, typed))
	return typed
}

// scanKeys returns the keys of one page.
func (e *env) scanKeys(prefix string, limit int, after string) []string {
	e.t.Helper()
	rows, err := e.Table.Scan(e.ctx, prefix, limit, after)
	must.NoError(e.t, err)
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
