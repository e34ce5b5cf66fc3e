package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// die runs f on the server until the server dies.
func die(t *testing.T, l *Tracker, f Fingerprint, server string, now time.Time) {
	t.Helper()
	must.NoError(t, l.Begin(f, server, now))
	must.Eq(t, []Fingerprint{f}, l.ServerCrashed(server, now))
	l.End(f, server, false, now)
}

// Guards against a request that crashes a third server, against a quarantine that
// never ends, and against untyped refusals.
func TestQuarantineAtSecondDeath(t *testing.T) {
	l := NewTracker()
	die(t, l, 7, "a", at(0))
	die(t, l, 7, "b", at(time.Second))
	var quarantined *QuarantinedError
	must.True(t, errors.As(l.Begin(7, "c", at(2*time.Second)), &quarantined))
	must.Eq(t, 2, quarantined.Crashes)
	must.Eq(t, CrashExpiry-time.Second, quarantined.RetryAfter)
	must.NoError(t, l.Begin(8, "c", at(2*time.Second)))
	must.Error(t, l.Begin(7, "c", at(CrashExpiry)))
	must.NoError(t, l.Begin(7, "c", at(CrashExpiry+time.Second)))
}

// Guards against two copies of a suspected request at a time, and against innocent
// requests that stay under suspicion.
func TestProbation(t *testing.T) {
	l := NewTracker()
	die(t, l, 7, "a", at(0))
	must.NoError(t, l.Begin(7, "b", at(time.Second)))
	var probation *ProbationError
	must.True(t, errors.As(l.Begin(7, "c", at(time.Second)), &probation))
	l.End(7, "b", false, at(2*time.Second))
	must.NoError(t, l.Begin(7, "b", at(2*time.Second)))
	must.Error(t, l.Begin(7, "c", at(2*time.Second)))
	l.End(7, "b", true, at(3*time.Second))
	must.Eq(t, 0, l.Crashes(7, at(3*time.Second)))
	must.NoError(t, l.Begin(7, "b", at(3*time.Second)))
	must.NoError(t, l.Begin(7, "c", at(3*time.Second)))
}

// Guards against a zone failure that quarantines the most frequent requests.
func TestManyDeathsSpareCompletingRequests(t *testing.T) {
	l := NewTracker()
	must.NoError(t, l.Begin(7, "other-zone", at(0)))
	l.End(7, "other-zone", true, at(time.Second))
	for _, server := range []string{"a", "b", "c"} {
		must.NoError(t, l.Begin(7, server, at(time.Second)))
	}
	for _, server := range []string{"a", "b", "c"} {
		must.SliceEmpty(t, l.ServerCrashed(server, at(2*time.Second)))
	}
	must.NoError(t, l.Begin(7, "d", at(2*time.Second)))
	// The completion speaks for the request only for a time.
	must.SliceNotEmpty(t, l.ServerCrashed("d", at(2*time.Second+2*vouchTime)))
}

// Guards against deaths that are counted twice when they are heard on two paths, or
// not added up when two instances saw one each.
func TestShare(t *testing.T) {
	a, b, c := NewTracker(), NewTracker(), NewTracker()
	die(t, a, 7, "s1", at(0))
	b.Import(a.Export(10, at(1)), 0, at(1))
	c.Import(a.Export(10, at(1)), 0, at(1))
	c.Import(b.Export(10, at(2)), 0, at(2))
	must.Eq(t, 1, c.Crashes(7, at(2)))
	die(t, b, 7, "s2", at(3))
	c.Import(b.Export(10, at(4)), 0, at(4))
	must.Eq(t, 2, c.Crashes(7, at(4)))
	d := NewTracker()
	d.Import([]SuspectReport{{Fingerprint: 7, Crashes: 2, Age: CrashExpiry - time.Second}}, 500*time.Millisecond, at(0))
	must.Eq(t, 2, d.Crashes(7, at(0)))
	must.Eq(t, 0, d.Crashes(7, at(time.Second)))
}

// Guards against a merge whose result depends on the order of the digests.
func TestImportOrder(t *testing.T) {
	entry := rapid.Custom(func(rt *rapid.T) SuspectReport {
		servers := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 3), 0, 3, rapid.ID).Draw(rt, "servers")
		return SuspectReport{
			Fingerprint: Fingerprint(rapid.IntRange(1, 2).Draw(rt, "fingerprint")),
			Crashes:      max(1, len(servers)),
			Age:         time.Duration(rapid.IntRange(0, 60).Draw(rt, "age")) * time.Second,
			ServerHashes:     servers,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.SliceOfN(entry, 1, 8).Draw(rt, "entries")
		shuffled := rapid.Permutation(entries).Draw(rt, "shuffled")
		x, y := NewTracker(), NewTracker()
		x.Import(entries, 0, epoch)
		y.Import(shuffled, 0, epoch)
		y.Import(shuffled, 0, epoch) // a digest may be heard twice
		must.Eq(rt, x.Export(10, epoch), y.Export(10, epoch))
	})
}

// Guards against memory that grows with the number of suspected requests, and
// against the loss of quarantined ones.
func TestEntriesAreBounded(t *testing.T) {
	l := NewTracker()
	die(t, l, 1, "a", at(0))
	die(t, l, 1, "b", at(0))
	for i := range maxEntries + 100 {
		must.NoError(t, l.Begin(Fingerprint(i+10), "c", at(time.Second)))
	}
	l.ServerCrashed("c", at(time.Second))
	must.MapLen(t, maxEntries, l.entries)
	must.Eq(t, 2, l.Crashes(1, at(time.Second)))
}

// Guards against a customer whose requests put those of another in quarantine.
func TestFingerprintHoldsCustomer(t *testing.T) {
	a := FingerprintOf("adama", "GET", "/x", []byte("body"))
	must.NotEq(t, a, FingerprintOf("bole", "GET", "/x", []byte("body")))
	must.NotEq(t, FingerprintOf("ab", "c", "/x", nil), FingerprintOf("a", "bc", "/x", nil))
	must.Eq(t, a, FingerprintOf("adama", "GET", "/x", []byte("body")))
}

// crashes replays callers that resend a crashing request to changing instances, and
// returns the number of servers that it crashes. Deaths are known at all instances
// after the lag at the latest.
func crashes(s CrashScenario, first func(caller int) time.Duration, target func(send int) int) int {
	ledgers := make([]*Tracker, s.Instances)
	for i := range ledgers {
		ledgers[i] = NewTracker()
	}
	type news struct {
		due     time.Duration
		entries []SuspectReport
	}
	var pending []news
	count, send := 0, 0
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for len(pending) > 0 && pending[0].due <= now {
			for _, l := range ledgers {
				l.Import(pending[0].entries, s.PropagationDelay, at(now))
			}
			pending = pending[1:]
		}
		var running []func()
		for caller := range s.Callers {
			if now < first(caller) || (now-first(caller))%s.ResendInterval != 0 {
				continue
			}
			l := ledgers[target(send)%s.Instances]
			send++
			server := fmt.Sprint("s", send)
			if l.Begin(7, server, at(now)) != nil {
				continue
			}
			running = append(running, func() {
				count++
				l.ServerCrashed(server, at(now))
				l.End(7, server, false, at(now))
				pending = append(pending, news{due: now + s.PropagationDelay, entries: l.Export(10, at(now))})
			})
		}
		for _, crash := range running {
			crash()
		}
	}
	return count
}

// Guards against a request that crashes more servers than the documented bound, at
// the sizes of today and of the target, with any caller behavior.
func TestCrashBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := CrashScenario{
			Instances: rapid.SampledFrom([]int{1, 2, 7, 410}).Draw(rt, "instances"),
			Callers:    rapid.IntRange(1, 4).Draw(rt, "copies"),
			ResendInterval:    time.Duration(rapid.IntRange(5, 200).Draw(rt, "resend")) * 10 * time.Millisecond,
			PropagationDelay:       time.Duration(rapid.IntRange(0, 500).Draw(rt, "lag")) * 10 * time.Millisecond,
		}
		stride := rapid.IntRange(1, 409).Draw(rt, "stride")
		phases := rapid.SliceOfN(rapid.IntRange(0, 100), s.Callers, s.Callers).Draw(rt, "phases")
		first := func(caller int) time.Duration { return time.Duration(phases[caller]) * 10 * time.Millisecond }
		got := crashes(s, first, func(send int) int { return send * stride })
		if got > s.MaxCrashes() {
			rt.Fatalf("%d servers crashed, bound %d: %+v", got, s.MaxCrashes(), s)
		}
	})
}

// Guards against a bound that is far above what can happen: a caller that resends
// every second to another instance reaches it.
func TestCrashBoundIsReached(t *testing.T) {
	for instances, want := range map[int]int{7: 7, 410: 7} {
		s := CrashScenario{Instances: instances, Callers: 1, ResendInterval: time.Second, PropagationDelay: 5 * time.Second}
		must.Eq(t, want, s.MaxCrashes())
		got := crashes(s, func(int) time.Duration { return 0 }, func(send int) int { return send })
		must.Between(t, want-1, got, want)
	}
	fast := CrashScenario{Callers: 1, ResendInterval: 100 * time.Millisecond, PropagationDelay: 5 * time.Second}
	fast.Instances = 7
	must.Eq(t, 14, fast.MaxCrashes())
	fast.Instances = 410
	must.Eq(t, 52, fast.MaxCrashes())
}
