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

// A request that waits must not be sent to a server that announces its leaving in the meantime. If
// all servers of a service leave, its requests must be rejected at once.
func TestWaitingRequestIsNotSentToALeavingServer(t *testing.T) {
	d, _ := newTestDispatcher(t, 2, "a")
	var running []*Request
	var waiting []*Waiter
	for len(waiting) == 0 {
		r := newRequest(0, start)
		if _, w := d.Submit(r, start); w != nil {
			waiting = append(waiting, w)
		} else {
			running = append(running, r)
		}
	}
	result := AttemptResult{Outcome: OutcomeSucceeded, Duration: time.Millisecond, Leaving: true, Incarnation: 1}
	for _, r := range running {
		d.Finish(r, d.servers["s0"], result, start)
		must.SliceEmpty(t, d.StartWaiters("books", start))
	}
	decision, _ := d.Submit(newRequest(0, start), start)
	must.Eq(t, VerdictReject, decision.Verdict)
	must.Positive(t, decision.RetryAfter)
}

// The memory of servers that are gone must not grow without bound.
func TestLeavingServersAreForgottenAfterTheyAreGone(t *testing.T) {
	d, records := newTestDispatcher(t, 4, "a", "b")
	announceLeaving(t, d, 1, OutcomeSucceeded)
	d.SetServers(records[1:], nil, start)
	d.SetServers(records[1:], nil, start.Add(leavingMemory))
	must.Len(t, 1, d.LeavingServers())
	d.SetServers(records[1:], nil, start.Add(leavingMemory+time.Second))
	must.SliceEmpty(t, d.LeavingServers())
}
