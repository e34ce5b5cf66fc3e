package serverstate

import (
	"time"

	"github.com/looplab/fsm"
)

// Bounds of the evidence.
const (
	// closingRun is the number of consecutive closing responses that prove a
	// drain. Servers that limit the requests per connection close single ones.
	closingRun = 3
	// closingPatience bounds the time that one closing response may stay
	// unresolved at a server with little traffic. With a Tick per second it keeps
	// the bound of 3 s for new work at a leaving server.
	closingPatience = 2 * time.Second
	// resetRun resets in a row, without a success, mean that the server fails.
	resetRun = 3
	// failureRun server errors or shed responses in a row take a server out.
	failureRun = 5
	// probeRun bad probes in a row count as soft evidence.
	probeRun = 3
	// passiveFresh is how long a success of a request outvotes bad probes.
	passiveFresh = 2 * time.Second
	// drainTime after which a draining server counts as gone. Only then can it
	// return, so that a health endpoint that lags brings back no leaving server.
	drainTime = 60 * time.Second
	// closingRecheck is the time that an unresolved closing response keeps a
	// server out. Most drains end earlier, with a refused connection.
	closingRecheck = 30 * time.Second
	// refusedGone refused connections in a row, without a success, mean that the
	// server is gone.
	refusedGone = 5
	// joinPatience admits a new server that nothing speaks against.
	joinPatience = time.Second
	// goneRecheck is the interval at which an unprobed gone server is tried.
	goneRecheck = 30 * time.Second
	// minCooldown and maxCooldown bound the time that a suspect server stays out.
	minCooldown = 2 * time.Second
	maxCooldown = time.Minute
	// relapseMemory is the time of serving after which the cooldown starts anew.
	relapseMemory = time.Minute
	// loadReportAge is the age at which a load report says nothing any more.
	loadReportAge = 3 * time.Second
)

// Server describes a server to the tracker.
type Server struct {
	Name    string
	Service string
	Zone    string
	// SlowStart is the time in which the weight rises from 0 to 1. Zero means
	// DefaultSlowStart.
	SlowStart time.Duration
	// Probed says that probe results will arrive. Without probes, time alone
	// ends a suspicion, and the slow start limits the damage.
	Probed bool
}

// DefaultSlowStart is long enough to fill the connection pools and caches of a
// server that answers in a few milliseconds.
const DefaultSlowStart = 10 * time.Second

// server is the tracked state of one server.
type server struct {
	Server
	machine *fsm.FSM
	state   State // copy of the machine's state, read without its lock
	since   time.Time
	reason  Reason
	// soft is set while only soft evidence keeps the server out.
	soft bool
	// kept is set when the server stays in use because too many are out.
	kept bool

	closings    int       // consecutive closing responses
	closingAt   time.Time // first of them
	keepsAlive  bool      // the server has kept a connection before
	resets      int       // consecutive, without a success
	refused     int       // consecutive, without a success or a good probe
	errors      int       // consecutive server errors
	sheds       int       // consecutive shed responses
	badProbes   int       // consecutive
	fineProbeAt time.Time
	successAt   time.Time
	listing     PlatformListing
	cooldown    time.Duration
	load        float64
	loadAt      time.Time
	shed        shedFactor
	latency     history
}

func newServer(spec Server, initial State, now time.Time, reason Reason) *server {
	if spec.SlowStart <= 0 {
		spec.SlowStart = DefaultSlowStart
	}
	return &server{
		Server:   spec,
		machine:  newMachine(initial),
		state:    initial,
		since:    now,
		reason:   reason,
		cooldown: minCooldown,
		shed:     shedFactor{value: 1},
	}
}

// move runs an action of the state machine and returns the transition, if any.
func (s *server) move(a action, r Reason, soft bool, now time.Time) []Transition {
	from := s.state
	if !fire(s.machine, a) {
		return nil
	}
	if from == Serving && now.Sub(s.since) >= relapseMemory {
		s.cooldown = minCooldown
	}
	if a == actionAdmit {
		s.forget(now)
	}
	s.state = stateNamed(s.machine.Current())
	s.since = now
	s.reason = r
	s.soft = soft
	s.kept = false
	return []Transition{{Server: s.Name, From: from, To: s.state, At: now, Reason: r, SoftEvidence: soft}}
}

// forget drops the evidence that led to the exclusion. An unresolved closing
// response stays counted: only a response that keeps its connection resolves it.
func (s *server) forget(now time.Time) {
	s.closingAt = now
	s.resets = 0
	s.refused = 0
	s.errors = 0
	s.sheds = 0
	s.badProbes = 0
}

// suspect takes the server out. Hard evidence replaces soft evidence.
func (s *server) suspect(r Reason, soft bool, now time.Time) []Transition {
	moved := s.move(actionSuspect, r, soft, now)
	if moved != nil {
		return moved
	}
	if s.state == Suspect && s.soft && !soft {
		s.soft = false
		s.reason = r
		s.since = now
	}
	return nil
}

// recheckAfter returns the time that the current suspicion lasts at least.
func (s *server) recheckAfter() time.Duration {
	if s.reason.Code == CodeUnresolvedClose {
		return closingRecheck
	}
	return s.cooldown
}

// out reports whether the state excludes the server from new work.
func (s *server) out() bool {
	return s.state != Warming && s.state != Serving
}
