// Package logline writes log lines in the background, so that logging never blocks the
// caller. Lines that do not fit the bounded buffer, because they arrive faster than it is
// flushed, are dropped and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes is the maximum number of bytes buffered between two flushes.
	bufferBytes = 256 << 10
	// flushInterval is the time over which lines are collected into one write.
	flushInterval = 200 * time.Millisecond
)

// Writer is an io.Writer that buffers lines and writes them to its destination from a
// goroutine of its own. Each call of Write must pass one complete line.
type Writer struct {
	out io.Writer

	mu           sync.Mutex
	buffered     []byte
	droppedLines int
	wake         chan struct{}
	closed       bool
	done         chan struct{}
}

// New returns a Writer to out. Call Close to flush it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails: a line that does not fit the buffer, or
// arrives after Close, is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffered)+len(line) > bufferBytes {
		w.droppedLines++
		return len(line), nil
	}
	wasEmpty := len(w.buffered) == 0
	w.buffered = append(w.buffered, line...)
	if wasEmpty {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// DroppedLines returns the number of lines dropped so far.
func (w *Writer) DroppedLines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedLines
}

func (w *Writer) run() {
	defer close(w.done)
	reportedDrops := 0
	var spareBuffer []byte
	for range w.wake {
		time.Sleep(flushInterval)
		w.mu.Lock()
		lines, closed, dropped := w.buffered, w.closed, w.droppedLines
		w.buffered = spareBuffer[:0]
		w.mu.Unlock()
		if dropped > reportedDrops {
			lines = append(lines, fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"log lines dropped: log buffer full or closed\",\"count\":%d}\n", dropped-reportedDrops)...)
			reportedDrops = dropped
		}
		// A failed write is ignored: there is no other log to report it to.
		_, _ = w.out.Write(lines)
		spareBuffer = lines
		if closed {
			return
		}
	}
}

// Close flushes the buffered lines. It waits for the flush at most for the given timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
