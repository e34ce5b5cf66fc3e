package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is a report of the load endpoint. It can be up to Options.LoadLag old.
type Load struct {
	Server         string `json:"server"`
	Slots          int    `json:"slots"`
	InUse          int    `json:"in_use"`
	MaxConnections int    `json:"max_connections"`
	Connections    int    `json:"connections"`
	// ColdFactor is the factor by which the service time is raised during the warm-up
	// after a start, 1 when warm.
	ColdFactor float64 `json:"cold_factor"`
	// Requests counts all requests except health and load requests, Shed those of them
	// that were rejected with status 503. Both count since the process started.
	Requests uint64 `json:"requests"`
	Shed     uint64 `json:"shed"`
	// RefusedConnections counts connections that were closed because MaxConnections were
	// open.
	RefusedConnections uint64 `json:"refused_connections"`
	// PeakInUse is the maximum of InUse since the process started.
	PeakInUse int       `json:"peak_in_use"`
	State     State     `json:"state"`
	At        time.Time `json:"at"`
}

// Load returns the report of the load endpoint, which may be outdated as configured by
// Options.LoadLag and Behavior.FreezeLoad.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.repeatLastReportLocked() {
		return s.lastReport
	}
	s.lastReport = s.currentLoadLocked()
	return s.lastReport
}

// repeatLastReportLocked reports whether the load endpoint repeats its last report.
func (s *Server) repeatLastReportLocked() bool {
	if s.lastReport.At.IsZero() {
		return false
	}
	return s.behavior.FreezeLoad || time.Since(s.lastReport.At) < s.fleet.options.LoadLag
}

// CurrentLoad returns the load at this moment.
func (s *Server) CurrentLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLoadLocked()
}

func (s *Server) currentLoadLocked() Load {
	now := time.Now()
	o := s.fleet.options
	return Load{
		Server:             s.spec.Name,
		Slots:              s.spec.Slots,
		InUse:              int(s.inFlight.Load()),
		MaxConnections:     s.spec.Connections,
		Connections:        len(s.conns),
		ColdFactor:         coldFactor(now.Sub(s.startedAt), o.ColdStart, o.ColdFactor),
		Requests:           s.requestCount.Load(),
		Shed:               s.shedCount.Load(),
		RefusedConnections: s.refusedConnections,
		PeakInUse:          int(s.peakInFlight.Load()),
		State:              s.state,
		At:                 now,
	}
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, s.Load())
}

// healthResponse is the response body of the health endpoint.
type healthResponse struct {
	Status string `json:"status"`
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.fleet.options.ProbeTime) {
		return
	}
	if s.healthy() {
		writeJSON(w, http.StatusOK, healthResponse{Status: "ok"})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, healthResponse{Status: "unavailable"})
}

func (s *Server) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.behavior.Health {
	case HealthFine:
		return true
	case HealthBad:
		return false
	default:
		return s.state == StateServing && !s.behavior.Shed
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
