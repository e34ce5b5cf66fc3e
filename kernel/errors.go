package kernel

import (
	"fmt"
	"strings"
)

// Phase is a step of the life cycle of a service.
type Phase string

// Life cycle phases.
const (
	PhaseProvision Phase = "provision"
	PhaseValidate  Phase = "validate"
	PhaseStart     Phase = "start"
	PhaseDrain     Phase = "drain"
	PhaseStop      Phase = "stop"
)

// DuplicateNameError reports that a service with the name is already registered.
type DuplicateNameError struct{ Name string }

func (e *DuplicateNameError) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Name)
}

// NotRegisteredError reports that a service that was looked up or is required is not registered.
type NotRegisteredError struct {
	Name       string
	RequiredBy string // empty when the name was looked up directly
}

func (e *NotRegisteredError) Error() string {
	if e.RequiredBy == "" {
		return fmt.Sprintf("service %q is not registered", e.Name)
	}
	return fmt.Sprintf("service %q, required by %q, is not registered", e.Name, e.RequiredBy)
}

// DependencyCycleError reports a cycle of services that require each other.
type DependencyCycleError struct{ Path []string }

func (e *DependencyCycleError) Error() string {
	return fmt.Sprintf("dependency cycle between services: %s", strings.Join(e.Path, " -> "))
}

// TypeMismatchError reports that a service was looked up as a type that it does not have or
// implement.
type TypeMismatchError struct {
	Name    string
	Service Service
}

func (e *TypeMismatchError) Error() string {
	return fmt.Sprintf("service %q has type %T, which does not match the requested type", e.Name, e.Service)
}

// PhaseError reports that a service failed in a phase of its life cycle.
type PhaseError struct {
	Service string
	Phase   Phase
	Err     error
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("service %q: phase %s failed: %v", e.Service, e.Phase, e.Err)
}

// Unwrap returns the underlying error.
func (e *PhaseError) Unwrap() error { return e.Err }
