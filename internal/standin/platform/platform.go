// Package platform implements the platform stand-in for tests and the demo: an in-memory
// table service, object store and instance list, served over HTTP/JSON, with faults that
// can be switched at run time.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/listen"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpserver"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// Paths of the stand-in's control API. A hosted platform does not have them.
const (
	PathFault     = "/standin/fault"
	PathInstances = "/standin/instances"
)

// Fault is the body of a request to PathFault. The zero value is no fault.
type Fault struct {
	Down      bool `json:"down"`       // every call fails and has no effect
	LoseReply bool `json:"lose_reply"` // writes take effect but their replies are lost
	DelayMS   int  `json:"delay_ms"`   // delay in milliseconds before a call takes effect
}

// Server is the HTTP server of the stand-in.
type Server struct {
	Store *memory.Store

	http     *http.Server
	listener net.Listener
}

// NewServer returns a server that listens on address, an IP:port.
func NewServer(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	s := &Server{Store: memory.New(), listener: listener}
	mux := http.NewServeMux()
	mux.Handle("/", httpserver.New(s.Store))
	mux.HandleFunc("PUT "+PathFault, s.setFault)
	mux.HandleFunc("PUT "+PathInstances, s.setInstances)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return s, nil
}

// ListenError reports an address on which a listener could not be opened.
type ListenError = listen.Error

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Serve serves until ctx is done and then returns nil.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// SetFault sets the fault of all later calls.
func (s *Server) SetFault(f Fault) {
	slog.Info("platform stand-in fault set", "down", f.Down, "lose_reply", f.LoseReply, "delay_ms", f.DelayMS)
	s.Store.SetFault(func(op memory.Op) memory.Fault {
		return memory.Fault{
			Unavailable: f.Down,
			LoseReply:   f.LoseReply && (op.Kind == memory.OpTransact || op.Kind == memory.OpPut),
			Delay:       time.Duration(f.DelayMS) * time.Millisecond,
		}
	})
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var instances []tablestore.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Store.SetInstances(instances, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
