package storetest

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// Reading an absent row is not an error and returns version 0, which distinguishes it from
// an empty row. Its deletion succeeds with version 0.
func testAbsentRow(t *testing.T, f *fixture) {
	row := f.mustRead("absent")
	must.Zero(t, row.Version)
	must.Eq(t, "", row.ChangeID)
	must.Eq(t, 0, len(row.Value))
	f.mustConflict(put("absent", "x", 1))
	f.mustConflict(remove("absent", 1))
	versions := f.mustTransact(remove("absent", 0), remove("other", tablestore.AnyVersion))
	must.Eq(t, []int64{0, 0}, versions)
}

// Inserts, updates and deletions are applied with the row's current version and conflict
// with any other version.
func testRowLifecycle(t *testing.T, f *fixture) {
	first := f.mustTransact(put("row", "a", 0))[0]
	must.Positive(t, first)
	f.mustConflict(put("row", "b", 0))
	second := f.mustTransact(put("row", "b", first))[0]
	must.Greater(t, first, second)
	f.mustConflict(put("row", "c", first))
	f.mustConflict(remove("row", first))
	row := f.mustRead("row")
	must.Eq(t, "b", string(row.Value))
	must.Eq(t, second, row.Version)
	must.Eq(t, []int64{0}, f.mustTransact(remove("row", second)))
	must.Zero(t, f.mustRead("row").Version)
}

// The versions of a key are not reused after the row was deleted and inserted again.
// Otherwise a delayed conditional write could find the version that it expects on the new
// row (the ABA problem).
func testVersionsAreNotReused(t *testing.T, f *fixture) {
	last := int64(0)
	for range 3 {
		inserted := f.mustTransact(put("row", "a", 0))[0]
		must.Greater(t, last, inserted)
		updated := f.mustTransact(put("row", "b", inserted))[0]
		must.Greater(t, inserted, updated)
		f.mustTransact(remove("row", updated))
		f.mustConflict(remove("row", updated))
		last = updated
	}
	again := f.mustTransact(put("row", "c", 0))[0]
	must.Greater(t, last, again)
	f.mustConflict(put("row", "late", last))
}

// An unconditional write succeeds for absent and present rows.
func testUnconditionalWrites(t *testing.T, f *fixture) {
	first := f.mustTransact(put("row", "a", tablestore.AnyVersion))[0]
	second := f.mustTransact(put("row", "b", tablestore.AnyVersion))[0]
	must.Greater(t, first, second)
	must.Eq(t, "b", string(f.mustRead("row").Value))
	f.mustTransact(remove("row", tablestore.AnyVersion))
	must.Zero(t, f.mustRead("row").Version)
}

// A transaction with a conflict in any row writes none of its rows.
func testAtomicTransactions(t *testing.T, f *fixture) {
	version := f.mustTransact(put("b", "old", 0))[0]
	f.mustConflict(put("a", "new", 0), put("b", "new", version+1), put("c", "new", tablestore.AnyVersion))
	f.mustConflict(remove("b", version), put("d", "new", version))
	must.Eq(t, []string{"b"}, f.mustScanKeys("", 10, ""))
	must.Eq(t, "old", string(f.mustRead("b").Value))
	must.Eq(t, version, f.mustRead("b").Version)
}

// A conflict error lists every conflicting row and no other. A writer that batches writes
// removes the listed rows and retries; with a row missing from the list, it would retry a
// transaction that cannot succeed.
func testConflictDetails(t *testing.T, f *fixture) {
	version := f.mustTransact(put("b", "x", 0))[0]
	conflict := f.mustConflict(put("a", "x", 0), put("b", "x", 0), put("c", "x", 7))
	must.Len(t, 2, conflict.Conflicts)
	must.False(t, conflict.HasKey("a"))
	must.SliceContains(t, conflict.Conflicts, tablestore.Conflict{Key: "b", WantVersion: 0, HaveVersion: version})
	must.SliceContains(t, conflict.Conflicts, tablestore.Conflict{Key: "c", WantVersion: 7, HaveVersion: 0})
}

// Each row carries the change ID of the transaction that wrote it last, so that a caller
// whose reply was lost recognizes its own write and no other.
func testChangeIDs(t *testing.T, f *fixture) {
	_, err := f.Table.Transact(f.ctx, "mine", []tablestore.Write{put("a", "1", 0), put("b", "1", 0)})
	must.NoError(t, err)
	must.Eq(t, "mine", f.mustRead("a").ChangeID)
	must.Eq(t, "mine", f.mustRead("b").ChangeID)
	rows, err := f.Table.Scan(f.ctx, "", 10, "")
	must.NoError(t, err)
	must.Len(t, 2, rows)
	must.Eq(t, f.mustRead("a"), rows[0])
	_, err = f.Table.Transact(f.ctx, "other", []tablestore.Write{put("a", "2", 0)})
	must.True(t, tablestore.IsConflict(err))
	must.Eq(t, "mine", f.mustRead("a").ChangeID)
	_, err = f.Table.Transact(f.ctx, "other", []tablestore.Write{put("a", "2", tablestore.AnyVersion)})
	must.NoError(t, err)
	must.Eq(t, "other", f.mustRead("a").ChangeID)
}

// A transaction that writes a row twice is rejected.
func testDuplicateKey(t *testing.T, f *fixture) {
	_, err := f.Table.Transact(f.ctx, f.newChangeID(), []tablestore.Write{put("a", "1", 0), put("b", "1", 0), put("a", "2", 0)})
	mustBeError[*tablestore.LimitError](t, err)
	must.SliceEmpty(t, f.mustScanKeys("", 10, ""))
}

// A transaction that exceeds a limit is rejected as a whole with *LimitError, and one that
// just meets the limits succeeds.
func testTransactLimits(t *testing.T, f *fixture) {
	writes := make([]tablestore.Write, f.Limits.WritesPerTransaction+1)
	for i := range writes {
		writes[i] = put(fmt.Sprintf("row-%04d", i), "x", 0)
	}
	_, err := f.Table.Transact(f.ctx, f.newChangeID(), writes)
	limit := mustBeError[*tablestore.LimitError](t, err)
	must.Eq(t, f.Limits.WritesPerTransaction, limit.Max)
	large := bytes.Repeat([]byte{0xff}, f.Limits.ValueBytes+1)
	_, err = f.Table.Transact(f.ctx, f.newChangeID(), []tablestore.Write{put("small", "x", 0), {Key: "large", Value: large}})
	mustBeError[*tablestore.LimitError](t, err)
	must.SliceEmpty(t, f.mustScanKeys("", 10, ""))
	f.mustTransact(writes[:f.Limits.WritesPerTransaction]...)
	f.mustTransact(tablestore.Write{Key: "large", Value: large[:f.Limits.ValueBytes]})
	must.Eq(t, f.Limits.ValueBytes, len(f.mustRead("large").Value))
}

// Successive scans neither repeat nor miss rows, also when the last row of a page is
// deleted before the next page is read.
func testScanPages(t *testing.T, f *fixture) {
	var want, got []string
	for i := range 10 {
		key := fmt.Sprintf("p/%02d", i)
		f.mustTransact(put(key, "x", 0))
		want = append(want, key)
	}
	after := ""
	for {
		page := f.mustScanKeys("p/", 4, after)
		got = append(got, page...)
		if len(page) < 4 {
			break
		}
		after = page[len(page)-1]
		f.mustTransact(remove(after, tablestore.AnyVersion))
	}
	must.Eq(t, want, got)
	must.Eq(t, []string{"p/08", "p/09"}, f.mustScanKeys("p/", 2, "p/07x"))
	must.SliceEmpty(t, f.mustScanKeys("p/", 4, "p/09"))
}

// A scan prefix matches keys byte by byte: it matches no keys that only sort next to it, and
// no character in it is a wildcard.
func testScanPrefix(t *testing.T, f *fixture) {
	for _, key := range []string{"a", "a/", "a/b", "a/b/c", "a0", "A/x", "a/é", "b/%"} {
		f.mustTransact(put(key, "x", 0))
	}
	must.Eq(t, []string{"a/", "a/b", "a/b/c", "a/é"}, f.mustScanKeys("a/", 10, ""))
	must.Eq(t, []string{"a/b", "a/b/c", "a/é"}, f.mustScanKeys("a/", 10, "a/"))
	must.Eq(t, []string{"b/%"}, f.mustScanKeys("b/", 10, "a/z"))
	must.SliceEmpty(t, f.mustScanKeys("%", 10, ""))
	must.Eq(t, []string{"A/x", "a", "a/", "a/b", "a/b/c", "a/é", "a0", "b/%"}, f.mustScanKeys("", 10, ""))
}

// A scan with a limit outside the allowed range is rejected. Returning fewer rows instead
// would tell the caller that there are no more.
func testScanLimits(t *testing.T, f *fixture) {
	for _, rows := range []int{-1, 0, f.Limits.RowsPerScan + 1} {
		_, err := f.Table.Scan(f.ctx, "", rows, "")
		limit := mustBeError[*tablestore.LimitError](t, err)
		must.Eq(t, rows, limit.Got)
	}
	must.SliceEmpty(t, f.mustScanKeys("", f.Limits.RowsPerScan, ""))
}

// Values may contain any bytes, keys and change IDs any characters. A transport must neither
// interpret nor alter them.
func testOpaqueBytes(t *testing.T, f *fixture) {
	value := make([]byte, 256)
	for i := range value {
		value[i] = byte(i)
	}
	for _, key := range []string{"a b", "a/../b", "a//b", "a%2Fb", "a?b=c&d#e", "ключ", "a+b", `a"b\c`} {
		_, err := f.Table.Transact(f.ctx, "id of "+key, []tablestore.Write{{Key: key, Value: value}})
		must.NoError(t, err)
		row := f.mustRead(key)
		must.Eq(t, value, row.Value)
		must.Eq(t, "id of "+key, row.ChangeID)
		must.Eq(t, []string{key}, f.mustScanKeys(key, 2, ""))
		must.NoError(t, f.Objects.Put(f.ctx, key, value))
		data, err := f.Objects.Get(f.ctx, key)
		must.NoError(t, err)
		must.Eq(t, value, data)
	}
	f.mustTransact(put("empty", "", 0))
	must.Eq(t, 0, len(f.mustRead("empty").Value))
}

// Stored rows and objects share no memory with the arguments and results of calls.
func testNoSharedMemory(t *testing.T, f *fixture) {
	value := []byte("stored")
	f.mustTransact(tablestore.Write{Key: "row", Value: value})
	must.NoError(t, f.Objects.Put(f.ctx, "object", value))
	value[0] = 'X'
	f.mustRead("row").Value[0] = 'Y'
	rows, err := f.Table.Scan(f.ctx, "row", 1, "")
	must.NoError(t, err)
	rows[0].Value[0] = 'Z'
	must.Eq(t, "stored", string(f.mustRead("row").Value))
	data, err := f.Objects.Get(f.ctx, "object")
	must.NoError(t, err)
	data[0] = 'Y'
	data, err = f.Objects.Get(f.ctx, "object")
	must.NoError(t, err)
	must.Eq(t, "stored", string(data))
}

// A call with a cancelled context fails with a typed error. A transaction does not return
// *UnavailableError if it was applied.
func testCancelledContext(t *testing.T, f *fixture) {
	ctx, cancel := context.WithCancel(f.ctx)
	cancel()
	_, err := f.Table.Read(ctx, "row")
	mustBeError[*tablestore.UnavailableError](t, err)
	_, err = f.Table.Scan(ctx, "", 1, "")
	mustBeError[*tablestore.UnavailableError](t, err)
	_, err = f.Objects.Get(ctx, "object")
	mustBeError[*tablestore.UnavailableError](t, err)
	_, err = f.Instances.List(ctx)
	mustBeError[*tablestore.UnavailableError](t, err)
	_, err = f.Table.Transact(ctx, f.newChangeID(), []tablestore.Write{put("row", "x", 0)})
	if !tablestore.IsOutcomeUnknown(err) {
		mustBeError[*tablestore.UnavailableError](t, err)
		must.Zero(t, f.mustRead("row").Version)
	}
}
