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

// HTTP server limits. There is no timeout for a whole request, since slow uploads are
// legitimate; the data path bounds the time without progress instead.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// httpService is a kernel service that serves an HTTP handler on a listener. Its Drain
// waits for in-flight requests.
type httpService struct {
	kernel.Base
	name       string
	requires   []string
	listener   net.Listener
	newHandler func(kernel.Resolver) (http.Handler, error) // called by Provision
	// beforeDrain, if not nil, runs before new connections are refused.
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
	handler, err := s.newHandler(r)
	if err != nil {
		return err
	}
	chain := alice.New(logPanics(s.log))
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
			s.log.Error("HTTP server failed", "service", s.name, "error", err)
		}
	})
	return nil
}

// Drain implements kernel.Service. It returns a *DrainError if requests were still in
// flight when ctx ended.
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

// DrainError reports an HTTP service that still had requests in flight when the time
// for its drain ended.
type DrainError struct {
	Service string
	Err     error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("drain of service %q ended with requests in flight: %v", e.Service, e.Err)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// logPanics logs a panic of the handler with its stack and aborts the connection.
// http.ErrAbortHandler is not logged, since handlers use it to abort on purpose.
func logPanics(log *slog.Logger) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				cause := recover()
				if cause == nil {
					return
				}
				if cause != http.ErrAbortHandler {
					log.Error("HTTP handler panicked", "path", r.URL.Path, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
				}
				panic(http.ErrAbortHandler)
			}()
			next.ServeHTTP(w, r)
		})
	}
}

// serveNotFound answers requests for paths that are not part of the API.
func serveNotFound(w http.ResponseWriter, r *http.Request) {
	problem.New(problem.TypeNotFound, http.StatusNotFound, problem.DidNotRun, "path %q does not exist", r.URL.Path).Write(w)
}
