package dispatch

import (
	"slices"
	"time"
)

// Parameters of what servers say about themselves in their responses.
const (
	// MaxPause is the longest pause that a server may ask for.
	MaxPause = 10 * time.Minute
	// selfReportMemory is how long a self-report is remembered after the platform has stopped
	// listing the server. Its record may come back, for example from an outage.
	selfReportMemory = 10 * time.Minute
)

// Reasons of rejections because of what servers have said about themselves.
const (
	ReasonAllPaused  = "all servers have asked for a pause"
	ReasonAllLeaving = "all servers leave"
)

// selfReport is what a process of a server has said about itself. A later process under the same
// id starts anew.
type selfReport struct {
	incarnation int64
	leaving     bool      // it leaves: no new requests
	pausedUntil time.Time // it wants no requests of this instance until then
	unlistedAt  time.Time // zero while the platform lists the server
}

// Leaving reports whether the server has announced in a response that it leaves. It gets no new
// requests, whatever its record says.
func (s *Server) Leaving() bool { return s.leaving }

// PausedFor returns how long the server still wants no requests of this instance, 0 if it takes
// them.
func (s *Server) PausedFor(now time.Time) time.Duration { return max(0, s.pausedUntil.Sub(now)) }

// LeavingServers returns the ids of the servers that have announced that they leave, in order.
func (d *Dispatcher) LeavingServers() []string {
	return d.reporting(func(r selfReport) bool { return r.leaving })
}

// PausedServers returns the ids of the servers that want no requests of this instance, in order.
func (d *Dispatcher) PausedServers(now time.Time) []string {
	return d.reporting(func(r selfReport) bool { return now.Before(r.pausedUntil) })
}

func (d *Dispatcher) reporting(accept func(selfReport) bool) []string {
	var ids []string
	for id, report := range d.selfReports {
		if accept(report) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// applySelfReport takes what the response of an attempt says. A response of an earlier process
// under the same id does not count: it may arrive after the record of the later one.
func (d *Dispatcher) applySelfReport(s *Server, result AttemptResult, now time.Time) {
	if !result.Leaving && result.Pause <= 0 || result.Outcome == OutcomeMisdirected || result.Incarnation != s.Incarnation {
		return
	}
	s.leaving = s.leaving || result.Leaving
	if until := now.Add(min(result.Pause, MaxPause)); result.Pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
		s.resuming = true
	}
	d.selfReports[s.ID] = selfReport{incarnation: s.Incarnation, leaving: s.leaving, pausedUntil: s.pausedUntil}
}

// restoreSelfReport sets what the process of a listed server has said.
func (d *Dispatcher) restoreSelfReport(s *Server, now time.Time) {
	known, ok := d.selfReports[s.ID]
	if ok && known.incarnation != s.Incarnation {
		delete(d.selfReports, s.ID)
		known = selfReport{}
	}
	s.leaving, s.pausedUntil = known.leaving, known.pausedUntil
	s.resuming = s.resuming || now.Before(s.pausedUntil)
}

// expireSelfReports forgets ended pauses, and servers that have not been listed for
// selfReportMemory.
func (d *Dispatcher) expireSelfReports(listed map[string]bool, now time.Time) {
	for id, report := range d.selfReports {
		switch {
		case listed[id]:
			report.unlistedAt = time.Time{}
		case report.unlistedAt.IsZero():
			report.unlistedAt = now
		}
		gone := !report.unlistedAt.IsZero() && now.Sub(report.unlistedAt) > selfReportMemory
		if gone || !report.leaving && !now.Before(report.pausedUntil) {
			delete(d.selfReports, id)
			continue
		}
		d.selfReports[id] = report
	}
}

// awaitsResumption reports whether the server has just ended a pause and must not get another
// request until one has succeeded.
func (s *Server) awaitsResumption() bool { return s.resuming && s.ownInFlight > 0 }

// resumes reports whether a server of the pool has just ended a pause.
func (p *servicePool) resumes() bool {
	return slices.ContainsFunc(p.servers, func(s *Server) bool { return s.resuming })
}

// rejectWithoutServer returns the rejection of a request for which no server is eligible, with the
// time after which one is likely to be.
func (d *Dispatcher) rejectWithoutServer(r *Request, now time.Time) Decision {
	decision := Decision{Verdict: VerdictReject, Reason: "no usable server", RetryAfter: minEjection}
	pool := d.services[r.Service]
	if pool == nil {
		return decision
	}
	for _, s := range pool.servers {
		if !s.listedForUse() || !r.allows(s) {
			continue
		}
		switch paused := s.PausedFor(now); {
		case s.leaving && decision.Reason != ReasonAllPaused:
			decision.Reason = ReasonAllLeaving
		case !s.leaving && paused > 0 && (decision.Reason != ReasonAllPaused || paused < decision.RetryAfter):
			decision.Reason, decision.RetryAfter = ReasonAllPaused, paused
		}
	}
	return decision
}
