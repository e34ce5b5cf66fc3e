package limits

import "time"

// observation is what a process has seen of another holder, on its own clock.
type observation struct {
	renewals       uint64
	unchangedSince time.Time // when this counter was first seen
	wasListed      bool      // the platform's list has shown the instance
	delistedSince  time.Time // zero while the list shows the instance
}

// observations holds one observation per other holder, by id.
type observations map[string]observation

// updateFromRow takes in a row whose read returned before now. The time counts from
// after the read, which is later than the clock reading from which the holder
// counts its term.
func (o observations) updateFromRow(row Ledger, self string, now time.Time) {
	present := make(map[string]bool, len(row.Holders))
	for _, e := range row.Holders {
		present[e.ID] = true
		seen, ok := o[e.ID]
		if e.ID == self || (ok && seen.renewals == e.Renewals) {
			continue
		}
		seen.renewals = e.Renewals
		seen.unchangedSince = now
		o[e.ID] = seen
	}
	for id := range o {
		if !present[id] {
			delete(o, id)
		}
	}
}

// updateFromListing takes in the platform's list of instances.
func (o observations) updateFromListing(row Ledger, listed map[string]bool, now time.Time) {
	for _, e := range row.Holders {
		seen, ok := o[e.ID]
		if !ok {
			continue
		}
		switch {
		case listed[e.Instance]:
			seen.wasListed = true
			seen.delistedSince = time.Time{}
		case seen.wasListed && seen.delistedSince.IsZero():
			seen.delistedSince = now
		}
		o[e.ID] = seen
	}
}

// unchangedFor reports whether the holder's counter has been the same for d.
func (o observations) unchangedFor(id string, d time.Duration, now time.Time) bool {
	seen, ok := o[id]
	return ok && now.Sub(seen.unchangedSince) >= d
}

// delistedFor reports whether the list has shown the instance and then not
// shown it for d.
func (o observations) delistedFor(id string, d time.Duration, now time.Time) bool {
	seen, ok := o[id]
	return ok && !seen.delistedSince.IsZero() && now.Sub(seen.delistedSince) >= d
}
