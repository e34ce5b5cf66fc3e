package keys

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testStart = time.Unix(500, 0)

// after returns the time some seconds after the start.
func after(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// sevenListed are seven instances in three zones. The instance under test is a1.
var sevenListed = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

func hear(name string, asOf float64) ReceivedDigest {
	return ReceivedDigest{Name: name, Zone: sevenListed[name], BootID: 1, Complete: true, AsOf: after(asOf), ReceivedAt: after(asOf)}
}

func relay(h ReceivedDigest, zones ...ZoneSummary) ReceivedDigest {
	h.ZoneSummaries = zones
	return h
}

// Guards against key data that counts as fresh although neither the platform nor a
// majority was heard within the bound, by any of the ways to be heard.
func TestFresh(t *testing.T) {
	relayed := func(age time.Duration) ReceivedDigest {
		h := hear("b1", 10)
		h.PlatformKnown, h.PlatformAge = true, age
		return h
	}
	incomplete := hear("b2", 10)
	incomplete.Complete = false
	cases := []struct {
		name     string
		platform float64 // 0: never read
		heard    []ReceivedDigest
		now      float64
		want     bool
	}{
		{"nothing", 0, nil, 10, false},
		{"platform within the bound", 10, nil, 15, true},
		{"platform outside the bound", 10, nil, 15.1, false},
		{"platform age of a peer", 0, []ReceivedDigest{relayed(3 * time.Second)}, 12, true},
		{"ages add up", 0, []ReceivedDigest{relayed(3 * time.Second)}, 12.1, false},
		{"majority", 0, []ReceivedDigest{hear("a2", 10), hear("b1", 10), hear("c1", 10)}, 15, true},
		{"majority too old", 0, []ReceivedDigest{hear("a2", 10), hear("b1", 9.9), hear("c1", 10)}, 15, false},
		{"three of seven", 0, []ReceivedDigest{hear("a2", 10), hear("b1", 10), hear("b1", 10)}, 10, false},
		{"incomplete peer", 0, []ReceivedDigest{hear("a2", 10), hear("b1", 10), incomplete}, 10, false},
		{"instance not on the list", 0, []ReceivedDigest{hear("a2", 10), hear("b1", 10), hear("x1", 10)}, 10, false},
		{"itself", 0, []ReceivedDigest{hear("a2", 10), hear("b1", 10), hear("a1", 10)}, 10, false},
		{"zone summary", 0, []ReceivedDigest{hear("a2", 10), relay(hear("b1", 10), ZoneSummary{"b", 2, time.Second})}, 14, true},
		{"zone summary too old", 0, []ReceivedDigest{hear("a2", 10), relay(hear("b1", 10), ZoneSummary{"b", 2, time.Second})}, 14.1, false},
		{"summary of a third zone", 0, []ReceivedDigest{relay(hear("b1", 10), ZoneSummary{"c", 2, time.Second})}, 14, true},
		{"summary larger than its zone", 0, []ReceivedDigest{relay(hear("a2", 10), ZoneSummary{"c", 9, 0})}, 10, true},
		{"summaries of one zone twice", 0, []ReceivedDigest{relay(hear("a2", 10), ZoneSummary{"c", 1, 0}), relay(hear("a3", 9), ZoneSummary{"c", 1, 0})}, 14, true},
		{"summary larger than its zone, alone", 0, []ReceivedDigest{relay(hear("x1", 10), ZoneSummary{"b", 9, 0})}, 10, false},
		{"summary of the own zone", 0, []ReceivedDigest{relay(hear("b1", 10), ZoneSummary{"a", 3, 0})}, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFreshnessTracker("a1", "a", after(0))
			f.SetListedInstances(sevenListed)
			f.DeclareComplete()
			if c.platform > 0 {
				f.RecordPlatformRead(after(c.platform))
			}
			for _, h := range c.heard {
				f.RecordDigest(h)
			}
			must.Eq(t, c.want, f.Fresh(after(c.now), testBound, len(sevenListed)))
		})
	}
}

// Guards against an instance that forgot confirmed withdrawals in a restart and
// counts again before it has recovered them.
func TestComplete(t *testing.T) {
	without := func(h ReceivedDigest) ReceivedDigest { h.Complete = false; return h }
	others := []string{"a2", "a3", "b1", "b2", "c1", "c2"}
	all := func(from, step float64) (list []ReceivedDigest) {
		for i, name := range others {
			list = append(list, without(hear(name, from+step*float64(i))))
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
		{"one complete peer alone", false, []ReceivedDigest{hear("b1", 2)}, false},
		{"platform and a complete peer", true, []ReceivedDigest{hear("b1", 2)}, true},
		{"platform and a peer heard before the start", true, []ReceivedDigest{hear("b1", -2)}, false},
		{"platform and an unlisted peer", true, []ReceivedDigest{hear("x1", 2)}, false},
		{"four of seven", false, []ReceivedDigest{hear("a2", 1), hear("b1", 2), hear("b2", 2), hear("c1", 9)}, true},
		{"three of seven", false, []ReceivedDigest{hear("a2", 1), hear("b1", 2), hear("b2", 2)}, false},
		{"summaries", false, []ReceivedDigest{relay(hear("b1", 9), ZoneSummary{"b", 2, time.Second}, ZoneSummary{"c", 2, time.Second})}, true},
		{"summary from before the start", false, []ReceivedDigest{relay(hear("b1", 9), ZoneSummary{"b", 2, time.Second}, ZoneSummary{"c", 2, 10 * time.Second})}, false},
		{"all incomplete at once", true, append(all(2, 0.1), all(4, 0.1)...), true},
		{"all incomplete, one after the other", true, all(2, 0.1), false},
		{"all incomplete without the platform", false, append(all(2, 0.1), all(4, 0.1)...), false},
		{"five of six incomplete", true, append(all(2, 0.1)[1:], all(4, 0.1)[1:]...), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFreshnessTracker("a1", "a", after(0))
			f.SetListedInstances(sevenListed)
			if c.platform {
				f.RecordPlatformRead(after(1))
			}
			for _, h := range c.heard {
				f.RecordDigest(h)
			}
			must.Eq(t, c.want, f.Complete())
			if !c.want {
				must.False(t, f.Fresh(after(1), time.Hour, len(sevenListed)))
			}
		})
	}
	half := NewFreshnessTracker("a1", "a", after(0))
	half.SetListedInstances(sevenListed)
	half.DeclareComplete()
	half.RecordDigest(relay(hear("b1", 9), ZoneSummary{"b", 2, 0}))
	half.RecordDigest(hear("a2", 9))
	must.True(t, half.Fresh(after(9), testBound, 7))
	must.False(t, half.Fresh(after(9), testBound, 8), must.Sprint("half is not more than half"))
	alone := NewFreshnessTracker("a1", "a", after(0))
	alone.SetListedInstances(map[string]string{"a1": "a"})
	alone.RecordPlatformRead(after(1))
	must.True(t, alone.Fresh(after(60), testBound, 1), must.Sprint("the only instance is more than half"))
}

// Guards against summaries that claim more than was heard.
func TestSummaries(t *testing.T) {
	f := NewFreshnessTracker("a1", "a", after(0))
	f.SetListedInstances(sevenListed)
	f.RecordDigest(hear("a2", 8))
	must.SliceEmpty(t, f.ZoneSummaries(after(10), 3*time.Second), must.Sprint("not complete"))
	f.RecordDigest(relay(hear("b1", 9), ZoneSummary{"b", 2, time.Second}, ZoneSummary{"c", 2, 4 * time.Second}))
	f.RecordDigest(relay(hear("b2", 9), ZoneSummary{"b", 1, 0}, ZoneSummary{"c", 1, time.Second}))
	want := []ZoneSummary{{"a", 2, 2 * time.Second}, {"b", 2, 2 * time.Second}, {"c", 1, 2 * time.Second}}
	must.Eq(t, want, f.ZoneSummaries(after(10), 3*time.Second))
	must.Eq(t, []ZoneSummary{{"a", 1, 0}}, f.ZoneSummaries(after(20), 3*time.Second))
}

// Guards against a withdrawal that is reported as in force too early.
func TestReport(t *testing.T) {
	type confirmation struct {
		name            string
		boot            uint64
		asked, received float64
	}
	confirm := func(asked, received float64, names ...string) (list []confirmation) {
		for _, n := range names {
			list = append(list, confirmation{n, 1, asked, received})
		}
		return list
	}
	join := func(lists ...[]confirmation) (all []confirmation) {
		for _, l := range lists {
			all = append(all, l...)
		}
		return all
	}
	most, rest := []string{"i1", "i2", "i3"}, []string{"i4", "i5"}
	cases := []struct {
		name       string
		platform   float64 // 0: does not have it
		confirmed  []confirmation
		now        float64
		want       bool
		wait       time.Duration
		notReached []string
	}{
		{"nobody", 0, nil, 100, false, 0, []string{"i1", "i2", "i3", "i4", "i5"}},
		{"all, twice", 0, join(confirm(1, 2, append(rest, most...)...), confirm(3, 4, append(rest, most...)...)), 4, true, 0, nil},
		{"all, once", 0, confirm(1, 2, append(rest, most...)...), 100, false, 0, nil},
		{"all, but never at the same time", 0, join(confirm(1, 2, most...), confirm(3, 4, most...), confirm(5, 6, rest...), confirm(7, 8, rest...)), 100, false, 0, nil},
		{"most without the platform", 0, join(confirm(1, 2, most...), confirm(3, 4, most...)), 100, false, 0, rest},
		{"platform alone", 1, nil, 100, false, 0, []string{"i1", "i2", "i3", "i4", "i5"}},
		{"most, before the bound", 1, join(confirm(1, 2, most...), confirm(3, 4, most...)), 4, false, 3050 * time.Millisecond, rest},
		{"most, after the bound", 1, join(confirm(1, 2, most...), confirm(3, 4, most...)), 7.05, true, 0, rest},
		{"most, before the platform", 5, join(confirm(1, 2, most...), confirm(3, 4, most...)), 100, false, 0, rest},
		{"not most", 1, join(confirm(1, 2, rest...), confirm(3, 4, rest...)), 100, false, 0, most},
		{"one restarted", 1, join(confirm(1, 2, most...), confirm(3, 4, most[:2]...), []confirmation{{"i3", 2, 3, 4}}), 100, false, 0, rest},
		{"unlisted instances", 1, join(confirm(1, 2, "i1", "x1", "x2"), confirm(3, 4, "i1", "x1", "x2")), 100, false, 0, []string{"i2", "i3", "i4", "i5"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tally := NewWithdrawalTracker([]string{"i1", "i2", "i3", "i4", "i5"})
			if c.platform > 0 {
				tally.RecordPlatform(after(c.platform))
			}
			for _, confirmed := range c.confirmed {
				tally.RecordConfirmation(confirmed.name, confirmed.boot, after(confirmed.asked), after(confirmed.received))
			}
			want := WithdrawalReport{InForce: c.want, StoredOnPlatform: c.platform > 0, NotReached: c.notReached, RemainingWait: c.wait}
			must.Eq(t, want, tally.Report(after(c.now), testBound))
		})
	}
}
