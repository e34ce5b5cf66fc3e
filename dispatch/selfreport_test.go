package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/routes"
)

// announceLeaving makes server s0 announce in a response that it leaves. incarnation is that of its
// process when the request was sent.
func announceLeaving(t *testing.T, d *Dispatcher, incarnation int64, outcome Outcome) {
	t.Helper()
	r := newRequest(0, start)
	s := d.servers["s0"]
	d.startAttempt(r, s, start)
	d.Finish(r, s, AttemptResult{Outcome: outcome, Duration: time.Millisecond, Leaving: true, Incarnation: incarnation}, start)
}

// A server that announces in a response that it leaves must get no new requests, whatever the
// platform says about it afterwards, until another process has its id.
func TestServerThatAnnouncesItsLeavingGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*Dispatcher, []routes.Server)
		leaving bool
	}{
		{"record unchanged", func(*Dispatcher, []routes.Server) {}, true},
		{"record written again as ready", func(d *Dispatcher, records []routes.Server) { d.SetServers(records, nil, start) }, true},
		{"record removed and written again", func(d *Dispatcher, records []routes.Server) {
			d.SetServers(records[1:], nil, start)
			d.SetServers(records, nil, start.Add(time.Minute))
		}, true},
		{"another process under the id", func(d *Dispatcher, records []routes.Server) {
			records[0].Incarnation++
			d.SetServers(records, nil, start)
		}, false},
		{"removed, then another process under the id", func(d *Dispatcher, records []routes.Server) {
			d.SetServers(records[1:], nil, start)
			records[0].Incarnation++
			d.SetServers(records, nil, start)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, records := newTestDispatcher(t, 4, "a", "b")
			announceLeaving(t, d, 1, OutcomeSucceeded)
			c.change(d, records)
			decision, _ := d.Submit(newRequest(0, start), start)
			must.Eq(t, VerdictStart, decision.Verdict)
			must.Eq(t, c.leaving, decision.Server.ID != "s0")
			must.Eq(t, c.leaving, len(d.LeavingServers()) == 1)
		})
	}
}

// The announcement must be taken from every response of the server itself, and from no other: not
// from a server that has taken over the address, nor from an earlier process under the id whose
// response arrives after the record of the later one.
func TestWhichResponsesAnnounceThatAServerLeaves(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation int64
		outcome     Outcome
		leaving     bool
	}{
		{"success", 1, OutcomeSucceeded, true},
		{"failure", 1, OutcomeFailed, true},
		{"rejection", 1, OutcomeRejected, true},
		{"another server", 1, OutcomeMisdirected, false},
		{"earlier process", 0, OutcomeSucceeded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newTestDispatcher(t, 4, "a", "b")
			announceLeaving(t, d, c.incarnation, c.outcome)
			must.Eq(t, c.leaving, d.servers["s0"].Leaving())
		})
	}
}

// A request that waits must not be sent to a server that announces its leaving, or asks for a pause,
// in the meantime. If all servers of a service do so, its requests must be rejected at once with
// the time after which one is likely to take them, those that wait as well as new ones.
func TestRequestsAreRejectedAtOnceWhenAllServersLeaveOrPause(t *testing.T) {
	const pause = 700 * time.Millisecond
	for _, c := range []struct {
		name       string
		result     AttemptResult
		reason     string
		retryAfter time.Duration
	}{
		{"leaving", AttemptResult{Outcome: OutcomeSucceeded, Leaving: true}, ReasonAllLeaving, minEjection},
		{"paused", AttemptResult{Outcome: OutcomeRejected, Pause: pause}, ReasonAllPaused, pause},
		{"leaving and paused", AttemptResult{Outcome: OutcomeRejected, Pause: pause, Leaving: true}, ReasonAllLeaving, minEjection},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newTestDispatcher(t, 2, "a")
			c.result.Duration, c.result.Incarnation = time.Millisecond, 1
			running, _ := fillServers(d)
			d.Finish(running[0], d.servers["s0"], c.result, start)
			assignments := d.StartWaiters("books", start)
			must.Len(t, 1, assignments)
			must.Nil(t, assignments[0].Server)
			decision, _ := d.Submit(newRequest(0, start), start)
			for _, rejected := range []Decision{assignments[0].Rejection, decision} {
				must.Eq(t, Decision{Verdict: VerdictReject, Reason: c.reason, RetryAfter: c.retryAfter}, rejected)
			}
		})
	}
}

// fillServers submits requests until one waits. It returns those that run, and the one that waits.
func fillServers(d *Dispatcher) (running []*Request, waiting *Waiter) {
	for waiting == nil {
		r := newRequest(0, start)
		if _, waiting = d.Submit(r, start); waiting == nil {
			running = append(running, r)
		}
	}
	return running, waiting
}

// A server that asks for a pause must get no requests until it has ended, also not those for its
// objects, but be taken for as sound as before. Afterwards it must get one request at a time until
// one has succeeded.
func TestServerThatAsksForAPauseGetsNoRequestsUntilItEnds(t *testing.T) {
	const pause = 2 * time.Second
	d, records := newTestDispatcher(t, 4, "a", "b")
	s := d.servers["s0"]
	object := uint64(0x9e3779b97f4a7c15)
	s.rememberObject(object, start)
	r := newRequest(object, start)
	d.startAttempt(r, s, start)
	d.Finish(r, s, AttemptResult{Outcome: OutcomeRejected, Pause: pause, Incarnation: 1}, start)
	must.Zero(t, s.failureRate)
	for now := start; now.Before(start.Add(pause)); now = now.Add(100 * time.Millisecond) {
		d.SetServers(records, nil, now)
		decision, _ := d.Submit(newRequest(object, now), now)
		must.Eq(t, "s1", decision.Server.ID)
		d.Finish(newRequest(object, now), decision.Server, AttemptResult{Outcome: OutcomeSucceeded, Duration: time.Millisecond, Incarnation: 1}, now)
	}
	ended := start.Add(pause)
	must.SliceEmpty(t, d.PausedServers(ended))
	first := newRequest(object, ended)
	decision, _ := d.Submit(first, ended)
	must.Eq(t, s, decision.Server) // remembers the object
	decision, _ = d.Submit(newRequest(object, ended), ended)
	must.Eq(t, "s1", decision.Server.ID)
	d.Finish(first, s, AttemptResult{Outcome: OutcomeSucceeded, Duration: time.Millisecond, Incarnation: 1}, ended)
	d.SetServers(records, nil, ended)
	for range 2 {
		decision, _ = d.Submit(newRequest(object, ended), ended)
		must.Eq(t, s, decision.Server)
	}
}

// A pause must outlast shorter ones that the server asks for later, and a record that is removed and
// written again, but not the process that asked for it. It is bounded.
func TestHowLongAPauseHolds(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  time.Duration
		change func(*Dispatcher, []routes.Server)
		left   time.Duration
	}{
		{"shorter one later", time.Second, func(d *Dispatcher, _ []routes.Server) {
			r := newRequest(0, start)
			d.startAttempt(r, d.servers["s0"], start)
			d.Finish(r, d.servers["s0"], AttemptResult{Outcome: OutcomeRejected, Pause: time.Millisecond, Incarnation: 1}, start)
		}, time.Second},
		{"record removed and written again", time.Second, func(d *Dispatcher, records []routes.Server) {
			d.SetServers(records[1:], nil, start)
			d.SetServers(records, nil, start)
		}, time.Second},
		{"another process under the id", time.Second, func(d *Dispatcher, records []routes.Server) {
			records[0].Incarnation++
			d.SetServers(records, nil, start)
		}, 0},
		{"a year", 365 * 24 * time.Hour, func(*Dispatcher, []routes.Server) {}, MaxPause},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, records := newTestDispatcher(t, 4, "a", "b")
			r := newRequest(0, start)
			d.startAttempt(r, d.servers["s0"], start)
			d.Finish(r, d.servers["s0"], AttemptResult{Outcome: OutcomeRejected, Pause: c.pause, Incarnation: 1}, start)
			c.change(d, records)
			must.Eq(t, c.left, d.servers["s0"].PausedFor(start))
		})
	}
}

// The memory of servers that are gone must not grow without bound.
func TestLeavingServersAreForgottenAfterTheyAreGone(t *testing.T) {
	d, records := newTestDispatcher(t, 4, "a", "b")
	announceLeaving(t, d, 1, OutcomeSucceeded)
	d.SetServers(records[1:], nil, start)
	d.SetServers(records[1:], nil, start.Add(selfReportMemory))
	must.Len(t, 1, d.LeavingServers())
	d.SetServers(records[1:], nil, start.Add(selfReportMemory+time.Second))
	must.SliceEmpty(t, d.LeavingServers())
}
