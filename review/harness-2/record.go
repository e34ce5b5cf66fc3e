package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// event is something that a client sent or got, or that a server did.
type event struct {
	at    time.Time
	what  string
	id    string
	where string
	size  int64
	sum   uint32
	note  string
	took  time.Duration // of a request, until its answer or the end of its connection

	status int  // of an answer
	sealed bool // the answer has the seal of a server
	order  bool // the answer is to a request that isn't idempotent
}

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	events  []event
	lines   []string // of the summary
}

func newRecord() *record { return &record{started: time.Now()} }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.at.IsZero() {
		e.at = time.Now()
	}
	r.events = append(r.events, e)
}

// send sends a request and records what came of it.
func (r *record) send(c *client, where string, next request) answer {
	reused := c.conn != nil
	r.add(event{what: "sent", id: next.id, where: where, size: int64(len(next.body)), note: connectionNote(reused)})
	a := c.do(next)
	if a.status == 0 {
		r.add(event{what: "got nothing", id: next.id, where: where, took: a.took, note: fmt.Sprintf("no answer, on a %s connection", connectionNote(reused))})
	} else {
		sealed := a.header.Get(headerNames.Seal) != ""
		note := fmt.Sprintf("status %d", a.status)
		if a.status == http.StatusOK && !sealed {
			note += " without a seal"
		}
		r.add(event{what: "got", id: next.id, where: where, took: a.took, note: note, status: a.status, sealed: sealed, order: next.method != http.MethodGet})
	}
	return a
}

func connectionNote(reused bool) string {
	if reused {
		return "kept"
	}
	return "new"
}

// say adds a line to the summary and prints it.
func (r *record) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// write writes the record to a file: the summary, then a line for each request.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	for _, line := range r.lines {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintln(out, "\nA line for each request, in the order of sending; times in seconds from the start of the case.")
	byID := make(map[string][]event)
	var ids []string
	for _, e := range r.events {
		if byID[e.id] == nil {
			ids = append(ids, e.id)
		}
		byID[e.id] = append(byID[e.id], e)
	}
	for _, id := range ids {
		fmt.Fprint(out, id)
		for _, e := range byID[id] {
			fmt.Fprintf(out, " | %.3f %s", e.at.Sub(r.started).Seconds(), e)
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}

// String describes the event without its time and request.
func (e event) String() string {
	text := e.what
	if e.where != "" {
		text += " " + e.where
	}
	if e.size > 0 {
		text += fmt.Sprintf(" %d bytes", e.size)
	}
	if e.sum > 0 {
		text += fmt.Sprintf(" crc %08x", e.sum)
	}
	if e.took > 0 {
		text += fmt.Sprintf(" after %.3f", e.took.Seconds())
	}
	if e.note != "" {
		text += " " + e.note
	}
	return text
}
