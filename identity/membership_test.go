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

// testMembership is a Membership with a clock that the test advances.
type testMembership struct {
	*Membership
	now time.Time
}

var testTimeouts = MembershipTimeouts{
	ZoneDigestTimeout:   5 * time.Second,
	RemoteDigestTimeout: 15 * time.Second,
	RenewalTimeout:      20 * time.Second,
	MaxListingAge:       15 * time.Second,
	SuspectTimeout:      30 * time.Second,
}

func (v *testMembership) advance(d time.Duration) { v.now = v.now.Add(d) }

// receiveDigest applies a direct digest of the process with boot ID boot of instance x
// in zone.
func (v *testMembership) receiveDigest(zone string, boot uint64, draining bool) {
	v.ApplySighting(Sighting{Name: "x", Zone: zone, BootID: boot, CallerAddress: "heard", Draining: draining}, v.now)
}

// applyScan applies a scan with one row of instance x, or without rows if renewal is 0.
func (v *testMembership) applyScan(boot, renewal uint64, state State) {
	var rows []Registration
	if renewal > 0 {
		rows = append(rows, Registration{Name: "x", Zone: "z", BootID: boot, FencingToken: int64(boot), RenewalCount: renewal, State: state, CallerAddress: "row"})
	}
	v.ApplyRegistrations(rows, v.now)
}

// applyListing applies a new listing with x in a state, or without it.
func (v *testMembership) applyListing(state tablestore.InstanceState) {
	l := tablestore.Listing{AsOf: v.now}
	if state != "" {
		l.Instances = []tablestore.Instance{{Name: "x", Zone: "z", State: state}}
	}
	v.ApplyListing(l, v.now)
}

// Each case guards against a lookup answer that contains a draining or dead instance, or
// that omits a usable one.
func TestMembership(t *testing.T) {
	cases := []struct {
		name  string
		event func(*testMembership)
		want  MemberState // "": no record
	}{
		{"heard", func(v *testMembership) { v.receiveDigest("z", 1, false) }, MemberLive},
		{"digest just within the timeout", func(v *testMembership) { v.receiveDigest("z", 1, false); v.advance(5*time.Second - 1) }, MemberLive},
		{"no digest within the timeout, own zone", func(v *testMembership) { v.receiveDigest("z", 1, false); v.advance(5 * time.Second) }, MemberSuspected},
		{"digest just within the timeout, other zone", func(v *testMembership) { v.receiveDigest("far", 1, false); v.advance(14 * time.Second) }, MemberLive},
		{"no digest within the timeout, other zone", func(v *testMembership) { v.receiveDigest("far", 1, false); v.advance(15 * time.Second) }, MemberSuspected},
		{"digest too old, renewed since", func(v *testMembership) {
			v.receiveDigest("z", 1, false)
			v.applyScan(1, 1, StateServing)
			v.advance(10 * time.Second)
			v.applyScan(1, 2, StateServing)
		}, MemberLive},
		{"no digest and no new renewal", func(v *testMembership) {
			v.applyScan(1, 1, StateServing)
			v.advance(20 * time.Second)
			v.applyScan(1, 1, StateServing)
		}, MemberSuspected},
		{"platform down, last scan stays valid", func(v *testMembership) { v.applyScan(1, 1, StateServing); v.advance(time.Hour) }, MemberLive},
		{"platform down, digests stopped", func(v *testMembership) {
			v.applyScan(1, 1, StateServing)
			v.advance(time.Second)
			v.receiveDigest("z", 1, false)
			v.advance(5 * time.Second)
		}, MemberSuspected},
		{"platform down, silence alone is not gone", func(v *testMembership) {
			v.applyListing("")
			v.receiveDigest("z", 1, false)
			v.advance(time.Hour)
		}, MemberSuspected},
		{"draining by digest", func(v *testMembership) { v.receiveDigest("z", 1, true) }, MemberDraining},
		{"draining by row", func(v *testMembership) { v.applyScan(1, 1, StateDraining); v.receiveDigest("z", 1, false) }, MemberDraining},
		{"draining, then silent", func(v *testMembership) { v.receiveDigest("z", 1, true); v.advance(time.Minute) }, MemberDraining},
		{"leaving by listing", func(v *testMembership) { v.receiveDigest("z", 1, false); v.applyListing(tablestore.InstanceLeaving) }, MemberDraining},
		{"new process after leaving", func(v *testMembership) {
			v.receiveDigest("z", 1, false)
			v.applyListing(tablestore.InstanceLeaving)
			v.advance(6 * time.Second)
			v.receiveDigest("z", 2, false)
		}, MemberLive},
		{"deregistered", func(v *testMembership) { v.receiveDigest("z", 1, false); v.applyScan(1, 1, StateDeregistered) }, MemberGone},
		{"registered again after deregistration", func(v *testMembership) { v.applyScan(1, 1, StateDeregistered); v.applyScan(2, 1, StateServing) }, MemberLive},
		{"row of an older process is ignored", func(v *testMembership) {
			v.applyScan(2, 1, StateServing)
			v.applyScan(1, 9, StateDeregistered)
		}, MemberLive},
		{"digest of another process while the first is not silent", func(v *testMembership) {
			v.receiveDigest("z", 2, false)
			v.receiveDigest("z", 1, true)
		}, MemberLive},
		{"silent and not in the listing", func(v *testMembership) {
			v.receiveDigest("z", 1, false)
			v.advance(35 * time.Second)
			v.applyListing("")
		}, MemberGone},
		{"silent and in the listing", func(v *testMembership) {
			v.receiveDigest("z", 1, false)
			v.advance(time.Hour)
			v.applyListing(tablestore.InstanceLive)
		}, MemberSuspected},
		{"digest before the listing contains it", func(v *testMembership) { v.receiveDigest("z", 1, false); v.applyListing("") }, MemberLive},
		{"row that the listing does not confirm", func(v *testMembership) { v.applyListing(""); v.applyScan(1, 1, StateServing) }, MemberGone},
		{"only in the listing", func(v *testMembership) { v.applyListing(tablestore.InstanceLive) }, MemberSuspected},
		{"older listing is ignored", func(v *testMembership) {
			v.receiveDigest("z", 1, false)
			v.applyListing(tablestore.InstanceLeaving)
			v.ApplyListing(tablestore.Listing{AsOf: v.now.Add(-time.Second)}, v.now)
		}, MemberDraining},
		{"record removed when gone and without a row", func(v *testMembership) {
			v.applyScan(1, 1, StateServing)
			v.advance(time.Minute)
			v.applyListing("")
			v.applyScan(1, 0, StateServing)
		}, ""},
	}
	for _, tc := range cases {
		v := &testMembership{Membership: NewMembership("z", testTimeouts), now: time.Now()}
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

// Guards against suspected instances in lookup answers while others are live, and
// against relayed digests whose age is not counted.
func TestUsablePrefersLive(t *testing.T) {
	m, now := NewMembership("z", testTimeouts), time.Now()
	for name, age := range map[string]time.Duration{"b": time.Second, "a": 0, "c": 5 * time.Second} {
		m.ApplySighting(Sighting{Name: name, Zone: "z", BootID: 1, CallerAddress: name, Age: age}, now)
	}
	usable := m.LookupCandidates(now)
	must.Len(t, 2, usable)
	must.Eq(t, "a", usable[0].Name)
	must.Eq(t, time.Second, usable[1].SinceLastSeen)
}

// Guards against sightings that circulate between instances of a zone and keep a dead
// instance live, and against a relayed sighting without addresses that erases those
// already known.
func TestDirectSightings(t *testing.T) {
	a, b, now := NewMembership("z", testTimeouts), NewMembership("z", testTimeouts), time.Now()
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

// Guards against a zone failure that other zones notice late: checks the digest timeout
// for instances of other zones at the target size of the fleet.
func TestRulesAtTargetSize(t *testing.T) {
	timeouts := FleetSize{Instances: 410, Zones: 24, ZoneInstances: 17}.MembershipTimeouts()
	must.Less(t, 36*time.Second, timeouts.RemoteDigestTimeout)
	must.Greater(t, 30*time.Second, timeouts.RemoteDigestTimeout)
	must.Eq(t, minRemoteDigestTimeout, FleetSize{Instances: 7, Zones: 6, ZoneInstances: 1}.MembershipTimeouts().RemoteDigestTimeout)
}

// Guards against a process that is reported as gone while it still works, so that its
// claims would be taken for abandoned.
func TestProcessState(t *testing.T) {
	v := &testMembership{Membership: NewMembership("z", testTimeouts), now: time.Now()}
	must.Eq(t, MemberSuspected, v.ProcessState("x", 1, v.now))
	v.applyScan(1, 1, StateServing)
	must.Eq(t, MemberLive, v.ProcessState("x", 1, v.now))
	must.Eq(t, MemberSuspected, v.ProcessState("x", 2, v.now))
	v.applyScan(2, 1, StateServing)
	must.Eq(t, MemberGone, v.ProcessState("x", 1, v.now))
	must.Eq(t, MemberLive, v.ProcessState("x", 2, v.now))
}

// callCountingList counts the reads of the listing.
type callCountingList struct {
	*memory.Store
	calls atomic.Int64
}

func (l *callCountingList) List(ctx context.Context) (tablestore.Listing, error) {
	l.calls.Add(1)
	return l.Store.List(ctx)
}

// Guards against registrations and scans that use up the platform's reads and writes,
// also when all instances start at the same time.
func TestFleetCost(t *testing.T) {
	for _, size := range []FleetSize{{Instances: 7, Zones: 6}, {Instances: 410, Zones: 24}} {
		synctest.Test(t, func(t *testing.T) {
			list := &callCountingList{Store: memory.New()}
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
				h.jitterFraction = rand.New(rand.NewPCG(uint64(n), 1)).Float64
				wg.Go(func() { _ = h.Run(ctx, logger) })
				// In a large fleet only the watchers of one zone run. The
				// measured reads are scaled up.
				if size.Instances <= smallFleetInstances || i.Zone == "z0" {
					watchers++
					w := NewWatcher(i.Zone, list, list, logger)
					w.jitterFraction = func() float64 { return (float64(n) + 0.5) / float64(size.Instances) }
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
			reads, writes = measure(15 * time.Minute) // one scan interval of an instance in a fleet of 410
			t.Logf("%d instances, steady: %.1f reads/s (computed %.1f), %.1f row writes/s (computed %.1f)",
				size.Instances, reads, size.ReadsPerSecond(), writes, size.WritesPerSecond())
			must.Less(t, 1.25*size.ReadsPerSecond(), reads)
			must.Less(t, 1.25*size.WritesPerSecond(), writes)
			must.Less(t, 300, reads)
			must.Less(t, 30, writes)
		})
	}
}
