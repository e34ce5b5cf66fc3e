package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Constants of the server model.
const (
	// warmUpTime is the time in which the caches of a server fill after a restart. At its
	// start requests take coldSlowdown times as long; this falls linearly to 1.
	warmUpTime   = 10 * time.Second
	coldSlowdown = 4.0
	// crashDelay is the time from the start of a crashing request to the crash.
	// crashDowntime is the time from the crash until the server accepts connections.
	crashDelay    = 50 * time.Millisecond
	crashDowntime = 5 * time.Second
)

// backend is the model of one backend server. It rejects requests with 503 while all slots
// are in use. Times are measured from the start of the trace.
type backend struct {
	ServerGroup
	name         string
	replay       *replay
	rng          *rand.Rand
	inFlight     []*request
	downUntil    time.Duration // end of the downtime after a crash that a request caused
	warmUpStart  time.Duration // end of the last downtime, 0 if there was none
	drainStart   time.Duration // -1 if the server is not draining
	terminations int           // number of crashes, restarts and failures
}

// activeBehavior returns the first active behavior of the kind that selects the server, or
// nil.
func (b *backend) activeBehavior(k BehaviorKind) *Behavior {
	return b.replay.activeBehavior(k, b.name, b.Zone, b.Region)
}

// refusesConnections reports whether the server refuses connections: it is down, or its
// drain has lasted longer than the drain behavior's Value.
func (b *backend) refusesConnections() bool {
	drain := b.activeBehavior(BehaviorDrain)
	drained := drain != nil && b.replay.elapsed-drain.From.Std() >= durationOfSeconds(drain.Value)
	return drained || b.replay.elapsed < b.downUntil || b.activeBehavior(BehaviorRestart) != nil || b.activeBehavior(BehaviorFail) != nil
}

// accept starts a request, or rejects it, and schedules the report of its outcome.
func (b *backend) accept(q *request) {
	if b.refusesConnections() {
		b.replay.respond(q, serverstate.KindConnectionRefused)
		return
	}
	b.replay.result.recordAttempt(b)
	shed := b.activeBehavior(BehaviorShed)
	if shed != nil && b.rng.Float64() < shed.Value || len(b.inFlight) >= b.Slots {
		b.replay.respond(q, serverstate.KindShedResponse)
		return
	}
	b.inFlight = append(b.inFlight, q)
	serviceTime, terminations := b.drawServiceTime(), b.terminations
	if q.Crash {
		serviceTime = crashDelay
	}
	b.replay.result.recordWork(b, serviceTime)
	b.replay.schedule(serviceTime, func() {
		if terminations == b.terminations {
			b.finish(q)
		}
	})
}

// drawServiceTime returns a random service time: half of its mean is constant, the other
// half is exponentially distributed.
func (b *backend) drawServiceTime() time.Duration {
	mean := float64(b.ServiceTime.Std())
	if remaining := 1 - float64(b.replay.elapsed-b.warmUpStart)/float64(warmUpTime); b.warmUpStart > 0 && remaining > 0 {
		mean *= 1 + (coldSlowdown-1)*remaining
	}
	return time.Duration(mean * (0.5 + 0.5*b.rng.ExpFloat64()))
}

// finish ends a request: it crashes the server or completes.
func (b *backend) finish(q *request) {
	if q.Crash {
		b.replay.result.Crashes++
		b.downUntil = b.replay.elapsed + crashDowntime
		b.warmUpStart = b.downUntil
		b.terminate()
		return
	}
	b.inFlight = slices.DeleteFunc(b.inFlight, func(other *request) bool { return other == q })
	if b.drainStart >= 0 {
		b.replay.result.DrainTime = max(b.replay.result.DrainTime, durationSince(b.replay.elapsed, b.drainStart))
	}
	b.replay.respond(q, serverstate.KindSuccess)
}

// terminate resets the connections of all in-flight requests, as a crash or restart does.
func (b *backend) terminate() {
	b.terminations++
	for _, q := range b.inFlight {
		b.replay.respond(q, serverstate.KindConnectionReset)
	}
	b.inFlight = nil
}

// applyBehavior applies the start or the end of a behavior that selects the server.
func (b *backend) applyBehavior(k BehaviorKind, begins bool) {
	switch {
	case k != BehaviorDrain && k != BehaviorRestart && k != BehaviorFail:
	case !begins:
		b.warmUpStart, b.drainStart = b.replay.elapsed, -1
	case k == BehaviorDrain:
		b.drainStart = b.replay.elapsed
	default:
		b.terminate()
	}
}
