package serverstate

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// newZone returns a tracker with n probed servers s0, s1 and so on in state Serving in one
// zone.
func newZone(n int) *Tracker {
	t := NewTracker()
	for i := range n {
		t.AddServing(Server{Name: fmt.Sprint("s", i), Service: "svc", Zone: "z", Probed: true}, epoch)
	}
	return t
}

// observe applies an event a number of times at the given time after epoch. The server is
// s0 unless the event names one.
func observe(t *Tracker, d time.Duration, e Event, times int) {
	e.At = at(d)
	if e.Server == "" {
		e.Server = "s0"
	}
	for range times {
		_, _ = t.Observe(e)
	}
}

// Guards against evidence that leads to a wrong state, reason or weight. Each case starts
// with s0 in state Serving, as one of four servers.
func TestStateByEvidence(t *testing.T) {
	ok := Event{Kind: KindSuccess, Latency: time.Millisecond}
	closing := Event{Kind: KindSuccess, Latency: time.Millisecond, ConnectionClose: true}
	type step struct {
		event Event
		times int
	}
	cases := []struct {
		name  string
		steps []step
		state State
		code  ReasonCode
		soft  bool
	}{
		{"success", []step{{ok, 5}}, Serving, CodeConfiguredAtStartup, false},
		{"refused connection", []step{{Event{Kind: KindConnectionRefused}, 1}}, Suspect, CodeConnectionRefused, false},
		{"repeatedly refused connections", []step{{Event{Kind: KindConnectionRefused}, 5}}, Gone, CodeConnectionRefused, false},
		{"single reset", []step{{Event{Kind: KindConnectionReset}, 1}}, Serving, CodeConfiguredAtStartup, false},
		{"resets interrupted by a success", []step{{Event{Kind: KindConnectionReset}, 2}, {ok, 1}, {Event{Kind: KindConnectionReset}, 2}}, Serving, CodeConfiguredAtStartup, false},
		{"consecutive resets", []step{{Event{Kind: KindConnectionReset}, 3}}, Suspect, CodeConnectionResets, false},
		{"server errors", []step{{Event{Kind: KindServerError}, 5}}, Suspect, CodeServerErrors, true},
		{"shed responses", []step{{Event{Kind: KindShedResponse}, 5}}, Suspect, CodeShedding, true},
		{"closing responses", []step{{ok, 1}, {closing, 3}}, Draining, CodeConsecutiveCloses, false},
		{"closing shed responses", []step{{ok, 1}, {Event{Kind: KindShedResponse, ConnectionClose: true}, 3}}, Draining, CodeConsecutiveCloses, false},
		{"closing responses resolved by one that keeps the connection", []step{{ok, 1}, {closing, 2}, {ok, 1}, {closing, 2}}, Serving, CodeConfiguredAtStartup, false},
		{"server that closes every connection", []step{{closing, 9}}, Serving, CodeConfiguredAtStartup, false},
		{"listed as leaving", []step{{ok, 1}, {Event{Kind: KindPlatformListing, Listing: ListingLeaving}, 1}}, Draining, CodeListedLeaving, false},
		{"not listed but requests succeed", []step{{ok, 1}, {Event{Kind: KindPlatformListing, Listing: ListingAbsent}, 1}}, Serving, CodeConfiguredAtStartup, false},
		{"not listed", []step{{Event{Kind: KindPlatformListing, Listing: ListingAbsent}, 1}}, Suspect, CodeNotListed, true},
		{"failed probes without requests", []step{{Event{Kind: KindProbe}, 3}}, Suspect, CodeProbesFailed, true},
		{"failed probes while requests succeed", []step{{ok, 1}, {Event{Kind: KindProbe}, 9}}, Serving, CodeConfiguredAtStartup, false},
		{"resets in spite of successful probes", []step{{Event{Kind: KindConnectionReset}, 2}, {Event{Kind: KindProbe, Healthy: true}, 9}, {Event{Kind: KindConnectionReset}, 1}}, Suspect, CodeConnectionResets, false},
		{"peer reports draining", []step{{ok, 1}, {Event{Kind: KindPeerReport, PeerState: Draining}, 1}}, Draining, CodePeerDraining, false},
		{"peer reports suspect", []step{{Event{Kind: KindPeerReport, PeerState: Suspect}, 1}}, Serving, CodeConfiguredAtStartup, false},
		{"refused connection while draining", []step{{ok, 1}, {closing, 3}, {Event{Kind: KindConnectionRefused}, 1}}, Gone, CodeConnectionRefused, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := newZone(4)
			for _, s := range c.steps {
				observe(tr, time.Second, s.event, s.times)
			}
			state, reason := tr.State("s0")
			must.Eq(t, c.state, state)
			must.Eq(t, c.code, reason.Code)
			must.Eq(t, c.soft, tr.servers["s0"].softEvidence)
			weight, _ := tr.Weight("s0", at(time.Second))
			must.Eq(t, c.state == Serving, weight > 0)
		})
	}
}

// Guards against new requests to a leaving server more than 3 s after its first closing
// response, at any request rate, while its health endpoint keeps reporting that it is
// healthy.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gap := time.Duration(rapid.IntRange(5, 4000).Draw(rt, "gap ms")) * time.Millisecond
		drain := time.Duration(rapid.IntRange(0, 10000).Draw(rt, "drain ms")) * time.Millisecond
		ticks := rapid.Bool().Draw(rt, "ticks") // the weight must be right without ticks, too
		tr := newZone(4)
		firstCloseAt := time.Duration(-1)
		nextRequest, nextSecond := time.Duration(0), time.Duration(0)
		for now := time.Duration(0); now < 30*time.Second; now += 5 * time.Millisecond {
			if now >= nextSecond {
				nextSecond += time.Second
				if ticks {
					tr.Tick(at(now))
				}
				observe(tr, now, Event{Kind: KindProbe, Healthy: true}, 1)
			}
			weight, reason := tr.Weight("s0", at(now))
			if firstCloseAt >= 0 && now >= firstCloseAt+3*time.Second && weight > 0 {
				rt.Fatalf("server has weight %v at %s, first closing response was at %s: %s", weight, now, firstCloseAt, reason)
			}
			state, _ := tr.State("s0")
			if ticks && firstCloseAt >= 0 && now >= firstCloseAt+3*time.Second && state == Serving {
				rt.Fatalf("server is still in state serving at %s, first closing response was at %s", now, firstCloseAt)
			}
			if now < nextRequest || weight == 0 {
				continue
			}
			nextRequest = now + gap
			closing := now >= drain && now > 0
			if closing && firstCloseAt < 0 {
				firstCloseAt = now
			}
			observe(tr, now, Event{Kind: KindSuccess, Latency: time.Millisecond, ConnectionClose: closing}, 1)
		}
	})
}

// Guards against soft evidence that excludes more than half of a zone's servers, for
// example when the probes of all servers fail.
func TestSoftEvidenceExcludesAtMostHalf(t *testing.T) {
	soft := []Event{
		{Kind: KindProbe}, {Kind: KindShedResponse}, {Kind: KindServerError},
		{Kind: KindLoadReport, Utilization: 1}, {Kind: KindPlatformListing, Listing: ListingAbsent},
	}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(rt, "servers")
		tr := newZone(n)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			e := rapid.SampledFrom(soft).Draw(rt, "event")
			e.Server = fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(rt, "server"))
			observe(tr, now, e, rapid.IntRange(1, 6).Draw(rt, "times"))
			tr.Tick(at(now))
			excluded := 0
			for i := range n {
				if w, _ := tr.Weight(fmt.Sprint("s", i), at(now)); w == 0 {
					excluded++
				}
			}
			if excluded > n/2 {
				rt.Fatalf("%d of %d servers excluded after event %+v", excluded, n, e)
			}
		}
	})
}

// Guards against a server that returns from a failure at full weight, and against
// successful probes that end a suspicion before its cooldown is over.
func TestRecoveryIsGradual(t *testing.T) {
	tr := newZone(4)
	observe(tr, 0, Event{Kind: KindConnectionReset}, 3)
	last, warmed := 0.0, false
	for now := 100 * time.Millisecond; now < 20*time.Second; now += 100 * time.Millisecond {
		observe(tr, now, Event{Kind: KindProbe, Healthy: true}, 1)
		tr.Tick(at(now))
		w, _ := tr.Weight("s0", at(now))
		must.True(t, now >= minCooldown || w == 0)
		must.GreaterEq(t, last, w)
		must.Less(t, 0.06, w-last)
		warmed = warmed || w > 0 && w < 1
		last = w
	}
	must.True(t, warmed)
	must.Eq(t, 1.0, last)
}

// Guards against two instances that keep confirming a drain to each other after it has
// ended.
func TestDrainReportedByPeerIsNotPassedOn(t *testing.T) {
	tr := newZone(4)
	observe(tr, 0, Event{Kind: KindPeerReport, PeerState: Draining}, 1)
	must.Eq(t, State(0), tr.StateForPeers("s0"))
	observe(tr, 0, Event{Server: "s1", Kind: KindPlatformListing, Listing: ListingLeaving}, 1)
	must.Eq(t, Draining, tr.StateForPeers("s1"))
}

// Guards against a slow server that keeps its full weight: one whose latency rises above
// its own long-term average must first get a lower weight and then become suspect.
func TestLatencyAgainstOwnHistory(t *testing.T) {
	tr := newZone(4)
	now := time.Duration(0)
	feed := func(latency time.Duration, n int) {
		for range n {
			now += 50 * time.Millisecond
			observe(tr, now, Event{Kind: KindSuccess, Latency: latency}, 1)
		}
	}
	feed(10*time.Millisecond, 200)
	w, _ := tr.Weight("s0", at(now))
	must.Eq(t, 1.0, w)
	feed(60*time.Millisecond, 200)
	w, r := tr.Weight("s0", at(now))
	must.Between(t, 0.1, w, 0.9)
	must.Eq(t, CodeHighLatency, r.Code)
	feed(time.Second, 60)
	state, reason := tr.State("s0")
	must.Eq(t, Suspect, state)
	must.Eq(t, CodeHighLatency, reason.Code)
}

// Guards against data races between concurrent calls, and against an untyped error for an
// unknown server.
func TestConcurrentUse(t *testing.T) {
	tr := newZone(8)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 200 {
				observe(tr, time.Duration(k)*time.Millisecond, Event{Server: fmt.Sprint("s", i), Kind: KindConnectionRefused}, 1)
				tr.Weight(fmt.Sprint("s", k%8), at(0))
				tr.Tick(at(time.Duration(k) * time.Millisecond))
			}
		})
	}
	wg.Wait()
	_, err := tr.Observe(Event{Server: "other"})
	var unknown *UnknownServerError
	must.True(t, errors.As(err, &unknown))
}
