package serverstate

import (
	"fmt"
	"time"
)

// Code identifies a reason.
type Code uint8

// Reasons of transitions and weights. reasonTexts explains each of them.
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

var reasonTexts = [...]string{
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

// Reason explains a transition or a weight.
type Reason struct {
	Code Code
	// Evidence is the kind of the decisive observation. It is zero if only the passing of
	// time was decisive.
	Evidence Kind
	// Count is the number of observations that led to the decision, zero if they are
	// not counted.
	Count int
}

// String returns the text used in logs and in status reports for operators.
func (r Reason) String() string {
	text := "unknown"
	if int(r.Code) < len(reasonTexts) {
		text = reasonTexts[r.Code]
	}
	if r.Count > 1 {
		return fmt.Sprintf("%s (%d times)", text, r.Count)
	}
	return text
}

// Transition is a change of a server's state.
type Transition struct {
	Server string
	From   State
	To     State
	At     time.Time
	Reason Reason
	// Soft reports whether the server was excluded on soft evidence only.
	Soft bool
}

// String returns the text for logs.
func (t Transition) String() string {
	return fmt.Sprintf("server %s: %s -> %s: %s", t.Server, t.From, t.To, t.Reason)
}
