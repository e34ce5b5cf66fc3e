package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// SuspectReport is what entry instances tell each other about a fingerprint.
type SuspectReport struct {
	Fingerprint Fingerprint
	Crashes      int
	// Age is the time since the newest death. Clocks are not compared.
	Age time.Duration
	// ServerHashes holds hashes of the names of the servers that died. With them two
	// instances that saw one death each add up to two, and a death heard twice
	// counts once. Without them the larger number of deaths counts.
	ServerHashes []uint64
}

// Export returns up to limit entries, those with the most deaths first and the
// newest first among them.
func (l *Tracker) Export(limit int, now time.Time) []SuspectReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]SuspectReport, 0, min(limit, len(l.entries)))
	for f := range l.entries {
		if e := l.live(f, now); e != nil {
			out = append(out, e.export(f, now))
		}
	}
	slices.SortFunc(out, func(a, b SuspectReport) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

func (e *entry) export(f Fingerprint, now time.Time) SuspectReport {
	out := SuspectReport{Fingerprint: f, Crashes: e.deaths(), Age: now.Sub(e.at)}
	for s := range e.servers {
		out.ServerHashes = append(out.ServerHashes, s)
	}
	slices.Sort(out.ServerHashes)
	return out
}

// Import merges entries of another instance. delay is an upper bound of the time
// since they were exported. Merging twice, or in another order, changes nothing.
// Entries of fingerprints that complete here are skipped.
func (l *Tracker) Import(entries []SuspectReport, delay time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, in := range entries {
		at := now.Add(-in.Age - delay)
		if now.Sub(at) >= CrashExpiry || in.Crashes <= 0 || l.vouched.has(in.Fingerprint, now) {
			continue
		}
		l.live(in.Fingerprint, now)
		l.obtain(in.Fingerprint, at).merge(in, at)
	}
	l.bound(now)
}

func (e *entry) merge(in SuspectReport, at time.Time) {
	if at.After(e.at) {
		e.at = at
	}
	for _, s := range in.ServerHashes {
		if _, known := e.servers[s]; !known && len(e.servers) < maxServers {
			e.servers[s] = 1
		}
	}
	if in.Crashes > len(in.ServerHashes) {
		e.relayed = max(e.relayed, in.Crashes)
	}
}

// CrashScenario describes how a crashing request and the news of it travel.
type CrashScenario struct {
	// Instances is the number of entry instances that can run the request.
	Instances int
	// Callers is the number of callers that send the request at the same time.
	Callers int
	// ResendInterval is the least time between two sends of one caller, the time to the
	// crash included.
	ResendInterval time.Duration
	// PropagationDelay is the time in which a death is known to all entry instances.
	PropagationDelay time.Duration
}

// MaxCrashes returns the largest number of servers that one request can crash.
//
// Until the second death is known everywhere, every send to an instance that does
// not know of it can crash a server. The first two deaths, or the first wave when
// there are several callers, come before the second death; then each caller sends
// once per Resend for the time Lag. An instance that hears nothing still stops on
// its own knowledge: after one death it runs one at a time, after two none, so that
// it loses at most max(2, Copies) servers.
func (s CrashScenario) MaxCrashes() int {
	first := max(CrashThreshold, s.Callers)
	alone := s.Instances * first
	if s.ResendInterval <= 0 {
		return alone
	}
	waves := int((s.PropagationDelay + s.ResendInterval - 1) / s.ResendInterval)
	return min(alone, first+s.Callers*waves)
}
