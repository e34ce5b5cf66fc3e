package claims

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

const (
	// maxInFlightTransactions is the maximum number of concurrent transactions. At
	// this number rows wait, so that later batches contain more rows.
	maxInFlightTransactions = 16
	// maxRowAttempts is the maximum number of transactions with an unknown outcome in
	// which one row is sent. After them the write of the row fails with its uncertain
	// change IDs.
	maxRowAttempts = 3
)

// rowWrite is a conditional write that is submitted to the writer.
type rowWrite struct {
	write tablestore.Write
	// uncertainChangeIDs are the change IDs of transactions whose outcome is unknown.
	uncertainChangeIDs []string
	attempts           int
	takenOrCancelled   atomic.Bool // set once: by the writer before sending, or by cancel
	done               chan writeResult
}

func newRowWrite(w tablestore.Write, uncertainChangeIDs []string) *rowWrite {
	return &rowWrite{write: w, uncertainChangeIDs: uncertainChangeIDs, done: make(chan writeResult, 1)}
}

// cancel prevents the write from being sent. It returns false if the writer has already
// taken it for sending.
func (rw *rowWrite) cancel() bool { return rw.takenOrCancelled.CompareAndSwap(false, true) }

// writeResult is the result of a rowWrite.
type writeResult struct {
	// err is nil if the write was applied or failed its condition.
	err error
	// status is valid if err is nil: writeApplied or writeConflict.
	status writeStatus
	// row is the written row (only key and version) or the conflicting row.
	row tablestore.Row
	// conflictUnreadable is set with err if the write failed its condition and the
	// conflicting row could not be read.
	conflictUnreadable bool
	// uncertainChangeIDs are set with err if earlier transactions with the write may
	// have been applied or may still be applied.
	uncertainChangeIDs []string
}

// writer batches the row writes of concurrent requests into transactions. It calls the
// platform with its own contexts, so that cancelling one request does not cancel the
// writes of the others in its batch.
type writer struct {
	ctx               context.Context
	table             tablestore.Table
	batchDelay        time.Duration
	maxBatchRows      int
	callTimeout       time.Duration
	newChangeID       func() string
	queue             chan *rowWrite
	inFlightSemaphore chan struct{}
}

func newWriter(ctx context.Context, table tablestore.Table, c Config, newChangeID func() string) *writer {
	return &writer{
		ctx:               ctx,
		table:             table,
		batchDelay:        c.BatchDelay,
		maxBatchRows:      c.MaxBatchRows,
		callTimeout:       c.CallTimeout,
		newChangeID:       newChangeID,
		queue:             make(chan *rowWrite),
		inFlightSemaphore: make(chan struct{}, maxInFlightTransactions),
	}
}

// submit passes rw to the writer and waits for its result. If ctx ends first, it returns
// the error of ctx and whether the writer may still send rw or has sent it.
func (w *writer) submit(ctx context.Context, rw *rowWrite) (res writeResult, inFlight bool, err error) {
	select {
	case w.queue <- rw:
	case <-ctx.Done():
		return writeResult{}, false, ctx.Err()
	case <-w.ctx.Done():
		return writeResult{}, false, &StoreClosedError{}
	}
	select {
	case res = <-rw.done:
		return res, false, nil
	case <-ctx.Done():
		return writeResult{}, !rw.cancel(), ctx.Err()
	}
}

// run collects batches until the writer's context ends.
func (w *writer) run() {
	var next *rowWrite
	for {
		first := next
		if first == nil {
			select {
			case first = <-w.queue:
			case <-w.ctx.Done():
				return
			}
		}
		var batch []*rowWrite
		batch, next = w.collect(first)
		w.dispatch(batch)
	}
}

// collect fills the batch that begins with first, until it is full or the batch delay
// has passed. If a row's key is already in the batch, that row is returned as the first
// of the next batch, because a transaction may write each row only once.
func (w *writer) collect(first *rowWrite) (batch []*rowWrite, next *rowWrite) {
	batch = []*rowWrite{first}
	keys := map[string]bool{first.write.Key: true}
	timer := time.NewTimer(w.batchDelay)
	defer timer.Stop()
	for len(batch) < w.maxBatchRows {
		select {
		case rw := <-w.queue:
			if keys[rw.write.Key] {
				return batch, rw
			}
			keys[rw.write.Key] = true
			batch = append(batch, rw)
		case <-timer.C:
			return batch, nil
		case <-w.ctx.Done():
			return batch, nil
		}
	}
	return batch, nil
}

// dispatch sends the batch without its cancelled rows in the background, as soon as
// fewer than maxInFlightTransactions are in progress.
func (w *writer) dispatch(batch []*rowWrite) {
	select {
	case w.inFlightSemaphore <- struct{}{}:
	case <-w.ctx.Done():
	}
	remaining := batch[:0]
	for _, rw := range batch {
		if rw.takenOrCancelled.CompareAndSwap(false, true) {
			remaining = append(remaining, rw)
		}
	}
	go func() {
		for len(remaining) > 0 {
			remaining = w.transact(remaining)
		}
		select {
		case <-w.inFlightSemaphore:
		default: // the semaphore was not acquired because the writer is stopping
		}
	}()
}

// transact sends the batch as one transaction and returns the rows to be sent again.
func (w *writer) transact(batch []*rowWrite) []*rowWrite {
	id := w.newChangeID()
	writes := make([]tablestore.Write, len(batch))
	for i, rw := range batch {
		writes[i] = rw.write
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.callTimeout)
	defer cancel()
	result, err := w.table.Transact(ctx, id, writes)
	var conflict *tablestore.ConflictError
	switch {
	case err == nil && len(result.Versions) == len(batch):
		deliverApplied(batch, result)
		return nil
	case errors.As(err, &conflict):
		return w.separateConflicts(batch, conflict)
	case err != nil && provesNotWritten(err):
		deliverError(batch, err)
		return nil
	}
	return w.readBack(batch, id, &tablestore.OutcomeUnknownError{Op: "transact", ChangeID: id, Err: err})
}

// provesNotWritten reports whether err proves that no row was written. This holds only
// for errors that the contract of tablestore.Table defines so.
func provesNotWritten(err error) bool {
	var unavailable *tablestore.UnavailableError
	var limit *tablestore.LimitError
	return errors.As(err, &unavailable) || errors.As(err, &limit)
}

// deliverApplied sends each row its new version.
func deliverApplied(batch []*rowWrite, result tablestore.TransactResult) {
	for i, rw := range batch {
		row := tablestore.Row{Key: rw.write.Key, Version: result.Versions[i]}
		rw.done <- writeResult{status: writeApplied, row: row}
	}
}

// deliverError sends err to all rows.
func deliverError(batch []*rowWrite, err error) {
	for _, rw := range batch {
		rw.done <- writeResult{err: err, uncertainChangeIDs: rw.uncertainChangeIDs}
	}
}

// separateConflicts resolves the conflicting rows in the background and returns the
// others, which are to be sent again. If conflict names no row of the batch, it delivers
// conflict as the error of all rows.
func (w *writer) separateConflicts(batch []*rowWrite, conflict *tablestore.ConflictError) []*rowWrite {
	var toResend []*rowWrite
	for _, rw := range batch {
		if conflict.HasKey(rw.write.Key) {
			go w.resolveConflict(rw)
		} else {
			toResend = append(toResend, rw)
		}
	}
	if len(toResend) == len(batch) {
		deliverError(batch, conflict)
		return nil
	}
	return toResend
}

// resolveConflict reads the conflicting row and delivers the result. The row may have
// been written by an earlier transaction with rw whose reply was lost.
func (w *writer) resolveConflict(rw *rowWrite) {
	row, err := w.read(rw)
	if err != nil {
		rw.done <- writeResult{err: err, conflictUnreadable: true, uncertainChangeIDs: rw.uncertainChangeIDs}
		return
	}
	if writeStatusOf(row, rw.write.IfVersion, rw.uncertainChangeIDs) == writeApplied {
		rw.done <- writeResult{status: writeApplied, row: row}
		return
	}
	rw.done <- writeResult{status: writeConflict, row: row}
}

// readBack reads the rows of a transaction whose outcome is unknown, delivers the results
// that this reveals and returns the rows to be sent again.
func (w *writer) readBack(batch []*rowWrite, id string, cause error) []*rowWrite {
	again := make(chan *rowWrite, len(batch))
	for _, rw := range batch {
		rw.uncertainChangeIDs = append(rw.uncertainChangeIDs, id)
		rw.attempts++
		go func() { again <- w.readBackRow(rw, cause) }()
	}
	var toResend []*rowWrite
	for range batch {
		if rw := <-again; rw != nil {
			toResend = append(toResend, rw)
		}
	}
	return toResend
}

// readBackRow delivers the result of rw or returns rw to be sent again. A row that cannot
// be read is also sent again, which is safe because the write is conditional.
func (w *writer) readBackRow(rw *rowWrite, cause error) *rowWrite {
	row, err := w.read(rw)
	status := writeNotApplied
	if err == nil {
		status = writeStatusOf(row, rw.write.IfVersion, rw.uncertainChangeIDs)
	}
	switch {
	case status != writeNotApplied:
		rw.done <- writeResult{status: status, row: row}
		return nil
	case rw.attempts >= maxRowAttempts:
		rw.done <- writeResult{err: cause, uncertainChangeIDs: rw.uncertainChangeIDs}
		return nil
	}
	return rw
}

func (w *writer) read(rw *rowWrite) (tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.callTimeout)
	defer cancel()
	return w.table.Read(ctx, rw.write.Key)
}
