// Package kernel is the micro-kernel of a process: a registry through which services find each
// other by dotted name, and the life cycle that all services share.
//
// The package contains only the registry and the life cycle. The services are in packages of
// their own, which this package must not import.
package kernel

import (
	"context"
	"log/slog"
	"sync"
)

// Service is a named component of a process.
//
// The registry calls Provision, Validate and Start in dependency order, and
// Drain and Stop in reverse dependency order. Drain and Stop are called only
// after Start was called.
type Service interface {
	// Name returns the dotted name that the service registers under, for
	// example "platform.http".
	Name() string

	// Requires returns the names of the services that must be provisioned before this one.
	Requires() []string

	// Provision looks up the required services and initializes the service's state. It
	// opens no sockets and starts no goroutines.
	Provision(r Resolver) error

	// Validate checks the state that Provision initialized.
	Validate() error

	// Start opens listeners, starts goroutines and returns without waiting for the
	// service to end. ctx applies only to the call itself.
	Start(ctx context.Context) error

	// Drain stops accepting new work and waits, until ctx ends, for the work in progress.
	Drain(ctx context.Context) error

	// Stop releases everything that Start acquired.
	Stop(ctx context.Context) error
}

// Resolver finds registered services by name.
type Resolver interface {
	// Lookup returns the service with the given name.
	Lookup(name string) (Service, bool)
}

// Find returns the service registered under name as type T. It returns a
// *NotRegisteredError or a *TypeMismatchError.
func Find[T any](r Resolver, name string) (T, error) {
	var zero T
	service, ok := r.Lookup(name)
	if !ok {
		return zero, &NotRegisteredError{Name: name}
	}
	typed, ok := service.(T)
	if !ok {
		return zero, &TypeMismatchError{Name: name, Service: service}
	}
	return typed, nil
}

// Base has no-op implementations of the Service methods except Name. It is embedded by services
// that need only some of the methods; they must define Name.
type Base struct{}

// Requires returns no names.
func (Base) Requires() []string { return nil }

// Provision does nothing.
func (Base) Provision(Resolver) error { return nil }

// Validate does nothing.
func (Base) Validate() error { return nil }

// Start does nothing.
func (Base) Start(context.Context) error { return nil }

// Drain does nothing.
func (Base) Drain(context.Context) error { return nil }

// Stop does nothing.
func (Base) Stop(context.Context) error { return nil }

// Registry holds the services of one process and runs their life cycle.
type Registry struct {
	log *slog.Logger

	mu       sync.Mutex
	services map[string]Service
	names    []string  // registration order
	started  []Service // in start order
}

// New returns an empty registry that logs life cycle events to log.
func New(log *slog.Logger) *Registry {
	return &Registry{log: log, services: make(map[string]Service)}
}

// Register adds a service. It returns a *DuplicateNameError if the name is taken.
func (r *Registry) Register(s Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := s.Name()
	if _, taken := r.services[name]; taken {
		return &DuplicateNameError{Name: name}
	}
	r.services[name] = s
	r.names = append(r.names, name)
	return nil
}

// Lookup implements Resolver.
func (r *Registry) Lookup(name string) (Service, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[name]
	return s, ok
}

// Start provisions, validates and starts every service in dependency order. If
// a service fails to start, those already started are stopped in reverse order.
// It returns a *NotRegisteredError, a *DependencyCycleError or a *PhaseError.
func (r *Registry) Start(ctx context.Context) error {
	order, err := r.order()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Provision(r); err != nil {
			return &PhaseError{Service: s.Name(), Phase: PhaseProvision, Err: err}
		}
	}
	for _, s := range order {
		if err := s.Validate(); err != nil {
			return &PhaseError{Service: s.Name(), Phase: PhaseValidate, Err: err}
		}
	}
	for _, s := range order {
		if err := s.Start(ctx); err != nil {
			r.stopStarted(ctx)
			return &PhaseError{Service: s.Name(), Phase: PhaseStart, Err: err}
		}
		r.started = append(r.started, s)
		r.log.Debug("service started", "service", s.Name())
	}
	return nil
}

// Drain drains every started service in reverse dependency order. It drains all
// of them even if one fails, and returns the first *PhaseError.
func (r *Registry) Drain(ctx context.Context) error {
	var firstErr error
	for i := len(r.started) - 1; i >= 0; i-- {
		s := r.started[i]
		err := s.Drain(ctx)
		if err == nil {
			continue
		}
		r.log.Warn("service drain failed", "service", s.Name(), "error", err)
		if firstErr == nil {
			firstErr = &PhaseError{Service: s.Name(), Phase: PhaseDrain, Err: err}
		}
	}
	return firstErr
}

// Stop stops every started service in reverse dependency order. It stops all of
// them even if one fails, and returns the first *PhaseError.
func (r *Registry) Stop(ctx context.Context) error {
	return r.stopStarted(ctx)
}

func (r *Registry) stopStarted(ctx context.Context) error {
	var firstErr error
	for i := len(r.started) - 1; i >= 0; i-- {
		s := r.started[i]
		err := s.Stop(ctx)
		if err == nil {
			continue
		}
		r.log.Warn("service stop failed", "service", s.Name(), "error", err)
		if firstErr == nil {
			firstErr = &PhaseError{Service: s.Name(), Phase: PhaseStop, Err: err}
		}
	}
	r.started = nil
	return firstErr
}

// order returns the services in dependency order: each one after those that it requires.
func (r *Registry) order() ([]Service, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorter := sorter{services: r.services, state: make(map[string]visitState, len(r.names))}
	for _, name := range r.names {
		if err := sorter.visit(name, nil); err != nil {
			return nil, err
		}
	}
	return sorter.order, nil
}

type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// sorter performs a depth-first topological sort over Requires.
type sorter struct {
	services map[string]Service
	state    map[string]visitState // by service name
	order    []Service             // visited services, in dependency order
}

// visit appends the named service to order, after the services that it requires. path has the
// names of the services that led to it, for errors.
func (t *sorter) visit(name string, path []string) error {
	s, ok := t.services[name]
	if !ok {
		return &NotRegisteredError{Name: name, RequiredBy: lastName(path)}
	}
	path = append(path, name)
	switch t.state[name] {
	case visited:
		return nil
	case visiting:
		return &DependencyCycleError{Path: append([]string(nil), path...)}
	}
	t.state[name] = visiting
	for _, required := range s.Requires() {
		if err := t.visit(required, path); err != nil {
			return err
		}
	}
	t.state[name] = visited
	t.order = append(t.order, s)
	return nil
}

func lastName(path []string) string {
	if len(path) == 0 {
		return ""
	}
	return path[len(path)-1]
}
