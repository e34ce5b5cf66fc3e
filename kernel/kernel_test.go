package kernel

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"
)

// fakeService records the life cycle phases that the registry calls.
type fakeService struct {
	Base
	name     string
	requires []string
	calls    *[]string // "phase name", shared by the services of a test
	failOn   Phase     // returns errInjected
}

var errInjected = errors.New("injected failure")

func (s *fakeService) Name() string                { return s.name }
func (s *fakeService) Requires() []string          { return s.requires }
func (s *fakeService) Provision(Resolver) error    { return s.record(PhaseProvision) }
func (s *fakeService) Start(context.Context) error { return s.record(PhaseStart) }
func (s *fakeService) Drain(context.Context) error { return s.record(PhaseDrain) }
func (s *fakeService) Stop(context.Context) error  { return s.record(PhaseStop) }

func (s *fakeService) record(p Phase) error {
	*s.calls = append(*s.calls, string(p)+" "+s.name)
	if s.failOn == p {
		return errInjected
	}
	return nil
}

func newTestRegistry(t *testing.T, services ...*fakeService) (*Registry, *[]string) {
	t.Helper()
	calls := new([]string)
	r := New(slog.New(slog.DiscardHandler))
	for _, s := range services {
		s.calls = calls
		must.NoError(t, r.Register(s))
	}
	return r, calls
}

// Guards against starting a service before those it requires, and against draining or stopping
// one before those that require it.
func TestStartFollowsDependencies(t *testing.T) {
	r, calls := newTestRegistry(t,
		&fakeService{name: "b", requires: []string{"a"}},
		&fakeService{name: "a"},
	)
	must.NoError(t, r.Start(t.Context()))
	must.NoError(t, r.Drain(t.Context()))
	must.NoError(t, r.Stop(t.Context()))
	must.Eq(t, []string{
		"provision a", "provision b",
		"start a", "start b",
		"drain b", "drain a",
		"stop b", "stop a",
	}, *calls)
}

// Guards against accepting missing, cyclic or duplicate services.
func TestInvalidDependencyGraphIsRejected(t *testing.T) {
	t.Run("missing", func(t *testing.T) {
		r, _ := newTestRegistry(t, &fakeService{name: "b", requires: []string{"a"}})
		var missing *NotRegisteredError
		must.True(t, errors.As(r.Start(t.Context()), &missing))
		must.Eq(t, "a", missing.Name)
		must.Eq(t, "b", missing.RequiredBy)
	})
	t.Run("cycle", func(t *testing.T) {
		r, _ := newTestRegistry(t,
			&fakeService{name: "a", requires: []string{"b"}},
			&fakeService{name: "b", requires: []string{"a"}},
		)
		var cycle *DependencyCycleError
		must.True(t, errors.As(r.Start(t.Context()), &cycle))
		must.Eq(t, []string{"a", "b", "a"}, cycle.Path)
	})
	t.Run("duplicate", func(t *testing.T) {
		r, _ := newTestRegistry(t, &fakeService{name: "a"})
		var duplicate *DuplicateNameError
		must.True(t, errors.As(r.Register(&fakeService{name: "a"}), &duplicate))
	})
}

// Guards against listeners left open when a later service fails to start.
func TestFailedStartStopsStartedServices(t *testing.T) {
	r, calls := newTestRegistry(t,
		&fakeService{name: "a"},
		&fakeService{name: "b", requires: []string{"a"}, failOn: PhaseStart},
	)
	var phase *PhaseError
	must.True(t, errors.As(r.Start(t.Context()), &phase))
	must.Eq(t, "b", phase.Service)
	must.SliceContains(t, *calls, "stop a")
}

// Guards against a look-up that returns a service of the wrong type.
func TestFindChecksType(t *testing.T) {
	r, _ := newTestRegistry(t, &fakeService{name: "a"})
	found, err := Find[*fakeService](r, "a")
	must.NoError(t, err)
	must.Eq(t, "a", found.name)

	_, err = Find[interface{ Missing() }](r, "a")
	var mismatch *TypeMismatchError
	must.True(t, errors.As(err, &mismatch))
}
