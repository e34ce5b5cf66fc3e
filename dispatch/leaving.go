package dispatch

import (
	"maps"
	"slices"
	"time"
)

// leavingMemory is how long a server that has announced that it leaves is remembered after the
// platform has stopped listing it. Its record may come back, for example from an outage.
const leavingMemory = 10 * time.Minute

// leavingServer is a server that has announced in a response that it leaves.
type leavingServer struct {
	incarnation int64     // process that announced it; a later one starts anew
	unlistedAt  time.Time // zero while the platform lists the server
}

// Leaving reports whether the server has announced in a response that it leaves. It gets no new
// requests, whatever its record says.
func (s *Server) Leaving() bool { return s.leaving }

// LeavingServers returns the ids of the servers that have announced that they leave.
func (d *Dispatcher) LeavingServers() []string { return slices.Sorted(maps.Keys(d.leaving)) }

// applyLeaving takes the announcement in the response of an attempt. An announcement of an earlier
// process under the same id does not count: the response may arrive after the record of the
// later one.
func (d *Dispatcher) applyLeaving(s *Server, result AttemptResult) {
	if !result.Leaving || result.Outcome == OutcomeMisdirected || result.Incarnation != s.Incarnation {
		return
	}
	s.leaving = true
	d.leaving[s.ID] = leavingServer{incarnation: s.Incarnation}
}

// restoreLeaving sets whether a listed server has announced that it leaves.
func (d *Dispatcher) restoreLeaving(s *Server) {
	known, ok := d.leaving[s.ID]
	s.leaving = ok && known.incarnation == s.Incarnation
	if ok && !s.leaving {
		delete(d.leaving, s.ID)
	}
}

// forgetLeaving forgets servers that have not been listed for leavingMemory.
func (d *Dispatcher) forgetLeaving(listed map[string]bool, now time.Time) {
	for id, known := range d.leaving {
		switch {
		case listed[id]:
			known.unlistedAt = time.Time{}
		case known.unlistedAt.IsZero():
			known.unlistedAt = now
		case now.Sub(known.unlistedAt) > leavingMemory:
			delete(d.leaving, id)
			continue
		}
		d.leaving[id] = known
	}
}
