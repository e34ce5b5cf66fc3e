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
	coldTime   = 10 * time.Second
	coldFactor = 4.0
	// crashTime is the time from a crashing request to the crash.
	crashTime     = 50 * time.Millisecond
	crashDowntime = 5 * time.Second
)

// backend is the model of one server. It answers 503 when all slots are in use.
type backend struct {
	ServerGroup
	name      string
	r         *replay
	rng       *rand.Rand
	active    []*request
	downUntil time.Duration // after a crash
	coldSince time.Duration // end of the last downtime, 0 when there was none
	drainAt   time.Duration // -1 when not draining
	deaths    int
}

func (b *backend) behavior(k BehaviorKind) *Behavior { return b.r.behavior(k, b.name, b.Zone, b.Region) }

// down reports whether connections are refused.
func (b *backend) down() bool {
	drain := b.behavior(BehaviorDrain)
	refuses := drain != nil && b.r.now-drain.From.Std() >= seconds(drain.Value)
	return refuses || b.r.now < b.downUntil || b.behavior(BehaviorRestart) != nil || b.behavior(BehaviorFail) != nil
}

// accept takes a request and reports its end, now or later.
func (b *backend) accept(q *request) {
	if b.down() {
		b.r.respond(q, serverstate.KindConnectionRefused)
		return
	}
	b.r.m.accepted(b)
	shed := b.behavior(BehaviorShed)
	if shed != nil && b.rng.Float64() < shed.Value || len(b.active) >= b.Slots {
		b.r.respond(q, serverstate.KindShedResponse)
		return
	}
	b.active = append(b.active, q)
	work, deaths := b.serviceTime(), b.deaths
	if q.Crash {
		work = crashTime
	}
	b.r.m.started(b, work)
	b.r.after(work, func() {
		if deaths == b.deaths {
			b.finish(q)
		}
	})
}

// serviceTime is half constant, half exponential.
func (b *backend) serviceTime() time.Duration {
	mean := float64(b.ServiceTime.Std())
	if left := 1 - float64(b.r.now-b.coldSince)/float64(coldTime); b.coldSince > 0 && left > 0 {
		mean *= 1 + (coldFactor-1)*left
	}
	return time.Duration(mean * (0.5 + 0.5*b.rng.ExpFloat64()))
}

func (b *backend) finish(q *request) {
	if q.Crash {
		b.r.m.Crashes++
		b.downUntil = b.r.now + crashDowntime
		b.coldSince = b.downUntil
		b.kill()
		return
	}
	b.active = slices.DeleteFunc(b.active, func(o *request) bool { return o == q })
	if b.drainAt >= 0 {
		b.r.m.DrainTime = max(b.r.m.DrainTime, since(b.r.now, b.drainAt))
	}
	b.r.respond(q, serverstate.KindSuccess)
}

// kill breaks all requests in progress.
func (b *backend) kill() {
	b.deaths++
	for _, q := range b.active {
		b.r.respond(q, serverstate.KindConnectionReset)
	}
	b.active = nil
}

// change applies the start or the end of a behavior.
func (b *backend) change(k BehaviorKind, begins bool) {
	switch {
	case k != BehaviorDrain && k != BehaviorRestart && k != BehaviorFail:
	case !begins:
		b.coldSince, b.drainAt = b.r.now, -1
	case k == BehaviorDrain:
		b.drainAt = b.r.now
	default:
		b.kill()
	}
}
