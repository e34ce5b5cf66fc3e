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

// crashServer sends f to the server and lets the server crash.
func crashServer(t *testing.T, tracker *Tracker, f Fingerprint, server string, now time.Time) {
	t.Helper()
	must.NoError(t, tracker.Begin(f, server, now))
	must.Eq(t, []Fingerprint{f}, tracker.ServerCrashed(server, now))
	tracker.End(f, server, false, now)
}

// After two crashes a request must be rejected with a *QuarantinedError until the
// crashes expire.
func TestQuarantineAfterSecondCrash(t *testing.T) {
	tracker := NewTracker()
	crashServer(t, tracker, 7, "a", at(0))
	crashServer(t, tracker, 7, "b", at(time.Second))
	var quarantined *QuarantinedError
	must.True(t, errors.As(tracker.Begin(7, "c", at(2*time.Second)), &quarantined))
	must.Eq(t, 2, quarantined.Crashes)
	must.Eq(t, CrashExpiry-time.Second, quarantined.RetryAfter)
	must.NoError(t, tracker.Begin(8, "c", at(2*time.Second)))
	must.Error(t, tracker.Begin(7, "c", at(CrashExpiry)))
	must.NoError(t, tracker.Begin(7, "c", at(CrashExpiry+time.Second)))
}

// After one crash an instance must run one copy of a request at a time, and a complete
// response must end the probation.
func TestProbation(t *testing.T) {
	tracker := NewTracker()
	crashServer(t, tracker, 7, "a", at(0))
	must.NoError(t, tracker.Begin(7, "b", at(time.Second)))
	var probation *ProbationError
	must.True(t, errors.As(tracker.Begin(7, "c", at(time.Second)), &probation))
	tracker.End(7, "b", false, at(2*time.Second))
	must.NoError(t, tracker.Begin(7, "b", at(2*time.Second)))
	must.Error(t, tracker.Begin(7, "c", at(2*time.Second)))
	tracker.End(7, "b", true, at(3*time.Second))
	must.Eq(t, 0, tracker.Crashes(7, at(3*time.Second)))
	must.NoError(t, tracker.Begin(7, "b", at(3*time.Second)))
	must.NoError(t, tracker.Begin(7, "c", at(3*time.Second)))
}

// A zone failure must not quarantine the most frequent requests, which complete in
// other zones.
func TestZoneFailureDoesNotQuarantineCompletingRequests(t *testing.T) {
	tracker := NewTracker()
	must.NoError(t, tracker.Begin(7, "other-zone", at(0)))
	tracker.End(7, "other-zone", true, at(time.Second))
	for _, server := range []string{"a", "b", "c"} {
		must.NoError(t, tracker.Begin(7, server, at(time.Second)))
	}
	for _, server := range []string{"a", "b", "c"} {
		must.SliceEmpty(t, tracker.ServerCrashed(server, at(2*time.Second)))
	}
	must.NoError(t, tracker.Begin(7, "d", at(2*time.Second)))
	// The completion is dropped after at most two periods.
	must.SliceNotEmpty(t, tracker.ServerCrashed("d", at(2*time.Second+2*completionPeriod)))
}

// A crash reported by two instances must count once, and crashes of different servers
// seen by two instances must add up.
func TestExportAndImport(t *testing.T) {
	a, b, c := NewTracker(), NewTracker(), NewTracker()
	crashServer(t, a, 7, "s1", at(0))
	b.Import(a.Export(10, at(1)), 0, at(1))
	c.Import(a.Export(10, at(1)), 0, at(1))
	c.Import(b.Export(10, at(2)), 0, at(2))
	must.Eq(t, 1, c.Crashes(7, at(2)))
	crashServer(t, b, 7, "s2", at(3))
	c.Import(b.Export(10, at(4)), 0, at(4))
	must.Eq(t, 2, c.Crashes(7, at(4)))
	d := NewTracker()
	d.Import([]SuspectReport{{Fingerprint: 7, Crashes: 2, Age: CrashExpiry - time.Second}}, 500*time.Millisecond, at(0))
	must.Eq(t, 2, d.Crashes(7, at(0)))
	must.Eq(t, 0, d.Crashes(7, at(time.Second)))
}

// The result of Import must not depend on the order or repetition of reports.
func TestImportIsOrderIndependent(t *testing.T) {
	report := rapid.Custom(func(rt *rapid.T) SuspectReport {
		servers := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 3), 0, 3, rapid.ID).Draw(rt, "servers")
		return SuspectReport{
			Fingerprint:  Fingerprint(rapid.IntRange(1, 2).Draw(rt, "fingerprint")),
			Crashes:      max(1, len(servers)),
			Age:          time.Duration(rapid.IntRange(0, 60).Draw(rt, "age")) * time.Second,
			ServerHashes: servers,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		reports := rapid.SliceOfN(report, 1, 8).Draw(rt, "reports")
		shuffled := rapid.Permutation(reports).Draw(rt, "shuffled")
		x, y := NewTracker(), NewTracker()
		x.Import(reports, 0, epoch)
		y.Import(shuffled, 0, epoch)
		y.Import(shuffled, 0, epoch) // a report may arrive twice
		must.Eq(rt, x.Export(10, epoch), y.Export(10, epoch))
	})
}

// The number of suspect requests must be bounded, and quarantined ones must be kept
// when others are evicted.
func TestSuspectsAreBounded(t *testing.T) {
	tracker := NewTracker()
	crashServer(t, tracker, 1, "a", at(0))
	crashServer(t, tracker, 1, "b", at(0))
	for i := range maxSuspects + 100 {
		must.NoError(t, tracker.Begin(Fingerprint(i+10), "c", at(time.Second)))
	}
	tracker.ServerCrashed("c", at(time.Second))
	must.MapLen(t, maxSuspects, tracker.suspects)
	must.Eq(t, 2, tracker.Crashes(1, at(time.Second)))
}

// A customer must not cause the quarantine of another customer's requests.
func TestFingerprintIncludesCustomer(t *testing.T) {
	a := FingerprintOf("adama", "GET", "/x", []byte("body"))
	must.NotEq(t, a, FingerprintOf("bole", "GET", "/x", []byte("body")))
	must.NotEq(t, FingerprintOf("ab", "c", "/x", nil), FingerprintOf("a", "bc", "/x", nil))
	must.Eq(t, a, FingerprintOf("adama", "GET", "/x", []byte("body")))
}

// simulateCrashes simulates callers that resend a crashing request to varying instances
// and returns the number of servers that crash. first is the time of a caller's first
// send; target is the instance that receives a send, by the number of earlier sends.
// All instances import a crash after s.PropagationDelay.
func simulateCrashes(s CrashScenario, first func(caller int) time.Duration, target func(send int) int) int {
	trackers := make([]*Tracker, s.Instances)
	for i := range trackers {
		trackers[i] = NewTracker()
	}
	type pendingReport struct {
		due     time.Duration
		reports []SuspectReport
	}
	var pending []pendingReport
	count, send := 0, 0
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for len(pending) > 0 && pending[0].due <= now {
			for _, tracker := range trackers {
				tracker.Import(pending[0].reports, s.PropagationDelay, at(now))
			}
			pending = pending[1:]
		}
		var crashes []func()
		for caller := range s.Callers {
			if now < first(caller) || (now-first(caller))%s.ResendInterval != 0 {
				continue
			}
			tracker := trackers[target(send)%s.Instances]
			send++
			server := fmt.Sprint("s", send)
			if tracker.Begin(7, server, at(now)) != nil {
				continue
			}
			crashes = append(crashes, func() {
				count++
				tracker.ServerCrashed(server, at(now))
				tracker.End(7, server, false, at(now))
				pending = append(pending, pendingReport{due: now + s.PropagationDelay, reports: tracker.Export(10, at(now))})
			})
		}
		for _, crash := range crashes {
			crash()
		}
	}
	return count
}

// A request must not crash more servers than MaxCrashes, whatever its callers do, with
// 1 to 410 entry instances.
func TestCrashBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := CrashScenario{
			Instances:        rapid.SampledFrom([]int{1, 2, 7, 410}).Draw(rt, "instances"),
			Callers:          rapid.IntRange(1, 4).Draw(rt, "callers"),
			ResendInterval:   time.Duration(rapid.IntRange(5, 200).Draw(rt, "resend")) * 10 * time.Millisecond,
			PropagationDelay: time.Duration(rapid.IntRange(0, 500).Draw(rt, "lag")) * 10 * time.Millisecond,
		}
		stride := rapid.IntRange(1, 409).Draw(rt, "stride")
		phases := rapid.SliceOfN(rapid.IntRange(0, 100), s.Callers, s.Callers).Draw(rt, "phases")
		first := func(caller int) time.Duration { return time.Duration(phases[caller]) * 10 * time.Millisecond }
		got := simulateCrashes(s, first, func(send int) int { return send * stride })
		if got > s.MaxCrashes() {
			rt.Fatalf("%d servers crashed, bound %d: %+v", got, s.MaxCrashes(), s)
		}
	})
}

// MaxCrashes must not be far above what can happen: a caller that sends every second
// to another instance reaches it, or one less.
func TestCrashBoundIsReached(t *testing.T) {
	for instances, want := range map[int]int{7: 7, 410: 7} {
		s := CrashScenario{Instances: instances, Callers: 1, ResendInterval: time.Second, PropagationDelay: 5 * time.Second}
		must.Eq(t, want, s.MaxCrashes())
		got := simulateCrashes(s, func(int) time.Duration { return 0 }, func(send int) int { return send })
		must.Between(t, want-1, got, want)
	}
	fast := CrashScenario{Callers: 1, ResendInterval: 100 * time.Millisecond, PropagationDelay: 5 * time.Second}
	fast.Instances = 7
	must.Eq(t, 14, fast.MaxCrashes())
	fast.Instances = 410
	must.Eq(t, 52, fast.MaxCrashes())
}
