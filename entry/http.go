package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/justinas/alice"

	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/problem"
)

// HTTP bounds. Uploads are slow on purpose, so there is no bound for a whole
// request; the data path bounds the time without progress.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// httpService serves a handler on a listener. Its Drain waits for requests in
// progress.
type httpService struct {
	kernel.Base
	name     string
	requires []string
	listener net.Listener
	handler  func(kernel.Resolver) (http.Handler, error) // called in Provision
	// beforeDrain runs before new connections are refused.
	beforeDrain func(context.Context)
	log         *slog.Logger

	server *http.Server
	done   sync.WaitGroup
}

// Name implements kernel.Service.
func (s *httpService) Name() string { return s.name }

// Requires implements kernel.Service.
func (s *httpService) Requires() []string { return s.requires }

// Provision implements kernel.Service.
func (s *httpService) Provision(r kernel.Resolver) error {
	handler, err := s.handler(r)
	if err != nil {
		return err
	}
	chain := alice.New(recoverPanics(s.log))
	s.server = &http.Server{
		Handler:           chain.Then(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	return nil
}

// Start implements kernel.Service.
func (s *httpService) Start(context.Context) error {
	s.done.Go(func() {
		err := s.server.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP listener failed", "service", s.name, "error", err)
		}
	})
	return nil
}

// Drain implements kernel.Service. It returns a *DrainError if requests were
// still in progress when ctx ended.
func (s *httpService) Drain(ctx context.Context) error {
	if s.beforeDrain != nil {
		s.beforeDrain(ctx)
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return &DrainError{Service: s.name, Err: err}
	}
	return nil
}

// Stop implements kernel.Service.
func (s *httpService) Stop(context.Context) error {
	err := s.server.Close()
	s.done.Wait()
	return err
}

// DrainError reports requests that were in progress when the time to drain ended.
type DrainError struct {
	Service string
	Err     error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("requests of service %q were still in progress: %v", e.Service, e.Err)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// recoverPanics answers a request whose handler panicked. The connection breaks
// if the response had started.
func recoverPanics(log *slog.Logger) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				cause := recover()
				if cause == nil {
					return
				}
				if cause != http.ErrAbortHandler {
					log.Error("handler panicked", "path", r.URL.Path, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
				}
				panic(http.ErrAbortHandler)
			}()
			next.ServeHTTP(w, r)
		})
	}
}

// notFound answers paths outside the interface.
func notFound(w http.ResponseWriter, r *http.Request) {
	problem.New(problem.TypeNotFound, http.StatusNotFound, problem.RanNo, "path %q does not exist", r.URL.Path).Write(w)
}
