package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a report about the crashes of one fingerprint, as exchanged by entry
// instances.
type Entry struct {
	Fingerprint Fingerprint
	Deaths      int
	// Age is the time since the newest crash. It is sent instead of a time, so that
	// clocks need not agree.
	Age time.Duration
	// Servers holds hashes of the names of the crashed servers. With them the crashes
	// seen by two instances add up, and a crash reported twice counts once. Without
	// them the larger number of crashes counts.
	Servers []uint64
}

// Export returns up to limit reports, in order of falling number of crashes and then
// of rising age.
func (t *Ledger) Export(limit int, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Entry, 0, min(limit, len(t.suspects)))
	for f := range t.suspects {
		if s := t.unexpired(f, now); s != nil {
			out = append(out, s.export(f, now))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Deaths, a.Deaths), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

func (s *suspect) export(f Fingerprint, now time.Time) Entry {
	out := Entry{Fingerprint: f, Deaths: s.crashes(), Age: now.Sub(s.lastCrash)}
	for hash := range s.crashesByServer {
		out.Servers = append(out.Servers, hash)
	}
	slices.Sort(out.Servers)
	return out
}

// Import merges the reports of another instance. delay is an upper bound of the time
// since they were exported. The result does not depend on the order of imports or on
// repeated ones. Reports of fingerprints that completed here in the last seconds are
// skipped.
func (t *Ledger) Import(reports []Entry, delay time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range reports {
		at := now.Add(-in.Age - delay)
		if now.Sub(at) >= Expiry || in.Deaths <= 0 || t.completions.contains(in.Fingerprint, now) {
			continue
		}
		t.unexpired(in.Fingerprint, now)
		t.getOrAdd(in.Fingerprint, at).merge(in, at)
	}
	t.evictExcess(now)
}

func (s *suspect) merge(in Entry, at time.Time) {
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
	for _, hash := range in.Servers {
		if _, found := s.crashesByServer[hash]; !found && len(s.crashesByServer) < maxServersPerSuspect {
			s.crashesByServer[hash] = 1
		}
	}
	if in.Deaths > len(in.Servers) {
		s.crashesWithoutServers = max(s.crashesWithoutServers, in.Deaths)
	}
}

// Spread describes how often a crashing request is sent and how fast its crashes are
// reported.
type Spread struct {
	// Instances is the number of entry instances that can run the request.
	Instances int
	// Copies is the number of callers that send the request concurrently.
	Copies int
	// Resend is the least time between two sends by one caller, including the time
	// until the crash.
	Resend time.Duration
	// Lag is the time after which a crash is known to all entry instances.
	Lag time.Duration
}

// MaxCrashes returns an upper bound of the number of servers that one request can
// crash.
//
// Until all instances know of the second crash, every send to one that does not can
// crash a server. The first two crashes, or the first send of each caller if there
// are more callers, are not prevented; after them each caller sends once per Resend
// for the time Lag. An instance without reports from others still counts its own
// crashes: after one it runs the request one at a time and after two not at all, so
// through each instance at most max(2, Copies) servers crash.
func (s Spread) MaxCrashes() int {
	firstCrashes := max(Threshold, s.Copies)
	withoutReports := s.Instances * firstCrashes
	if s.Resend <= 0 {
		return withoutReports
	}
	resends := int((s.Lag + s.Resend - 1) / s.Resend)
	return min(withoutReports, firstCrashes+s.Copies*resends)
}
