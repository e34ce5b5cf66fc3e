// Package logline writes log lines without blocking the writer. Lines that do not
// fit a bounded buffer or exceed a rate are left out and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a Writer.
const (
	bufferBytes = 256 << 10
	// flushInterval groups lines into one write.
	flushInterval = 200 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks on its destination. Each Write is
// one line.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a writer to out. Close flushes it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails: a line without room is counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	first := len(w.buffer) == 0
	w.buffer = append(w.buffer, line...)
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// DroppedLines returns the number of lines left out so far.
func (w *Writer) DroppedLines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *Writer) run() {
	defer close(w.done)
	reported := 0
	var spare []byte
	for range w.wake {
		time.Sleep(flushInterval)
		w.mu.Lock()
		lines, closed, dropped := w.buffer, w.closed, w.dropped
		w.buffer = spare[:0]
		w.mu.Unlock()
		if dropped > reported {
			lines = append(lines, fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"log lines were left out\",\"count\":%d}\n", dropped-reported)...)
			reported = dropped
		}
		// Nothing is left to report a failing log to.
		_, _ = w.out.Write(lines)
		spare = lines
		if closed {
			return
		}
	}
}

// Close writes what is buffered, waiting at most for the given time.
func (w *Writer) Close(wait time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}
