package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is a report of the load endpoint. It lags by up to Options.LoadLag.
type Load struct {
	Server         string `json:"server"`
	Slots          int    `json:"slots"`
	InUse          int    `json:"in_use"`
	MaxConnections int    `json:"max_connections"`
	Connections    int    `json:"connections"`
	// ColdFactor is the factor of the service time after a start, 1 when warm.
	ColdFactor float64 `json:"cold_factor"`
	// Requests and Shed count since the process started.
	Requests uint64 `json:"requests"`
	Shed     uint64 `json:"shed"`
	// RefusedConnections counts connections beyond MaxConnections.
	RefusedConnections uint64 `json:"refused_connections"`
	// PeakInUse is the most slots in use at once since the process started.
	PeakInUse int       `json:"peak_in_use"`
	State     State     `json:"state"`
	At        time.Time `json:"at"`
}

// Load returns the report that the load endpoint gives, which may be old.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportIsCurrentLocked() {
		return s.report
	}
	s.report = s.currentLoadLocked()
	return s.report
}

func (s *Server) reportIsCurrentLocked() bool {
	if s.report.At.IsZero() {
		return false
	}
	return s.behavior.FreezeLoad || time.Since(s.report.At) < s.fleet.options.LoadLag
}

// CurrentLoad returns the load without lag.
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
		InUse:              int(s.inUse.Load()),
		MaxConnections:     s.spec.Connections,
		Connections:        len(s.conns),
		ColdFactor:         coldFactor(now.Sub(s.startedAt), o.ColdStart, o.ColdFactor),
		Requests:           s.requests.Load(),
		Shed:               s.shed.Load(),
		RefusedConnections: s.refused,
		PeakInUse:          int(s.peak.Load()),
		State:              s.state,
		At:                 now,
	}
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, s.Load())
}

// healthAnswer is the body of the health endpoint.
type healthAnswer struct {
	Status string `json:"status"`
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.fleet.options.ProbeTime) {
		return
	}
	if s.healthy() {
		writeJSON(w, http.StatusOK, healthAnswer{Status: "ok"})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, healthAnswer{Status: "unavailable"})
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
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
