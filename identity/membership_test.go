package identity

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/shoenig/test/must"
)

// view drives a Membership on a clock that starts at an arbitrary time.
type view struct {
	*Membership
	now time.Time
}

var testRules = MembershipTimeouts{
	ZoneDigestTimeout:   5 * time.Second,
	RemoteDigestTimeout: 15 * time.Second,
	RenewalTimeout:     20 * time.Second,
	MaxListingAge:      15 * time.Second,
	SuspectTimeout:         30 * time.Second,
}

func (v *view) pass(d time.Duration) { v.now = v.now.Add(d) }

// heard applies a direct digest of process boot of instance x in zone.
func (v *view) heard(zone string, boot uint64, draining bool) {
	v.ApplySighting(Sighting{Name: "x", Zone: zone, BootID: boot, CallerAddress: "heard", Draining: draining}, v.now)
}

// scan applies a scan with one row of x; renewal 0 means no row.
func (v *view) scan(boot, renewal uint64, state State) {
	var rows []Registration
	if renewal > 0 {
		rows = append(rows, Registration{Name: "x", Zone: "z", BootID: boot, FencingToken: int64(boot), RenewalCount: renewal, State: state, CallerAddress: "row"})
	}
	v.ApplyRegistrations(rows, v.now)
}

// list applies a new listing with x in a state, or without it.
func (v *view) list(state tablestore.InstanceState) {
	l := tablestore.Listing{AsOf: v.now}
	if state != "" {
		l.Instances = []tablestore.Instance{{Name: "x", Zone: "z", State: state}}
	}
	v.ApplyListing(l, v.now)
}

// Each case guards against a lookup that names a draining or dead instance, or
// that leaves out a usable one.
func TestMembership(t *testing.T) {
	cases := []struct {
		name  string
		event func(*view)
		want  MemberState // "": not known
	}{
		{"heard", func(v *view) { v.heard("z", 1, false) }, MemberLive},
		{"heard to the limit", func(v *view) { v.heard("z", 1, false); v.pass(5*time.Second - 1) }, MemberLive},
		{"silent in the own zone", func(v *view) { v.heard("z", 1, false); v.pass(5 * time.Second) }, MemberSuspected},
		{"other zones are heard less often", func(v *view) { v.heard("far", 1, false); v.pass(14 * time.Second) }, MemberLive},
		{"silent in another zone", func(v *view) { v.heard("far", 1, false); v.pass(15 * time.Second) }, MemberSuspected},
		{"not heard but renewed", func(v *view) {
			v.heard("z", 1, false)
			v.scan(1, 1, StateServing)
			v.pass(10 * time.Second)
			v.scan(1, 2, StateServing)
		}, MemberLive},
		{"neither heard nor renewed", func(v *view) {
			v.scan(1, 1, StateServing)
			v.pass(20 * time.Second)
			v.scan(1, 1, StateServing)
		}, MemberSuspected},
		{"platform down keeps the last list", func(v *view) { v.scan(1, 1, StateServing); v.pass(time.Hour) }, MemberLive},
		{"platform down, peers decide", func(v *view) {
			v.scan(1, 1, StateServing)
			v.pass(time.Second)
			v.heard("z", 1, false)
			v.pass(5 * time.Second)
		}, MemberSuspected},
		{"platform down, never gone", func(v *view) {
			v.list("")
			v.heard("z", 1, false)
			v.pass(time.Hour)
		}, MemberSuspected},
		{"draining by digest", func(v *view) { v.heard("z", 1, true) }, MemberDraining},
		{"draining by row", func(v *view) { v.scan(1, 1, StateDraining); v.heard("z", 1, false) }, MemberDraining},
		{"draining and silent", func(v *view) { v.heard("z", 1, true); v.pass(time.Minute) }, MemberDraining},
		{"leaving by listing", func(v *view) { v.heard("z", 1, false); v.list(tablestore.InstanceLeaving) }, MemberDraining},
		{"replaced after leaving", func(v *view) {
			v.heard("z", 1, false)
			v.list(tablestore.InstanceLeaving)
			v.pass(6 * time.Second)
			v.heard("z", 2, false)
		}, MemberLive},
		{"deregistered", func(v *view) { v.heard("z", 1, false); v.scan(1, 1, StateDeregistered) }, MemberGone},
		{"registered again", func(v *view) { v.scan(1, 1, StateDeregistered); v.scan(2, 1, StateServing) }, MemberLive},
		{"older row after a newer process", func(v *view) {
			v.scan(2, 1, StateServing)
			v.scan(1, 9, StateDeregistered)
		}, MemberLive},
		{"older process is still heard", func(v *view) {
			v.heard("z", 2, false)
			v.heard("z", 1, true)
		}, MemberLive},
		{"silent and not listed", func(v *view) {
			v.heard("z", 1, false)
			v.pass(35 * time.Second)
			v.list("")
		}, MemberGone},
		{"silent and still listed", func(v *view) {
			v.heard("z", 1, false)
			v.pass(time.Hour)
			v.list(tablestore.InstanceLive)
		}, MemberSuspected},
		{"heard and not listed yet", func(v *view) { v.heard("z", 1, false); v.list("") }, MemberLive},
		{"old row that the listing does not name", func(v *view) { v.list(""); v.scan(1, 1, StateServing) }, MemberGone},
		{"only listed", func(v *view) { v.list(tablestore.InstanceLive) }, MemberSuspected},
		{"older listing is ignored", func(v *view) {
			v.heard("z", 1, false)
			v.list(tablestore.InstanceLeaving)
			v.ApplyListing(tablestore.Listing{AsOf: v.now.Add(-time.Second)}, v.now)
		}, MemberDraining},
		{"forgotten", func(v *view) {
			v.scan(1, 1, StateServing)
			v.pass(time.Minute)
			v.list("")
			v.scan(1, 0, StateServing)
		}, ""},
	}
	for _, tc := range cases {
		v := &view{Membership: NewMembership("z", testRules), now: time.Now()}
		tc.event(v)
		members := v.Members(v.now)
		if tc.want == "" {
			must.SliceEmpty(t, members, must.Sprint(tc.name))
			continue
		}
		must.Len(t, 1, members, must.Sprint(tc.name))
		must.Eq(t, tc.want, members[0].State, must.Sprint(tc.name))
		known := members[0].CallerAddress != ""
		usable := known && (tc.want == MemberLive || tc.want == MemberSuspected)
		must.Eq(t, usable, len(v.LookupCandidates(v.now)) == 1, must.Sprint(tc.name))
	}
}

// Guards against suspected instances in lookups beside live ones, and against
// ages that grow along a path but are not counted.
func TestUsablePrefersLive(t *testing.T) {
	m, now := NewMembership("z", testRules), time.Now()
	for name, age := range map[string]time.Duration{"b": time.Second, "a": 0, "c": 5 * time.Second} {
		m.ApplySighting(Sighting{Name: name, Zone: "z", BootID: 1, CallerAddress: name, Age: age}, now)
	}
	usable := m.LookupCandidates(now)
	must.Len(t, 2, usable)
	must.Eq(t, "a", usable[0].Name)
	must.Eq(t, time.Second, usable[1].SinceLastSeen)
}

// Guards against sightings that circulate between zone mates and keep a dead
// instance live, and against a relay that hides the sender's addresses.
func TestDirectSightings(t *testing.T) {
	a, b, now := NewMembership("z", testRules), NewMembership("z", testRules), time.Now()
	a.ApplySighting(Sighting{Name: "x", Zone: "far", BootID: 1, FencingToken: 7, PeerAddress: "p", CallerAddress: "c"}, now)
	now = now.Add(time.Second)
	relayed := a.DirectSightings(now, 2*time.Second)
	must.Eq(t, []Sighting{{Name: "x", Zone: "far", BootID: 1, FencingToken: 7, PeerAddress: "p", CallerAddress: "c", Age: time.Second}}, relayed)
	must.SliceEmpty(t, a.DirectSightings(now, time.Second))
	b.ApplySighting(relayed[0], now)
	must.SliceEmpty(t, b.DirectSightings(now, time.Hour))
	b.ApplySighting(Sighting{Name: "x", Zone: "far", BootID: 1, Age: time.Millisecond}, now)
	must.Eq(t, "c", b.Members(now)[0].CallerAddress)
	must.Eq(t, MemberLive, b.Members(now.Add(14 * time.Second))[0].State)
	must.Eq(t, MemberSuspected, b.Members(now.Add(15 * time.Second))[0].State)
}

// Guards against a zone failure that other zones notice late: the limit for
// remote instances at the target size.
func TestRulesAtTargetSize(t *testing.T) {
	rules := FleetSize{Instances: 410, Zones: 24, ZoneInstances: 17}.MembershipTimeouts()
	must.Less(t, 36*time.Second, rules.RemoteDigestTimeout)
	must.Greater(t, 30*time.Second, rules.RemoteDigestTimeout)
	must.Eq(t, minRemoteHeardWithin, FleetSize{Instances: 7, Zones: 6, ZoneInstances: 1}.MembershipTimeouts().RemoteDigestTimeout)
}

// Guards against a claim that is reported as abandoned while its claimant works.
func TestProcess(t *testing.T) {
	v := &view{Membership: NewMembership("z", testRules), now: time.Now()}
	must.Eq(t, MemberSuspected, v.ProcessState("x", 1, v.now))
	v.scan(1, 1, StateServing)
	must.Eq(t, MemberLive, v.ProcessState("x", 1, v.now))
	must.Eq(t, MemberSuspected, v.ProcessState("x", 2, v.now))
	v.scan(2, 1, StateServing)
	must.Eq(t, MemberGone, v.ProcessState("x", 1, v.now))
	must.Eq(t, MemberLive, v.ProcessState("x", 2, v.now))
}

// countingList counts the calls for the instance list.
type countingList struct {
	*memory.Store
	calls atomic.Int64
}

func (l *countingList) List(ctx context.Context) (tablestore.Listing, error) {
	l.calls.Add(1)
	return l.Store.List(ctx)
}

// Guards against a fleet whose registrations and scans take the platform's reads
// and writes from everything else, also when all instances start at once.
func TestFleetCost(t *testing.T) {
	for _, size := range []FleetSize{{Instances: 7, Zones: 6}, {Instances: 410, Zones: 24}} {
		synctest.Test(t, func(t *testing.T) {
			list := &countingList{Store: memory.New()}
			listing := make([]tablestore.Instance, size.Instances)
			for n := range listing {
				listing[n] = tablestore.Instance{Name: fmt.Sprintf("entry-%03d", n), Zone: fmt.Sprint("z", n%size.Zones), State: tablestore.InstanceLive}
			}
			list.SetInstances(listing, time.Now())
			var wg sync.WaitGroup
			defer wg.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			logger := slog.New(slog.DiscardHandler)
			watchers := 0.0
			for n, i := range listing {
				h := NewRegistrationHolder(InstanceConfig{Name: i.Name, Zone: i.Zone, BootID: uint64(n + 1), FleetSize: func() FleetSize { return size }}, list)
				h.jitter = rand.New(rand.NewPCG(uint64(n), 1)).Float64
				wg.Go(func() { _ = h.Run(ctx, logger) })
				// The watchers of one zone stand for those of a large fleet.
				if size.Instances <= smallFleet || i.Zone == "z0" {
					watchers++
					w := NewWatcher(i.Zone, list, list, logger)
					w.jitter = func() float64 { return (float64(n) + 0.5) / float64(size.Instances) }
					wg.Go(func() { w.Run(ctx) })
				}
			}
			measure := func(d time.Duration) (reads, writes float64) {
				before, lists := list.Counts(), list.calls.Load()
				time.Sleep(d)
				after := list.Counts()
				reads = float64(after.RowReads - before.RowReads + int(list.calls.Load()-lists))
				reads *= float64(size.Instances) / watchers
				return reads / d.Seconds(), float64(after.RowWrites-before.RowWrites) / d.Seconds()
			}
			reads, writes := measure(time.Minute)
			t.Logf("%d instances, first minute: %.1f reads/s, %.1f row writes/s", size.Instances, reads, writes)
			must.Less(t, 2000, reads)
			reads, writes = measure(15 * time.Minute) // one scan by each of the 410
			t.Logf("%d instances, steady: %.1f reads/s (computed %.1f), %.1f row writes/s (computed %.1f)",
				size.Instances, reads, size.ReadsPerSecond(), writes, size.WritesPerSecond())
			must.Less(t, 1.25*size.ReadsPerSecond(), reads)
			must.Less(t, 1.25*size.WritesPerSecond(), writes)
			must.Less(t, 300, reads)
			must.Less(t, 30, writes)
		})
	}
}
