package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// SuspectReport is a report about the crashes of one fingerprint, as exchanged by entry
// instances.
type SuspectReport struct {
	Fingerprint Fingerprint
	Crashes     int
	// Age is the time since the newest crash. It is sent instead of a time, so that
	// clocks need not agree.
	Age time.Duration
	// ServerHashes holds hashes of the names of the crashed servers. With them the crashes
	// seen by two instances add up, and a crash reported twice counts once. Without
	// them the larger number of crashes counts.
	ServerHashes []uint64
}

// Export returns up to limit reports, in order of falling number of crashes and then
// of rising age.
func (t *Tracker) Export(limit int, now time.Time) []SuspectReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]SuspectReport, 0, min(limit, len(t.suspects)))
	for f := range t.suspects {
		if s := t.unexpired(f, now); s != nil {
			out = append(out, s.export(f, now))
		}
	}
	slices.SortFunc(out, func(a, b SuspectReport) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

func (s *suspect) export(f Fingerprint, now time.Time) SuspectReport {
	out := SuspectReport{Fingerprint: f, Crashes: s.crashes(), Age: now.Sub(s.lastCrash)}
	for hash := range s.crashesByServer {
		out.ServerHashes = append(out.ServerHashes, hash)
	}
	slices.Sort(out.ServerHashes)
	return out
}

// Import merges the reports of another instance. delay is an upper bound of the time
// since they were exported. The result does not depend on the order of imports or on
// repeated ones. Reports of fingerprints that completed here in the last seconds are
// skipped.
func (t *Tracker) Import(reports []SuspectReport, delay time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range reports {
		at := now.Add(-in.Age - delay)
		if now.Sub(at) >= CrashExpiry || in.Crashes <= 0 || t.completions.contains(in.Fingerprint, now) {
			continue
		}
		t.unexpired(in.Fingerprint, now)
		t.getOrAdd(in.Fingerprint, at).merge(in, at)
	}
	t.evictExcess(now)
}

func (s *suspect) merge(in SuspectReport, at time.Time) {
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
	for _, hash := range in.ServerHashes {
		if _, found := s.crashesByServer[hash]; !found && len(s.crashesByServer) < maxServersPerSuspect {
			s.crashesByServer[hash] = 1
		}
	}
	if in.Crashes > len(in.ServerHashes) {
		s.crashesWithoutServers = max(s.crashesWithoutServers, in.Crashes)
	}
}

// CrashScenario describes how often a crashing request is sent and how fast its crashes are
// reported.
type CrashScenario struct {
	// Instances is the number of entry instances that can run the request.
	Instances int
	// Callers is the number of callers that send the request concurrently.
	Callers int
	// ResendInterval is the least time between two sends by one caller, including the time
	// until the crash.
	ResendInterval time.Duration
	// PropagationDelay is the time after which a crash is known to all entry instances.
	PropagationDelay time.Duration
}

// MaxCrashes returns an upper bound of the number of servers that one request can
// crash.
//
// A send can crash a server as long as its instance does not know of two crashes. The
// first max(2, Callers) crashes are not prevented: two crashes, or the first send of
// each caller if there are more callers. After these, each caller sends once per
// ResendInterval until all instances know of the crashes, for the time
// PropagationDelay. An instance without reports from others still counts its own
// crashes: after one it runs the request one at a time and after two not at all, so
// through each instance at most max(2, Callers) servers crash.
func (s CrashScenario) MaxCrashes() int {
	firstCrashes := max(CrashThreshold, s.Callers)
	withoutReports := s.Instances * firstCrashes
	if s.ResendInterval <= 0 {
		return withoutReports
	}
	resends := int((s.PropagationDelay + s.ResendInterval - 1) / s.ResendInterval)
	return min(withoutReports, firstCrashes+s.Callers*resends)
}
