package serverstate

import (
	"fmt"
	"time"
)

// Code is the type of a reason.
type Code uint8

// Reasons of transitions and of weights.
const (
	CodeNone Code = iota
	CodeUnknownServer
	CodeAdded
	CodeEstablished
	CodeProbeFine
	CodeListedLive
	CodeNoContrary
	CodeWarming
	CodeWarmed
	CodeServing
	CodeRefused
	CodeResets
	CodeServerErrors
	CodeShedding
	CodeSlow
	CodeProbesBad
	CodeLoadHigh
	CodeListedLeaving
	CodeListedAbsent
	CodeClosingResponses
	CodeClosingUnresolved
	CodeDrained
	CodeCooldownOver
	CodeRestarted
	CodePeerDraining
	CodeKeptInUse
)

var codeTexts = [...]string{
	CodeNone:              "no reason",
	CodeUnknownServer:     "server is not tracked",
	CodeAdded:             "server was added",
	CodeEstablished:       "server was in the configuration at startup",
	CodeProbeFine:         "probe succeeded",
	CodeListedLive:        "platform lists the server as live",
	CodeNoContrary:        "no failure since the server was added",
	CodeWarming:           "slow start",
	CodeWarmed:            "slow start is complete",
	CodeServing:           "serving",
	CodeRefused:           "connection refused",
	CodeResets:            "connections broke with requests in progress",
	CodeServerErrors:      "most responses are server errors",
	CodeShedding:          "server sheds load",
	CodeSlow:              "latency is far above the server's own history",
	CodeProbesBad:         "probes failed and no request succeeded",
	CodeLoadHigh:          "server reports high load",
	CodeListedLeaving:     "platform lists the server as leaving",
	CodeListedAbsent:      "platform no longer lists the server",
	CodeClosingResponses:  "consecutive responses carried Connection: close",
	CodeClosingUnresolved: "a response carried Connection: close and no later response kept its connection",
	CodeDrained:           "drain time is over",
	CodeCooldownOver:      "waiting time after the failure is over",
	CodeRestarted:         "server answers again after it was gone",
	CodePeerDraining:      "another entry instance saw the server leave",
	CodeKeptInUse:         "kept in use: half of the zone's servers are already out on soft evidence",
}

// Reason explains a transition or a weight. Its text is ready for a log line.
type Reason struct {
	Code Code
	// Evidence is the observation that decided, zero when time alone did.
	Evidence Kind
	// Count is the number of observations behind the decision, if counted.
	Count int
}

// String returns the text for logs.
func (r Reason) String() string {
	text := "unknown"
	if int(r.Code) < len(codeTexts) {
		text = codeTexts[r.Code]
	}
	if r.Count > 1 {
		return fmt.Sprintf("%s (%d times)", text, r.Count)
	}
	return text
}

// Transition is one change of a server's state.
type Transition struct {
	Server string
	From   State
	To     State
	At     time.Time
	Reason Reason
	// Soft is set when only soft evidence took the server out.
	Soft bool
}

// String returns the text for logs.
func (t Transition) String() string {
	return fmt.Sprintf("server %s: %s -> %s: %s", t.Server, t.From, t.To, t.Reason)
}
