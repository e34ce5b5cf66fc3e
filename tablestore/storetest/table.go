package storetest

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// An absent row must not look like an error or like an empty row.
func testAbsentRow(t *testing.T, e *env) {
	row := e.read("absent")
	must.Zero(t, row.Version)
	must.Eq(t, "", row.ChangeID)
	must.Eq(t, 0, len(row.Value))
	e.conflict(put("absent", "x", 1))
	e.conflict(remove("absent", 1))
	versions := e.transact(remove("absent", 0), remove("other", tablestore.AnyVersion))
	must.Eq(t, []int64{0, 0}, versions)
}

// A write with an outdated version must not be applied.
func testRowLife(t *testing.T, e *env) {
	first := e.transact(put("row", "a", 0))[0]
	must.Positive(t, first)
	e.conflict(put("row", "b", 0))
	second := e.transact(put("row", "b", first))[0]
	must.Greater(t, first, second)
	e.conflict(put("row", "c", first))
	e.conflict(remove("row", first))
	row := e.read("row")
	must.Eq(t, "b", string(row.Value))
	must.Eq(t, second, row.Version)
	must.Eq(t, []int64{0}, e.transact(remove("row", second)))
	must.Zero(t, e.read("row").Version)
}

// A delayed conditional write must not meet its version on a row that was
// deleted and inserted again (the ABA problem).
func testVersionsNeverRepeat(t *testing.T, e *env) {
	last := int64(0)
	for range 3 {
		inserted := e.transact(put("row", "a", 0))[0]
		must.Greater(t, last, inserted)
		updated := e.transact(put("row", "b", inserted))[0]
		must.Greater(t, inserted, updated)
		e.transact(remove("row", updated))
		e.conflict(remove("row", updated))
		last = updated
	}
	again := e.transact(put("row", "c", 0))[0]
	must.Greater(t, last, again)
	e.conflict(put("row", "late", last))
}

// An unconditional write must work on absent and present rows.
func testAnyVersion(t *testing.T, e *env) {
	first := e.transact(put("row", "a", tablestore.AnyVersion))[0]
	second := e.transact(put("row", "b", tablestore.AnyVersion))[0]
	must.Greater(t, first, second)
	must.Eq(t, "b", string(e.read("row").Value))
	e.transact(remove("row", tablestore.AnyVersion))
	must.Zero(t, e.read("row").Version)
}

// A transaction must not be applied in part.
func testAllOrNothing(t *testing.T, e *env) {
	version := e.transact(put("b", "old", 0))[0]
	e.conflict(put("a", "new", 0), put("b", "new", version+1), put("c", "new", tablestore.AnyVersion))
	e.conflict(remove("b", version), put("d", "new", version))
	must.Eq(t, []string{"b"}, e.scanKeys("", 10, ""))
	must.Eq(t, "old", string(e.read("b").Value))
	must.Eq(t, version, e.read("b").Version)
}

// A batching writer takes the rows in conflict out; a missing name would make it
// resend a transaction that cannot succeed.
func testConflictDetails(t *testing.T, e *env) {
	version := e.transact(put("b", "x", 0))[0]
	conflict := e.conflict(put("a", "x", 0), put("b", "x", 0), put("c", "x", 7))
	must.Len(t, 2, conflict.Conflicts)
	must.False(t, conflict.HasKey("a"))
	must.SliceContains(t, conflict.Conflicts, tablestore.Conflict{Key: "b", WantVersion: 0, HaveVersion: version})
	must.SliceContains(t, conflict.Conflicts, tablestore.Conflict{Key: "c", WantVersion: 7, HaveVersion: 0})
}

// A caller whose reply was lost must recognize its own write, and only that one.
func testChangeIDs(t *testing.T, e *env) {
	_, err := e.Table.Transact(e.ctx, "mine", []tablestore.Write{put("a", "1", 0), put("b", "1", 0)})
	must.NoError(t, err)
	must.Eq(t, "mine", e.read("a").ChangeID)
	must.Eq(t, "mine", e.read("b").ChangeID)
	rows, err := e.Table.Scan(e.ctx, "", 10, "")
	must.NoError(t, err)
	must.Len(t, 2, rows)
	must.Eq(t, e.read("a"), rows[0])
	_, err = e.Table.Transact(e.ctx, "other", []tablestore.Write{put("a", "2", 0)})
	must.True(t, tablestore.IsConflict(err))
	must.Eq(t, "mine", e.read("a").ChangeID)
	_, err = e.Table.Transact(e.ctx, "other", []tablestore.Write{put("a", "2", tablestore.AnyVersion)})
	must.NoError(t, err)
	must.Eq(t, "other", e.read("a").ChangeID)
}

// Two inserts of one row in a transaction must not both succeed.
func testDuplicateKey(t *testing.T, e *env) {
	_, err := e.Table.Transact(e.ctx, e.changeID(), []tablestore.Write{put("a", "1", 0), put("b", "1", 0), put("a", "2", 0)})
	mustBe[*tablestore.LimitError](t, err)
	must.SliceEmpty(t, e.scanKeys("", 10, ""))
}

// A transaction above a limit must be refused whole, with its own error.
func testTransactLimits(t *testing.T, e *env) {
	writes := make([]tablestore.Write, e.Limits.WritesPerTransaction+1)
	for i := range writes {
		writes[i] = put(fmt.Sprintf("row-%04d", i), "x", 0)
	}
	_, err := e.Table.Transact(e.ctx, e.changeID(), writes)
	limit := mustBe[*tablestore.LimitError](t, err)
	must.Eq(t, e.Limits.WritesPerTransaction, limit.Max)
	large := bytes.Repeat([]byte{0xff}, e.Limits.ValueBytes+1)
	_, err = e.Table.Transact(e.ctx, e.changeID(), []tablestore.Write{put("small", "x", 0), {Key: "large", Value: large}})
	mustBe[*tablestore.LimitError](t, err)
	must.SliceEmpty(t, e.scanKeys("", 10, ""))
	e.transact(writes[:e.Limits.WritesPerTransaction]...)
	e.transact(tablestore.Write{Key: "large", Value: large[:e.Limits.ValueBytes]})
	must.Eq(t, e.Limits.ValueBytes, len(e.read("large").Value))
}

// Paging must neither repeat nor miss rows, also while rows are deleted.
func testScanPages(t *testing.T, e *env) {
	var want, got []string
	for i := range 10 {
		key := fmt.Sprintf("p/%02d", i)
		e.transact(put(key, "x", 0))
		want = append(want, key)
	}
	after := ""
	for {
		page := e.scanKeys("p/", 4, after)
		got = append(got, page...)
		if len(page) < 4 {
			break
		}
		after = page[len(page)-1]
		e.transact(remove(after, tablestore.AnyVersion))
	}
	must.Eq(t, want, got)
	must.Eq(t, []string{"p/08", "p/09"}, e.scanKeys("p/", 2, "p/07x"))
	must.SliceEmpty(t, e.scanKeys("p/", 4, "p/09"))
}

// A prefix is a string of bytes and must not match neighbors.
func testScanPrefix(t *testing.T, e *env) {
	for _, key := range []string{"a", "a/", "a/b", "a/b/c", "a0", "A/x", "a/é", "b/%"} {
		e.transact(put(key, "x", 0))
	}
	must.Eq(t, []string{"a/", "a/b", "a/b/c", "a/é"}, e.scanKeys("a/", 10, ""))
	must.Eq(t, []string{"a/b", "a/b/c", "a/é"}, e.scanKeys("a/", 10, "a/"))
	must.Eq(t, []string{"b/%"}, e.scanKeys("b/", 10, "a/z"))
	must.SliceEmpty(t, e.scanKeys("%", 10, ""))
	must.Eq(t, []string{"A/x", "a", "a/", "a/b", "a/b/c", "a/é", "a0", "b/%"}, e.scanKeys("", 10, ""))
}

// A page size that the platform does not serve must be refused, because a short
// page means the end of the table.
func testScanLimits(t *testing.T, e *env) {
	for _, rows := range []int{-1, 0, e.Limits.RowsPerScan + 1} {
		_, err := e.Table.Scan(e.ctx, "", rows, "")
		limit := mustBe[*tablestore.LimitError](t, err)
		must.Eq(t, rows, limit.Got)
	}
	must.SliceEmpty(t, e.scanKeys("", e.Limits.RowsPerScan, ""))
}

// A transport must not interpret keys, values or change ids.
func testOpaqueBytes(t *testing.T, e *env) {
	value := make([]byte, 256)
	for i := range value {
		value[i] = byte(i)
	}
	for _, key := range []string{"a b", "a/../b", "a//b", "a%2Fb", "a?b=c&d#e", "ключ", "a+b", `a"b\c`} {
		_, err := e.Table.Transact(e.ctx, "id of "+key, []tablestore.Write{{Key: key, Value: value}})
		must.NoError(t, err)
		row := e.read(key)
		must.Eq(t, value, row.Value)
		must.Eq(t, "id of "+key, row.ChangeID)
		must.Eq(t, []string{key}, e.scanKeys(key, 2, ""))
		must.NoError(t, e.Objects.Put(e.ctx, key, value))
		data, err := e.Objects.Get(e.ctx, key)
		must.NoError(t, err)
		must.Eq(t, value, data)
	}
	e.transact(put("empty", "", 0))
	must.Eq(t, 0, len(e.read("empty").Value))
}

// A caller that changes its buffers must not change stored rows.
func testValueCopies(t *testing.T, e *env) {
	value := []byte("stored")
	e.transact(tablestore.Write{Key: "row", Value: value})
	must.NoError(t, e.Objects.Put(e.ctx, "object", value))
	value[0] = 'X'
	e.read("row").Value[0] = 'Y'
	rows, err := e.Table.Scan(e.ctx, "row", 1, "")
	must.NoError(t, err)
	rows[0].Value[0] = 'Z'
	must.Eq(t, "stored", string(e.read("row").Value))
	data, err := e.Objects.Get(e.ctx, "object")
	must.NoError(t, err)
	data[0] = 'Y'
	data, err = e.Objects.Get(e.ctx, "object")
	must.NoError(t, err)
	must.Eq(t, "stored", string(data))
}

// A call whose context has ended must say so with a typed error, and must not
// claim that nothing was written when something was.
func testCancelled(t *testing.T, e *env) {
	ctx, cancel := context.WithCancel(e.ctx)
	cancel()
	_, err := e.Table.Read(ctx, "row")
	mustBe[*tablestore.UnavailableError](t, err)
	_, err = e.Table.Scan(ctx, "", 1, "")
	mustBe[*tablestore.UnavailableError](t, err)
	_, err = e.Objects.Get(ctx, "object")
	mustBe[*tablestore.UnavailableError](t, err)
	_, err = e.Instances.List(ctx)
	mustBe[*tablestore.UnavailableError](t, err)
	_, err = e.Table.Transact(ctx, e.changeID(), []tablestore.Write{put("row", "x", 0)})
	if !tablestore.IsOutcomeUnknown(err) {
		mustBe[*tablestore.UnavailableError](t, err)
		must.Zero(t, e.read("row").Version)
	}
}
