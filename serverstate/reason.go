package serverstate

import (
	"fmt"
	"time"
)

// ReasonCode identifies a reason.
type ReasonCode uint8

// Reasons of transitions and weights. reasonTexts explains each of them.
const (
	CodeNone ReasonCode = iota
	CodeUnknownServer
	CodeAdded
	CodeConfiguredAtStartup
	CodeProbeSucceeded
	CodeListedLive
	CodeNoFailure
	CodeWarming
	CodeSlowStartComplete
	CodeServing
	CodeConnectionRefused
	CodeConnectionResets
	CodeServerErrors
	CodeShedding
	CodeHighLatency
	CodeProbesFailed
	CodeHighLoad
	CodeListedLeaving
	CodeNotListed
	CodeConsecutiveCloses
	CodeUnresolvedClose
	CodeDrainTimeOver
	CodeCooldownOver
	CodeRestarted
	CodePeerDraining
	CodeSoftEvidenceLimit
)

var reasonTexts = [...]string{
	CodeNone:                "no reason",
	CodeUnknownServer:       "server is not tracked",
	CodeAdded:               "server was added",
	CodeConfiguredAtStartup: "server was in the configuration at startup",
	CodeProbeSucceeded:      "probe succeeded",
	CodeListedLive:          "platform lists the server as live",
	CodeNoFailure:           "no failure since the server was added",
	CodeWarming:             "slow start",
	CodeSlowStartComplete:   "slow start is complete",
	CodeServing:             "serving",
	CodeConnectionRefused:   "connection refused",
	CodeConnectionResets:    "connections broke with requests in progress",
	CodeServerErrors:        "most responses are server errors",
	CodeShedding:            "server sheds load",
	CodeHighLatency:         "latency is far above the server's own history",
	CodeProbesFailed:        "probes failed and no request succeeded",
	CodeHighLoad:            "server reports high load",
	CodeListedLeaving:       "platform lists the server as leaving",
	CodeNotListed:           "platform no longer lists the server",
	CodeConsecutiveCloses:   "consecutive responses carried Connection: close",
	CodeUnresolvedClose:     "a response carried Connection: close and no later response kept its connection",
	CodeDrainTimeOver:       "drain time is over",
	CodeCooldownOver:        "waiting time after the failure is over",
	CodeRestarted:           "server answers again after it was gone",
	CodePeerDraining:        "another entry instance saw the server leave",
	CodeSoftEvidenceLimit:   "kept in use: half of the zone's servers are already out on soft evidence",
}

// Reason explains a transition or a weight.
type Reason struct {
	Code ReasonCode
	// Evidence is the kind of the decisive observation. It is zero if only the passing of
	// time was decisive.
	Evidence EventKind
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
	// SoftEvidence reports whether the server was excluded on soft evidence only.
	SoftEvidence bool
}

// String returns the text for logs.
func (t Transition) String() string {
	return fmt.Sprintf("server %s: %s -> %s: %s", t.Server, t.From, t.To, t.Reason)
}
