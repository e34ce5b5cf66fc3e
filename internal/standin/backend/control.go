package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/problem"
)

// AllServers is the name that addresses every server in the control API.
const AllServers = "all"

// defaultCrashDowntime is the time that a server stays down after a request with
// HeaderCrash.
const defaultCrashDowntime = 500 * time.Millisecond

// DrainRequest is the body of POST /servers/{name}/drain.
type DrainRequest struct {
	// Announce sends "Connection: close" with the responses while draining.
	Announce bool `json:"announce"`
	// Notice is the time for which the server goes on serving, with "Connection: close"
	// in its responses, before the drain starts. It requires Announce.
	Notice config.Duration `json:"notice,omitempty"`
}

// RestartRequest is the body of POST /servers/{name}/restart.
type RestartRequest struct {
	// Downtime is the time between the crash and the start.
	Downtime config.Duration `json:"downtime"`
}

// ServerStatus is one element of the response to GET /servers.
type ServerStatus struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	State    State    `json:"state"`
	Behavior Behavior `json:"behavior"`
	Load     Load     `json:"load"`
}

// Control returns the handler of the control API:
//
//	GET  /servers                  response: list of ServerStatus
//	POST /servers/{name}/behavior  request: Behavior
//	POST /servers/{name}/drain     request: DrainRequest
//	POST /servers/{name}/restart   request: RestartRequest
//	POST /servers/{name}/crash     request: no body
//	GET  /executions               response: Summary
//	GET  /executions/{key}         response: Execution
//
// The name "all" addresses every server. Error responses are problem documents.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.Status())
	})
	mux.HandleFunc("POST /servers/{name}/behavior", decodeAndApply(f, (*Server).SetBehavior))
	mux.HandleFunc("POST /servers/{name}/drain", decodeAndApply(f, (*Server).drainRequest))
	mux.HandleFunc("POST /servers/{name}/restart", decodeAndApply(f, (*Server).restartRequest))
	mux.HandleFunc("POST /servers/{name}/crash", func(w http.ResponseWriter, r *http.Request) {
		f.applyToNamed(w, r, (*Server).Crash)
	})
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.journal.Summary())
	})
	mux.HandleFunc("GET /executions/{key}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, f.journal.Execution(r.PathValue("key")))
	})
	return mux
}

// Status returns the state and current load of every server.
func (f *Fleet) Status() []ServerStatus {
	status := make([]ServerStatus, len(f.servers))
	for i, s := range f.servers {
		status[i] = ServerStatus{
			Name:     s.Name(),
			Address:  s.Address(),
			State:    s.State(),
			Behavior: s.Behavior(),
			Load:     s.CurrentLoad(),
		}
	}
	return status
}

func (s *Server) drainRequest(d DrainRequest) {
	if d.Announce && d.Notice > 0 {
		s.AnnounceDrain(d.Notice.Std())
		return
	}
	s.Drain(d.Announce)
}

func (s *Server) restartRequest(r RestartRequest) { s.Restart(r.Downtime.Std()) }

// decodeAndApply returns a handler that decodes the body of a control request and applies
// it to the servers named in the path.
func decodeAndApply[T any](f *Fleet, apply func(*Server, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&body); err != nil {
			problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "%v", err).Write(w)
			return
		}
		f.applyToNamed(w, r, func(s *Server) { apply(s, body) })
	}
}

// applyToNamed applies a control request to the servers named in its path and responds.
func (f *Fleet) applyToNamed(w http.ResponseWriter, r *http.Request, apply func(*Server)) {
	servers, err := f.serversNamed(r.PathValue("name"))
	if err != nil {
		problem.New(problem.TypeNotFound, http.StatusNotFound, problem.DidNotRun, "%v", err).Write(w)
		return
	}
	for _, s := range servers {
		apply(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) serversNamed(name string) ([]*Server, error) {
	if name == AllServers {
		return f.servers, nil
	}
	s, err := f.Server(name)
	if err != nil {
		return nil, err
	}
	return []*Server{s}, nil
}

// crashDowntime returns the time that a server stays down after a request with HeaderCrash.
func (f *Fleet) crashDowntime() time.Duration {
	if f.options.CrashDowntime > 0 {
		return f.options.CrashDowntime
	}
	return defaultCrashDowntime
}
