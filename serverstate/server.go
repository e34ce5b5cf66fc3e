package serverstate

import (
	"time"

	"github.com/looplab/fsm"
)

// Thresholds for evidence and durations of states.
const (
	// drainCloseCount is the number of consecutive closing responses after which a server
	// is taken to be draining. One is not enough, because servers that limit the number
	// of requests per connection close single connections.
	drainCloseCount = 3
	// unresolvedCloseTimeout is the time after which a server with an unresolved closing
	// response is excluded. It matters for servers with little traffic. With one Tick
	// per second, a leaving server gets no new requests 3 s after its first closing
	// response.
	unresolvedCloseTimeout = 2 * time.Second
	// suspectResetCount is the number of connection resets without a success in between
	// that makes a server suspect.
	suspectResetCount = 3
	// suspectFailureCount is the number of server errors, or of shed responses, without a
	// success in between that makes a server suspect.
	suspectFailureCount = 5
	// suspectProbeCount is the number of consecutive failed probes that makes a server
	// suspect.
	suspectProbeCount = 3
	// successValidity is the time for which a successful request overrides failed probes
	// and the absence from the platform's list.
	successValidity = 2 * time.Second
	// drainTime is the time after which a draining server counts as gone. It cannot
	// return earlier, so that a health endpoint that lags behind does not bring back a
	// leaving server.
	drainTime = 60 * time.Second
	// unresolvedCloseCooldown is the minimum time for which a server with an unresolved
	// closing response stays excluded. Most drains end earlier, with a refused connection.
	unresolvedCloseCooldown = 30 * time.Second
	// goneRefusalCount is the number of refused connections, without a success of a
	// request or probe in between, after which a suspect server counts as gone.
	goneRefusalCount = 5
	// unprobedJoinDelay is the time after which a new server that is not probed starts to
	// get requests, if there is no evidence against it.
	unprobedJoinDelay = time.Second
	// goneRetryInterval is the time after which a gone server that is not probed gets
	// requests again.
	goneRetryInterval = 30 * time.Second
	// minCooldown and maxCooldown bound the cooldown, the minimum time for which a suspect
	// server stays excluded.
	minCooldown = 2 * time.Second
	maxCooldown = time.Minute
	// cooldownResetTime is the time in state Serving after which the cooldown is back to
	// its minimum.
	cooldownResetTime = time.Minute
	// loadReportMaxAge is the age at which a load report is no longer used.
	loadReportMaxAge = 3 * time.Second
)

// Server is the configuration of a server that a Tracker needs.
type Server struct {
	Name    string
	Service string
	Zone    string
	// SlowStart is the time in which the weight of a warming server rises from 0 to 1.
	// Zero means DefaultSlowStart.
	SlowStart time.Duration
	// Probed reports whether the server is probed. A server that is not probed returns
	// from state Suspect after its cooldown, and slow start limits the harm if it still
	// fails.
	Probed bool
}

// DefaultSlowStart is the default duration of slow start. It is long enough to fill the
// connection pools and caches of a server that answers in a few milliseconds.
const DefaultSlowStart = 10 * time.Second

// server holds the state of one server and the evidence about it. The counts, except
// closeCount, are also reset when the server is admitted.
type server struct {
	Server
	machine    *fsm.FSM
	state      State // copy of the machine's state, read without its lock
	stateSince time.Time
	reason     Reason
	// softEvidence is set while the server is excluded on soft evidence only.
	softEvidence bool
	// keptInUse is set when the server gets requests in spite of soft evidence, because
	// too many servers of its zone are excluded already.
	keptInUse bool

	closeCount        int       // closing responses since the last one that kept its connection open
	firstCloseAt      time.Time // time of the first of them, or of the last admission if that is later
	supportsKeepAlive bool      // a response has kept its connection open
	resetCount        int       // connection resets since the last success
	refusalCount      int       // refused connections since the last success or successful probe
	serverErrorCount  int       // server errors since the last success
	shedCount         int       // shed responses since the last success
	failedProbeCount  int       // failed probes since the last success or successful probe
	probeSucceededAt  time.Time // zero if a probe or connection failed since
	lastSuccessAt     time.Time // of a request
	listing           PlatformListing
	cooldown          time.Duration // minimum time in state Suspect, doubled after each suspicion
	utilization       float64       // from the latest load report
	utilizationAt     time.Time
	shedReduction     shedFactor
	latency           latencyHistory
}

// newServer returns a server in the given state.
func newServer(spec Server, initial State, now time.Time, reason Reason) *server {
	if spec.SlowStart <= 0 {
		spec.SlowStart = DefaultSlowStart
	}
	return &server{
		Server:        spec,
		machine:       newStateMachine(initial),
		state:         initial,
		stateSince:    now,
		reason:        reason,
		cooldown:      minCooldown,
		shedReduction: shedFactor{value: 1},
	}
}

// applyAction applies an action to the state machine and returns the transition that it
// causes, if any.
func (s *server) applyAction(a action, r Reason, soft bool, now time.Time) []Transition {
	from := s.state
	if !fireAction(s.machine, a) {
		return nil
	}
	if from == Serving && now.Sub(s.stateSince) >= cooldownResetTime {
		s.cooldown = minCooldown
	}
	if a == actionAdmit {
		s.resetEvidence(now)
	}
	s.state = parseState(s.machine.Current())
	s.stateSince = now
	s.reason = r
	s.softEvidence = soft
	s.keptInUse = false
	return []Transition{{Server: s.Name, From: from, To: s.state, At: now, Reason: r, SoftEvidence: soft}}
}

// resetEvidence resets the counts that led to the exclusion. An unresolved closing response
// stays counted, because only a response that keeps its connection open resolves it.
func (s *server) resetEvidence(now time.Time) {
	s.firstCloseAt = now
	s.resetCount = 0
	s.refusalCount = 0
	s.serverErrorCount = 0
	s.shedCount = 0
	s.failedProbeCount = 0
}

// suspect excludes the server from new requests. If it is suspect on soft evidence already,
// hard evidence replaces the reason.
func (s *server) suspect(r Reason, soft bool, now time.Time) []Transition {
	changed := s.applyAction(actionSuspect, r, soft, now)
	if changed != nil {
		return changed
	}
	if s.state == Suspect && s.softEvidence && !soft {
		s.softEvidence = false
		s.reason = r
		s.stateSince = now
	}
	return nil
}

// minSuspectTime returns the minimum time in state Suspect for the present reason.
func (s *server) minSuspectTime() time.Duration {
	if s.reason.Code == CodeUnresolvedClose {
		return unresolvedCloseCooldown
	}
	return s.cooldown
}

// excluded reports whether the state excludes the server from new requests.
func (s *server) excluded() bool {
	return s.state != Warming && s.state != Serving
}
