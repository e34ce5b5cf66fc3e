package claims

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
)

const (
	// maxInFlight is the number of transactions in progress. When all are in
	// use, rows wait and the next batches get larger.
	maxInFlight = 16
	// maxAttempts bounds the transactions that one row takes part in after lost
	// replies. Rows that are still unresolved fail as uncertain.
	maxAttempts = 3
)

// rowWrite is one conditional write that waits in the writer.
type rowWrite struct {
	write tablestore.Write
	// uncertain holds the change ids of transactions whose reply was lost.
	uncertain []string
	attempts  int
	taken     atomic.Bool // set by the writer before sending, or by cancel
	done      chan writeResult
}

func newRowWrite(w tablestore.Write, uncertain []string) *rowWrite {
	return &rowWrite{write: w, uncertain: uncertain, done: make(chan writeResult, 1)}
}

// cancel withdraws the write. It returns false when the writer already has it.
func (rw *rowWrite) cancel() bool { return rw.taken.CompareAndSwap(false, true) }

// writeResult is what became of a rowWrite.
type writeResult struct {
	// err is nil when the write was applied or is in conflict.
	err error
	// fate is valid when err is nil: fateApplied or fateConflict.
	fate writeFate
	// row is the written row (key and version) or the conflicting row.
	row tablestore.Row
	// conflict is set with err when another row version exists but could not be
	// read.
	conflict bool
	// uncertain is set with err to the change ids that may still be applied.
	uncertain []string
}

// writer collects the rows of concurrent requests into transactions. It calls
// the platform with its own contexts, so that a cancelled request does not
// disturb the others in its batch.
type writer struct {
	ctx         context.Context
	table       tablestore.Table
	linger      time.Duration
	maxBatch    int
	callTimeout time.Duration
	newChangeID func() string
	queue       chan *rowWrite
	slots       chan struct{}
}

func newWriter(ctx context.Context, table tablestore.Table, c Config, newChangeID func() string) *writer {
	return &writer{
		ctx:         ctx,
		table:       table,
		linger:      c.BatchDelay,
		maxBatch:    c.MaxBatchRows,
		callTimeout: c.CallTimeout,
		newChangeID: newChangeID,
		queue:       make(chan *rowWrite),
		slots:       make(chan struct{}, maxInFlight),
	}
}

// do submits rw and waits for its result. When ctx ends first, it returns the
// error of ctx and whether the writer may still apply rw.
func (w *writer) do(ctx context.Context, rw *rowWrite) (res writeResult, inFlight bool, err error) {
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
	var held *rowWrite
	for {
		first := held
		if first == nil {
			select {
			case first = <-w.queue:
			case <-w.ctx.Done():
				return
			}
		}
		var batch []*rowWrite
		batch, held = w.collect(first)
		w.dispatch(batch)
	}
}

// collect waits for more rows. A row whose key is already in the batch starts
// the next one, because a transaction writes each row once.
func (w *writer) collect(first *rowWrite) (batch []*rowWrite, held *rowWrite) {
	batch = []*rowWrite{first}
	keys := map[string]bool{first.write.Key: true}
	timer := time.NewTimer(w.linger)
	defer timer.Stop()
	for len(batch) < w.maxBatch {
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

// dispatch sends the batch in the background, without its cancelled rows.
func (w *writer) dispatch(batch []*rowWrite) {
	select {
	case w.slots <- struct{}{}:
	case <-w.ctx.Done():
	}
	live := batch[:0]
	for _, rw := range batch {
		if rw.taken.CompareAndSwap(false, true) {
			live = append(live, rw)
		}
	}
	go func() {
		for len(live) > 0 {
			live = w.transact(live)
		}
		select {
		case <-w.slots:
		default: // the slot was not taken because the writer is closing
		}
	}()
}

// transact sends one transaction and returns the rows to send again.
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
		return w.removeConflicts(batch, conflict)
	case err != nil && notWritten(err):
		deliverError(batch, err)
		return nil
	}
	return w.readBack(batch, id, &tablestore.OutcomeUnknownError{Op: "transact", ChangeID: id, Err: err})
}

// notWritten reports whether err proves that nothing was written. Errors that
// the platform contract does not name prove nothing.
func notWritten(err error) bool {
	var unavailable *tablestore.UnavailableError
	var limit *tablestore.LimitError
	return errors.As(err, &unavailable) || errors.As(err, &limit)
}

func deliverApplied(batch []*rowWrite, result tablestore.TransactResult) {
	for i, rw := range batch {
		row := tablestore.Row{Key: rw.write.Key, Version: result.Versions[i]}
		rw.done <- writeResult{fate: fateApplied, row: row}
	}
}

func deliverError(batch []*rowWrite, err error) {
	for _, rw := range batch {
		rw.done <- writeResult{err: err, uncertain: rw.uncertain}
	}
}

// removeConflicts takes the conflicting rows out and returns the others.
func (w *writer) removeConflicts(batch []*rowWrite, conflict *tablestore.ConflictError) []*rowWrite {
	var rest []*rowWrite
	for _, rw := range batch {
		if conflict.HasKey(rw.write.Key) {
			go w.resolveConflict(rw)
		} else {
			rest = append(rest, rw)
		}
	}
	if len(rest) == len(batch) {
		deliverError(batch, conflict)
		return nil
	}
	return rest
}

// resolveConflict reads the conflicting row. The row may be our own, when the
// reply of an earlier transaction was lost.
func (w *writer) resolveConflict(rw *rowWrite) {
	row, err := w.read(rw)
	if err != nil {
		rw.done <- writeResult{err: err, conflict: true, uncertain: rw.uncertain}
		return
	}
	if fateOf(row, rw.write.IfVersion, rw.uncertain) == fateApplied {
		rw.done <- writeResult{fate: fateApplied, row: row}
		return
	}
	rw.done <- writeResult{fate: fateConflict, row: row}
}

// readBack resolves a transaction whose reply was lost and returns the rows to
// send again.
func (w *writer) readBack(batch []*rowWrite, id string, cause error) []*rowWrite {
	again := make(chan *rowWrite, len(batch))
	for _, rw := range batch {
		rw.uncertain = append(rw.uncertain, id)
		rw.attempts++
		go func() { again <- w.readBackRow(rw, cause) }()
	}
	var rest []*rowWrite
	for range batch {
		if rw := <-again; rw != nil {
			rest = append(rest, rw)
		}
	}
	return rest
}

// readBackRow delivers the result of rw or returns rw to be sent again. A row
// that cannot be read is sent again too: its condition keeps that safe.
func (w *writer) readBackRow(rw *rowWrite, cause error) *rowWrite {
	row, err := w.read(rw)
	fate := fatePending
	if err == nil {
		fate = fateOf(row, rw.write.IfVersion, rw.uncertain)
	}
	switch {
	case fate != fatePending:
		rw.done <- writeResult{fate: fate, row: row}
		return nil
	case rw.attempts >= maxAttempts:
		rw.done <- writeResult{err: cause, uncertain: rw.uncertain}
		return nil
	}
	return rw
}

func (w *writer) read(rw *rowWrite) (tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.callTimeout)
	defer cancel()
	return w.table.Read(ctx, rw.write.Key)
}
