// Package serverstate decides which backend servers may get new work.
//
// Each server has a state machine: joining, warming, serving, suspect, draining,
// gone. Observations of requests (passive results) count first, then probes, then
// the platform's lagging list. The package has no clock: every call takes the
// time, and the times must come from one monotonic source.
package serverstate

import (
	"context"

	"github.com/looplab/fsm"
)

// State is the state of a server. The numbers are the codes of the peer messages
// and do not change.
type State uint8

// States.
const (
	// Joining: known, gets no work yet.
	Joining State = iota + 1
	// Warming: gets a share that rises with the slow start's slope.
	Warming
	// Serving: gets its full share.
	Serving
	// Suspect: gets no work until the evidence is resolved.
	Suspect
	// Draining: leaving; gets no new work, work in progress finishes.
	Draining
	// Gone: not reachable.
	Gone
)

var stateNames = [...]string{"unknown", "joining", "warming", "serving", "suspect", "draining", "gone"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

func stateNamed(name string) State {
	for i, n := range stateNames {
		if n == name {
			return State(i)
		}
	}
	return 0
}

// action is an event of the state machine.
type action string

const (
	actionAdmit   action = "admit"   // joining, or recovered: start the slow start
	actionWarmed  action = "warmed"  // slow start complete
	actionSuspect action = "suspect" // evidence of a failure
	actionDrain   action = "drain"   // the server is leaving
	actionLeave   action = "leave"   // the server is not reachable any more
	actionRejoin  action = "rejoin"  // the server answers after it was gone
)

var transitions = fsm.Events{
	{Name: string(actionAdmit), Src: names(Joining, Suspect), Dst: Warming.String()},
	{Name: string(actionWarmed), Src: names(Warming), Dst: Serving.String()},
	{Name: string(actionSuspect), Src: names(Joining, Warming, Serving), Dst: Suspect.String()},
	{Name: string(actionDrain), Src: names(Joining, Warming, Serving, Suspect), Dst: Draining.String()},
	{Name: string(actionLeave), Src: names(Joining, Suspect, Draining), Dst: Gone.String()},
	{Name: string(actionRejoin), Src: names(Gone), Dst: Joining.String()},
}

func names(states ...State) []string {
	out := make([]string, len(states))
	for i, s := range states {
		out[i] = s.String()
	}
	return out
}

func newMachine(initial State) *fsm.FSM {
	return fsm.NewFSM(initial.String(), transitions, nil)
}

// fire runs an action and reports whether the state changed.
func fire(m *fsm.FSM, a action) bool {
	if !m.Can(string(a)) {
		return false
	}
	// Can excludes the errors of an unknown or inapplicable event, and there are
	// no callbacks that could cancel it.
	return m.Event(context.Background(), string(a)) == nil
}
