package storetest

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// writerCount is the number of concurrent writers.
const writerCount = 8

// inParallel calls f concurrently, once for each writer, and waits for all calls.
func inParallel(f func(writer int)) {
	var wg sync.WaitGroup
	for i := range writerCount {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// Of several concurrent inserts of a row exactly one succeeds. Otherwise two entry
// instances could claim the same request.
func testConcurrentInserts(t *testing.T, f *fixture) {
	for round := range 10 {
		key := fmt.Sprintf("claim-%d", round)
		var wins, unexpectedErrors atomic.Int32
		var winner atomic.Value
		inParallel(func(writer int) {
			id := fmt.Sprintf("%s-%d", key, writer)
			_, err := f.Table.Transact(f.ctx, id, []tablestore.Write{put(key, id, 0)})
			switch {
			case err == nil:
				wins.Add(1)
				winner.Store(id)
			case !tablestore.IsConflict(err):
				unexpectedErrors.Add(1)
			}
		})
		must.Zero(t, unexpectedErrors.Load())
		must.One(t, wins.Load())
		must.Eq(t, winner.Load().(string), f.mustRead(key).ChangeID)
	}
}

// Concurrent conditional updates of a row lose no update. A lost update of the ledger of a
// limit would create tokens.
func testConcurrentIncrements(t *testing.T, f *fixture) {
	const incrementsPerWriter = 5
	var failures atomic.Int32
	f.mustTransact(put("counter", "0", 0))
	inParallel(func(writer int) {
		for done := 0; done < incrementsPerWriter; {
			applied, err := f.incrementCounter(fmt.Sprintf("inc-%d-%d", writer, done))
			if err != nil {
				failures.Add(1)
				return
			}
			if applied {
				done++
			}
		}
	})
	must.Zero(t, failures.Load())
	must.Eq(t, strconv.Itoa(writerCount*incrementsPerWriter), string(f.mustRead("counter").Value))
}

// incrementCounter reads the counter and writes it back incremented. applied is false if
// another writer changed the counter in between.
func (f *fixture) incrementCounter(changeID string) (applied bool, err error) {
	row, err := f.Table.Read(f.ctx, "counter")
	if err != nil {
		return false, err
	}
	n, err := strconv.Atoi(string(row.Value))
	if err != nil {
		return false, err
	}
	_, err = f.Table.Transact(f.ctx, changeID, []tablestore.Write{put("counter", strconv.Itoa(n+1), row.Version)})
	if tablestore.IsConflict(err) {
		return false, nil
	}
	return err == nil, err
}

// Concurrent transactions that write the same rows in different orders neither interleave
// their writes nor deadlock.
func testConcurrentTransactions(t *testing.T, f *fixture) {
	var failures atomic.Int32
	inParallel(func(writer int) {
		for n := range 10 {
			id := fmt.Sprintf("tx-%d-%d", writer, n)
			writes := []tablestore.Write{put("a", id, tablestore.AnyVersion), put("b", id, tablestore.AnyVersion)}
			if writer%2 == 0 {
				writes[0], writes[1] = writes[1], writes[0]
			}
			if _, err := f.Table.Transact(f.ctx, id, writes); err != nil {
				failures.Add(1)
			}
		}
	})
	must.Zero(t, failures.Load())
	a, b := f.mustRead("a"), f.mustRead("b")
	must.Eq(t, a.ChangeID, b.ChangeID)
	must.Eq(t, a.Value, b.Value)
	must.Eq(t, a.ChangeID, string(a.Value))
}
