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

// placedAttempt is an attempt for which a server was chosen.
type placedAttempt struct {
	balancer    *Balancer
	configState *configState
	pickReq     forward.PickRequest
	decision    placement.Decision
}

// finish ends the attempt with its result and reports whether the request is quarantined
// now. It is the Done function of a forward.PickedServer.
func (a *placedAttempt) finish(r forward.AttemptResult) (quarantined bool) {
	b := a.balancer
	now := time.Now()
	fingerprint := quarantine.Fingerprint(a.pickReq.Fingerprint)
	a.configState.placer.RequestDone(a.decision.Server)
	if a.decision.Region != a.configState.region {
		a.configState.reservationHolder.Release(spilloverTo(a.decision.Region, a.pickReq))
	}
	if event, ok := serverEvent(a.decision.Server, r, now); ok {
		b.observe(event)
	}
	if r.MaybeSent && r.Err != nil && b.confirmCrash(a.configState, a.decision.Server, now) {
		suspects := b.quarantine.ServerCrashed(a.decision.Server, now)
		b.log.Warn("backend server crashed with requests in flight", "server", a.decision.Server,
			"request_id", a.pickReq.RequestID, "suspects", len(suspects))
		b.opts.OnServerCrash()
	}
	b.quarantine.End(fingerprint, a.decision.Server, r.Status > 0 && r.Err == nil, now)
	return b.quarantine.Crashes(fingerprint, now) >= quarantine.CrashThreshold
}

// observe passes an event to the state machine of the server.
func (b *Balancer) observe(e serverstate.Event) {
	transitions, err := b.tracker.Observe(e)
	if err != nil {
		b.log.Debug("backend server event ignored", "server", e.Server, "error", err)
		return
	}
	b.logTransitions(transitions)
}

// serverEvent converts the result of an attempt to an event for the state of the
// server. It returns false for an attempt that the caller ended, which says nothing
// about the server.
func serverEvent(server string, r forward.AttemptResult, now time.Time) (serverstate.Event, bool) {
	e := serverstate.Event{Server: server, At: now, ConnectionClose: r.CloseAnnounced, Latency: r.Latency}
	switch {
	case r.Err != nil && !r.MaybeSent:
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

// Crash detection.
const (
	// crashCheckTimeout is the timeout for opening a connection to a server that may
	// have crashed. A running server accepts one within 1 ms.
	crashCheckTimeout = 250 * time.Millisecond
	// crashDeduplicationWindow is the time in which a further crash of the same server
	// is ignored, since several requests end with one crash.
	crashDeduplicationWindow = time.Second
)

// crashLog holds the time of the last crash by server.
type crashLog struct {
	mu        sync.Mutex
	lastCrash map[string]time.Time
}

// recordIfNew records a crash of the server at now. It reports whether it is a new
// one, not seen in the last crashDeduplicationWindow.
func (l *crashLog) recordIfNew(server string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.lastCrash[server]; ok && now.Sub(last) < crashDeduplicationWindow {
		return false
	}
	if l.lastCrash == nil {
		l.lastCrash = make(map[string]time.Time)
	}
	l.lastCrash[server] = now
	return true
}

// confirmCrash checks by a new connection whether the server refuses connections. If it
// does, it records a crash, unless one was recorded in the last crashDeduplicationWindow,
// and reports whether it recorded one. It is called after an attempt failed of which a
// part may have been sent.
func (b *Balancer) confirmCrash(s *configState, server string, now time.Time) bool {
	address := s.servers[server].Address
	conn, err := net.DialTimeout("tcp", address, crashCheckTimeout)
	if err == nil {
		conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	return b.crashes.recordIfNew(server, now)
}
