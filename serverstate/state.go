// Package serverstate decides which backend servers may get new requests.
//
// Each server has a state machine with the states joining, warming, serving, suspect,
// draining and gone. The results of requests take precedence over health probes, and probes
// over the platform's list of servers, which lags behind.
//
// Evidence against a server is hard or soft. Hard evidence, such as a refused connection,
// proves that the server is failing or leaving. Soft evidence, such as a failed health
// probe, may be wrong, and wrong about many servers at once. Soft evidence therefore
// excludes at most half of a service's servers in an availability zone.
//
// A closing response is a response with "Connection: close". It may announce that the
// server is leaving, and is unresolved until a later response keeps its connection open.
//
// The package reads no clock: callers pass the time, which must come from one monotonic
// source.
package serverstate

import (
	"context"

	"github.com/looplab/fsm"
)

// State is the state of a server. The numbers are used in peer messages and must not
// change.
type State uint8

// States.
const (
	// Joining is the state of a new server that gets no requests yet.
	Joining State = iota + 1
	// Warming is the state of a server in slow start, whose weight rises linearly.
	Warming
	// Serving is the state of a server with its full weight.
	Serving
	// Suspect is the state of a server that gets no new requests because of evidence of
	// a failure.
	Suspect
	// Draining is the state of a server that is leaving. It gets no new requests, but its
	// in-flight requests finish.
	Draining
	// Gone is the state of a server that is not reachable.
	Gone
)

var stateNames = [...]string{"unknown", "joining", "warming", "serving", "suspect", "draining", "gone"}

// String returns the name used in logs, status reports and the state machine.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// parseState returns the state with the given name, or 0.
func parseState(name string) State {
	for i, n := range stateNames {
		if n == name {
			return State(i)
		}
	}
	return 0
}

// action is an input of the state machine that may cause a transition. Package fsm calls it
// an event; an Event of this package is an observation.
type action string

const (
	actionAdmit             action = "admit"   // a new or recovered server starts its slow start
	actionSlowStartComplete action = "warmed"  // the slow start is complete
	actionSuspect           action = "suspect" // there is evidence of a failure
	actionDrain             action = "drain"   // the server is leaving
	actionMarkGone          action = "leave"   // the server is no longer reachable
	actionRejoin            action = "rejoin"  // the server answers after it was gone
)

var transitions = fsm.Events{
	{Name: string(actionAdmit), Src: stateNameList(Joining, Suspect), Dst: Warming.String()},
	{Name: string(actionSlowStartComplete), Src: stateNameList(Warming), Dst: Serving.String()},
	{Name: string(actionSuspect), Src: stateNameList(Joining, Warming, Serving), Dst: Suspect.String()},
	{Name: string(actionDrain), Src: stateNameList(Joining, Warming, Serving, Suspect), Dst: Draining.String()},
	{Name: string(actionMarkGone), Src: stateNameList(Joining, Suspect, Draining), Dst: Gone.String()},
	{Name: string(actionRejoin), Src: stateNameList(Gone), Dst: Joining.String()},
}

// stateNameList returns the names of the states.
func stateNameList(states ...State) []string {
	out := make([]string, len(states))
	for i, s := range states {
		out[i] = s.String()
	}
	return out
}

// newStateMachine returns a state machine in the given state.
func newStateMachine(initial State) *fsm.FSM {
	return fsm.NewFSM(initial.String(), transitions, nil)
}

// fireAction applies an action and reports whether the state changed.
func fireAction(m *fsm.FSM, a action) bool {
	if !m.Can(string(a)) {
		return false
	}
	// Event cannot fail here: Can has ruled out unknown and inapplicable actions, and
	// there are no callbacks that could cancel it.
	return m.Event(context.Background(), string(a)) == nil
}
