package keys

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testStart = time.Unix(500, 0)

// atSecond returns the time that many seconds after testStart.
func atSecond(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// sevenInstances maps seven instances to their three zones. The instance under test
// is a1.
var sevenInstances = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

func completeDigest(name string, asOf float64) ReceivedDigest {
	return ReceivedDigest{Name: name, Zone: sevenInstances[name], BootID: 1, Complete: true, AsOf: atSecond(asOf), ReceivedAt: atSecond(asOf)}
}

func withSummaries(h ReceivedDigest, zones ...ZoneSummary) ReceivedDigest {
	h.ZoneSummaries = zones
	return h
}

// Guards against key data that counts as fresh although neither a platform state nor
// digests of a majority are within the bound, directly or through peers.
func TestFreshnessRule(t *testing.T) {
	relayed := func(age time.Duration) ReceivedDigest {
		h := completeDigest("b1", 10)
		h.PlatformKnown, h.PlatformAge = true, age
		return h
	}
	incomplete := completeDigest("b2", 10)
	incomplete.Complete = false
	cases := []struct {
		name     string
		platform float64 // 0: never read
		heard    []ReceivedDigest
		now      float64
		want     bool
	}{
		{"no platform read, no digests", 0, nil, 10, false},
		{"platform within the bound", 10, nil, 15, true},
		{"platform outside the bound", 10, nil, 15.1, false},
		{"platform age in a peer's digest", 0, []ReceivedDigest{relayed(3 * time.Second)}, 12, true},
		{"platform age and digest age together outside the bound", 0, []ReceivedDigest{relayed(3 * time.Second)}, 12.1, false},
		{"majority within the bound", 0, []ReceivedDigest{completeDigest("a2", 10), completeDigest("b1", 10), completeDigest("c1", 10)}, 15, true},
		{"one digest of the majority outside the bound", 0, []ReceivedDigest{completeDigest("a2", 10), completeDigest("b1", 9.9), completeDigest("c1", 10)}, 15, false},
		{"three of seven, one digest twice", 0, []ReceivedDigest{completeDigest("a2", 10), completeDigest("b1", 10), completeDigest("b1", 10)}, 10, false},
		{"incomplete peer is not counted", 0, []ReceivedDigest{completeDigest("a2", 10), completeDigest("b1", 10), incomplete}, 10, false},
		{"unlisted instance is not counted", 0, []ReceivedDigest{completeDigest("a2", 10), completeDigest("b1", 10), completeDigest("x1", 10)}, 10, false},
		{"own digest is not counted", 0, []ReceivedDigest{completeDigest("a2", 10), completeDigest("b1", 10), completeDigest("a1", 10)}, 10, false},
		{"zone summary within the bound", 0, []ReceivedDigest{completeDigest("a2", 10), withSummaries(completeDigest("b1", 10), ZoneSummary{"b", 2, time.Second})}, 14, true},
		{"zone summary outside the bound", 0, []ReceivedDigest{completeDigest("a2", 10), withSummaries(completeDigest("b1", 10), ZoneSummary{"b", 2, time.Second})}, 14.1, false},
		{"summary of a zone other than the sender's", 0, []ReceivedDigest{withSummaries(completeDigest("b1", 10), ZoneSummary{"c", 2, time.Second})}, 14, true},
		{"summary count is limited to the size of the zone", 0, []ReceivedDigest{withSummaries(completeDigest("a2", 10), ZoneSummary{"c", 9, 0})}, 10, true},
		{"two summaries of one zone", 0, []ReceivedDigest{withSummaries(completeDigest("a2", 10), ZoneSummary{"c", 1, 0}), withSummaries(completeDigest("a3", 9), ZoneSummary{"c", 1, 0})}, 14, true},
		{"summary count above the size of the zone makes no majority", 0, []ReceivedDigest{withSummaries(completeDigest("x1", 10), ZoneSummary{"b", 9, 0})}, 10, false},
		{"summary of the own zone is ignored", 0, []ReceivedDigest{withSummaries(completeDigest("b1", 10), ZoneSummary{"a", 3, 0})}, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFreshnessTracker("a1", "a", atSecond(0))
			f.SetListedInstances(sevenInstances)
			f.DeclareComplete()
			if c.platform > 0 {
				f.RecordPlatformRead(atSecond(c.platform))
			}
			for _, h := range c.heard {
				f.RecordDigest(h)
			}
			must.Eq(t, c.want, f.Fresh(atSecond(c.now), testBound, len(sevenInstances)))
		})
	}
}

// Guards against an instance that lost confirmed withdrawals in a restart and counts as
// complete before it has recovered them.
func TestCompleteAfterRestart(t *testing.T) {
	without := func(h ReceivedDigest) ReceivedDigest { h.Complete = false; return h }
	others := []string{"a2", "a3", "b1", "b2", "c1", "c2"}
	all := func(from, step float64) (list []ReceivedDigest) {
		for i, name := range others {
			list = append(list, without(completeDigest(name, from+step*float64(i))))
		}
		return list
	}
	cases := []struct {
		name     string
		platform bool
		heard    []ReceivedDigest
		want     bool
	}{
		{"platform alone", true, nil, false},
		{"one complete peer alone", false, []ReceivedDigest{completeDigest("b1", 2)}, false},
		{"platform and a complete peer", true, []ReceivedDigest{completeDigest("b1", 2)}, true},
		{"platform and a digest from before the start", true, []ReceivedDigest{completeDigest("b1", -2)}, false},
		{"platform and an unlisted peer", true, []ReceivedDigest{completeDigest("x1", 2)}, false},
		{"majority without the platform", false, []ReceivedDigest{completeDigest("a2", 1), completeDigest("b1", 2), completeDigest("b2", 2), completeDigest("c1", 9)}, true},
		{"no majority: three of seven", false, []ReceivedDigest{completeDigest("a2", 1), completeDigest("b1", 2), completeDigest("b2", 2)}, false},
		{"majority by zone summaries", false, []ReceivedDigest{withSummaries(completeDigest("b1", 9), ZoneSummary{"b", 2, time.Second}, ZoneSummary{"c", 2, time.Second})}, true},
		{"summary from before the start", false, []ReceivedDigest{withSummaries(completeDigest("b1", 9), ZoneSummary{"b", 2, time.Second}, ZoneSummary{"c", 2, 10 * time.Second})}, false},
		{"all peers incomplete at the same moment", true, append(all(2, 0.1), all(4, 0.1)...), true},
		{"all peers incomplete, but not at the same moment", true, all(2, 0.1), false},
		{"all peers incomplete, without the platform", false, append(all(2, 0.1), all(4, 0.1)...), false},
		{"five of six peers incomplete, the sixth unknown", true, append(all(2, 0.1)[1:], all(4, 0.1)[1:]...), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFreshnessTracker("a1", "a", atSecond(0))
			f.SetListedInstances(sevenInstances)
			if c.platform {
				f.RecordPlatformRead(atSecond(1))
			}
			for _, h := range c.heard {
				f.RecordDigest(h)
			}
			must.Eq(t, c.want, f.Complete())
			if !c.want {
				must.False(t, f.Fresh(atSecond(1), time.Hour, len(sevenInstances)))
			}
		})
	}
	half := NewFreshnessTracker("a1", "a", atSecond(0))
	half.SetListedInstances(sevenInstances)
	half.DeclareComplete()
	half.RecordDigest(withSummaries(completeDigest("b1", 9), ZoneSummary{"b", 2, 0}))
	half.RecordDigest(completeDigest("a2", 9))
	must.True(t, half.Fresh(atSecond(9), testBound, 7))
	must.False(t, half.Fresh(atSecond(9), testBound, 8), must.Sprint("half is not more than half"))
	alone := NewFreshnessTracker("a1", "a", atSecond(0))
	alone.SetListedInstances(map[string]string{"a1": "a"})
	alone.RecordPlatformRead(atSecond(1))
	must.True(t, alone.Fresh(atSecond(60), testBound, 1), must.Sprint("the only listed instance is more than half"))
}

// Guards against summaries that count more instances, or younger digests, than were
// received.
func TestSummaries(t *testing.T) {
	f := NewFreshnessTracker("a1", "a", atSecond(0))
	f.SetListedInstances(sevenInstances)
	f.RecordDigest(completeDigest("a2", 8))
	must.SliceEmpty(t, f.ZoneSummaries(atSecond(10), 3*time.Second), must.Sprint("an incomplete instance omits its own zone"))
	f.RecordDigest(withSummaries(completeDigest("b1", 9), ZoneSummary{"b", 2, time.Second}, ZoneSummary{"c", 2, 4 * time.Second}))
	f.RecordDigest(withSummaries(completeDigest("b2", 9), ZoneSummary{"b", 1, 0}, ZoneSummary{"c", 1, time.Second}))
	want := []ZoneSummary{{"a", 2, 2 * time.Second}, {"b", 2, 2 * time.Second}, {"c", 1, 2 * time.Second}}
	must.Eq(t, want, f.ZoneSummaries(atSecond(10), 3*time.Second))
	must.Eq(t, []ZoneSummary{{"a", 1, 0}}, f.ZoneSummaries(atSecond(20), 3*time.Second))
}

// Guards against a withdrawal that is reported as in force while an instance may still
// accept the key.
func TestWithdrawalReport(t *testing.T) {
	type confirmation struct {
		name                string
		boot                uint64
		requested, received float64
	}
	confirm := func(requested, received float64, names ...string) (list []confirmation) {
		for _, n := range names {
			list = append(list, confirmation{n, 1, requested, received})
		}
		return list
	}
	join := func(lists ...[]confirmation) (all []confirmation) {
		for _, l := range lists {
			all = append(all, l...)
		}
		return all
	}
	majority, minority := []string{"i1", "i2", "i3"}, []string{"i4", "i5"}
	cases := []struct {
		name       string
		platform   float64 // second from which it has the withdrawal; 0: it does not
		confirmed  []confirmation
		now        float64
		want       bool
		wait       time.Duration
		notReached []string
	}{
		{"no confirmations", 0, nil, 100, false, 0, []string{"i1", "i2", "i3", "i4", "i5"}},
		{"all confirmed twice", 0, join(confirm(1, 2, append(minority, majority...)...), confirm(3, 4, append(minority, majority...)...)), 4, true, 0, nil},
		{"all confirmed once", 0, confirm(1, 2, append(minority, majority...)...), 100, false, 0, nil},
		{"all confirmed, but never at the same moment", 0, join(confirm(1, 2, majority...), confirm(3, 4, majority...), confirm(5, 6, minority...), confirm(7, 8, minority...)), 100, false, 0, nil},
		{"majority without the platform", 0, join(confirm(1, 2, majority...), confirm(3, 4, majority...)), 100, false, 0, minority},
		{"platform alone", 1, nil, 100, false, 0, []string{"i1", "i2", "i3", "i4", "i5"}},
		{"majority, bound not yet passed", 1, join(confirm(1, 2, majority...), confirm(3, 4, majority...)), 4, false, 3050 * time.Millisecond, minority},
		{"majority, bound passed", 1, join(confirm(1, 2, majority...), confirm(3, 4, majority...)), 7.05, true, 0, minority},
		{"majority confirmed before the platform had it", 5, join(confirm(1, 2, majority...), confirm(3, 4, majority...)), 100, false, 0, minority},
		{"minority", 1, join(confirm(1, 2, minority...), confirm(3, 4, minority...)), 100, false, 0, majority},
		{"one of the majority restarted between its confirmations", 1, join(confirm(1, 2, majority...), confirm(3, 4, majority[:2]...), []confirmation{{"i3", 2, 3, 4}}), 100, false, 0, minority},
		{"unlisted instances are not counted", 1, join(confirm(1, 2, "i1", "x1", "x2"), confirm(3, 4, "i1", "x1", "x2")), 100, false, 0, []string{"i2", "i3", "i4", "i5"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewWithdrawalTracker([]string{"i1", "i2", "i3", "i4", "i5"})
			if c.platform > 0 {
				tracker.RecordPlatform(atSecond(c.platform))
			}
			for _, confirmed := range c.confirmed {
				tracker.RecordConfirmation(confirmed.name, confirmed.boot, atSecond(confirmed.requested), atSecond(confirmed.received))
			}
			want := WithdrawalReport{InForce: c.want, StoredOnPlatform: c.platform > 0, NotReached: c.notReached, RemainingWait: c.wait}
			must.Eq(t, want, tracker.Report(atSecond(c.now), testBound))
		})
	}
}
