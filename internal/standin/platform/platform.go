// Package platform is a small stand-in for the platform: an in-memory table
// service, object store and instance list over HTTP/JSON, with faults that are
// switched at run time.
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

// Control paths of the stand-in, which a hosted platform does not have.
const (
	PathFault     = "/standin/fault"
	PathInstances = "/standin/instances"
)

// Fault is the body of a request to PathFault.
type Fault struct {
	Down      bool `json:"down"`       // every call fails without effect
	LoseReply bool `json:"lose_reply"` // writes take effect and their replies are lost
	DelayMS   int  `json:"delay_ms"`   // before a call takes effect
}

// Server serves the stand-in.
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

// ListenError reports an address that cannot be listened on.
type ListenError = listen.Error

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Serve serves until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// SetFault sets the fault of every later call.
func (s *Server) SetFault(f Fault) {
	slog.Info("stand-in fault set", "down", f.Down, "lose_reply", f.LoseReply, "delay_ms", f.DelayMS)
	s.Store.SetFault(func(op memory.Op) memory.Fault {
		return memory.Fault{
			Unavailable:      f.Down,
			LoseReply: f.LoseReply && (op.Kind == memory.OpTransact || op.Kind == memory.OpPut),
			Delay:     time.Duration(f.DelayMS) * time.Millisecond,
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
