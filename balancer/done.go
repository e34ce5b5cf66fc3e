package balancer

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthrack/jacinthrack/forward"
	"github.com/jacinthrack/jacinthrack/placement"
	"github.com/jacinthrack/jacinthrack/quarantine"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// ticket is a placed attempt.
type ticket struct {
	balancer *Balancer
	state    *state
	call     forward.Call
	decision placement.Decision
}

// done ends the attempt. It implements forward.Pick.Done.
func (t *ticket) done(r forward.Result) (crashes bool) {
	b := t.balancer
	now := time.Now()
	fingerprint := quarantine.Fingerprint(t.call.Fingerprint)
	t.state.book.RequestDone(t.decision.Server)
	if t.decision.Region != t.state.region {
		t.state.holder.Release(spill(t.decision.Region, t.call))
	}
	if event, ok := observation(t.decision.Server, r, now); ok {
		b.observe(event)
	}
	if r.Sent && r.Err != nil && b.isDead(t.state, t.decision.Server, now) {
		suspects := b.quarantine.ServerCrashed(t.decision.Server, now)
		b.log.Warn("backend server died with requests in progress", "server", t.decision.Server,
			"request_id", t.call.RequestID, "suspects", len(suspects))
		b.opts.OnServerCrash()
	}
	b.quarantine.End(fingerprint, t.decision.Server, r.Status > 0 && r.Err == nil, now)
	return b.quarantine.Crashes(fingerprint, now) >= quarantine.CrashThreshold
}

// observe feeds an event to the server's state machine.
func (b *Balancer) observe(e serverstate.Event) {
	transitions, err := b.tracker.Observe(e)
	if err != nil {
		b.log.Debug("observation dropped", "server", e.Server, "error", err)
		return
	}
	b.logTransitions(transitions)
}

// observation turns the result of an attempt into evidence. Attempts that the
// caller ended are none.
func observation(server string, r forward.Result, now time.Time) (serverstate.Event, bool) {
	e := serverstate.Event{Server: server, At: now, ConnectionClose: r.Close, Latency: r.Latency}
	switch {
	case r.Err != nil && !r.Sent:
		e.Kind = serverstate.KindConnectionRefused
	case r.Err != nil:
		e.Kind = serverstate.KindConnectionReset
	case r.Status == http.StatusServiceUnavailable, r.Status == http.StatusTooManyRequests:
		e.Kind = serverstate.KindShedResponse
	case r.Status >= http.StatusInternalServerError:
		e.Kind = serverstate.KindServerError
	case r.Status > 0:
		e.Kind = serverstate.KindSuccess
	default:
		return e, false
	}
	return e, true
}

// Bounds of the check for a death.
const (
	// deathDialTimeout is far above the 1 ms in which a server opens a connection.
	deathDialTimeout = 250 * time.Millisecond
	// deathWindow keeps the requests that one death ended from counting it twice.
	deathWindow = time.Second
)

// deathLog remembers the latest deaths.
type deathLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

// first reports whether the death of the server at now is a new one.
func (l *deathLog) first(server string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.at[server]; ok && now.Sub(last) < deathWindow {
		return false
	}
	if l.at == nil {
		l.at = make(map[string]time.Time)
	}
	l.at[server] = now
	return true
}

// isDead reports a new death: a connection broke with a request in progress, and
// the server now refuses connections.
func (b *Balancer) isDead(s *state, server string, now time.Time) bool {
	address := s.servers[server].Address
	conn, err := net.DialTimeout("tcp", address, deathDialTimeout)
	if err == nil {
		conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	return b.deaths.first(server, now)
}
