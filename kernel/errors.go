package kernel

import (
	"fmt"
	"strings"
)

// Phase names a step of the life cycle.
type Phase string

// Life cycle phases.
const (
	PhaseProvision Phase = "provision"
	PhaseValidate  Phase = "validate"
	PhaseStart     Phase = "start"
	PhaseDrain     Phase = "drain"
	PhaseStop      Phase = "stop"
)

// DuplicateNameError reports two services registered under one name.
type DuplicateNameError struct{ Name string }

func (e *DuplicateNameError) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Name)
}

// NotRegisteredError reports a required service that is not registered.
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

// DependencyCycleError reports services that require each other.
type DependencyCycleError struct{ Path []string }

func (e *DependencyCycleError) Error() string {
	return fmt.Sprintf("services require each other: %s", strings.Join(e.Path, " -> "))
}

// TypeMismatchError reports a service that does not implement the type asked for.
type TypeMismatchError struct {
	Name    string
	Service Service
}

func (e *TypeMismatchError) Error() string {
	return fmt.Sprintf("service %q has type %T, which does not implement the requested interface", e.Name, e.Service)
}

// PhaseError reports the service and life cycle phase that failed.
type PhaseError struct {
	Service string
	Phase   Phase
	Err     error
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("service %q: %s: %v", e.Service, e.Phase, e.Err)
}

// Unwrap returns the underlying error.
func (e *PhaseError) Unwrap() error { return e.Err }
