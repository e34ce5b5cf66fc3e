package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Constants of the server model.
const (
	// coldTime is the time in which the caches fill after a restart. At its start
	// a server is coldFactor times slower.
	warmUpTime   = 10 * time.Second
	coldSlowdown = 4.0
	// crashTime is the time from a crashing request to the crash.
	crashDelay    = 50 * time.Millisecond
	crashDowntime = 5 * time.Second
)

// backend is the model of one server. It answers 503 when all slots are in use.
type backend struct {
	Group
	name         string
	replay       *replay
	rng          *rand.Rand
	inFlight     []*request
	downUntil    time.Duration // after a crash
	warmUpStart  time.Duration // end of the last downtime, 0 when there was none
	drainStart   time.Duration // -1 when not draining
	terminations int
}

func (b *backend) activeBehavior(k Kind) *Behavior {
	return b.replay.activeBehavior(k, b.name, b.Zone, b.Region)
}

// down reports whether connections are refused.
func (b *backend) refusesConnections() bool {
	drain := b.activeBehavior(KindDrain)
	refuses := drain != nil && b.replay.elapsed-drain.From.Std() >= durationOfSeconds(drain.Value)
	return refuses || b.replay.elapsed < b.downUntil || b.activeBehavior(KindRestart) != nil || b.activeBehavior(KindFail) != nil
}

// accept takes a request and reports its end, now or later.
func (b *backend) accept(q *request) {
	if b.refusesConnections() {
		b.replay.respond(q, serverstate.KindConnectionRefused)
		return
	}
	b.replay.result.recordAttempt(b)
	shed := b.activeBehavior(KindShed)
	if shed != nil && b.rng.Float64() < shed.Value || len(b.inFlight) >= b.Slots {
		b.replay.respond(q, serverstate.KindShedResponse)
		return
	}
	b.inFlight = append(b.inFlight, q)
	work, deaths := b.drawServiceTime(), b.terminations
	if q.Crash {
		work = crashDelay
	}
	b.replay.result.recordWork(b, work)
	b.replay.schedule(work, func() {
		if deaths == b.terminations {
			b.finish(q)
		}
	})
}

// serviceTime is half constant, half exponential.
func (b *backend) drawServiceTime() time.Duration {
	mean := float64(b.ServiceTime.Std())
	if left := 1 - float64(b.replay.elapsed-b.warmUpStart)/float64(warmUpTime); b.warmUpStart > 0 && left > 0 {
		mean *= 1 + (coldSlowdown-1)*left
	}
	return time.Duration(mean * (0.5 + 0.5*b.rng.ExpFloat64()))
}

func (b *backend) finish(q *request) {
	if q.Crash {
		b.replay.result.Crashes++
		b.downUntil = b.replay.elapsed + crashDowntime
		b.warmUpStart = b.downUntil
		b.terminate()
		return
	}
	b.inFlight = slices.DeleteFunc(b.inFlight, func(o *request) bool { return o == q })
	if b.drainStart >= 0 {
		b.replay.result.DrainTime = max(b.replay.result.DrainTime, durationSince(b.replay.elapsed, b.drainStart))
	}
	b.replay.respond(q, serverstate.KindSuccess)
}

// kill breaks all requests in progress.
func (b *backend) terminate() {
	b.terminations++
	for _, q := range b.inFlight {
		b.replay.respond(q, serverstate.KindConnectionReset)
	}
	b.inFlight = nil
}

// change applies the start or the end of a behavior.
func (b *backend) applyBehavior(k Kind, begins bool) {
	switch {
	case k != KindDrain && k != KindRestart && k != KindFail:
	case !begins:
		b.warmUpStart, b.drainStart = b.replay.elapsed, -1
	case k == KindDrain:
		b.drainStart = b.replay.elapsed
	default:
		b.terminate()
	}
}
