package limits

import "time"

// observation records when another holder last changed its entry and whether the platform
// lists its instance. Times are on the observing process's clock.
type observation struct {
	renewals       uint64
	unchangedSince time.Time // when this value of renewals was first read
	wasListed      bool      // the platform's list has contained the instance
	delistedSince  time.Time // zero while the list contains the instance, and if it never did
}

// observations holds one observation per other holder, by holder ID.
type observations map[string]observation

// updateFromRow updates the observations from a row whose read returned before now. It
// counts from after the read, which is later than the time before the write from which the
// holder counts its terms. So no holder is considered expired too early.
func (o observations) updateFromRow(row Ledger, self string, now time.Time) {
	present := make(map[string]bool, len(row.Holders))
	for _, e := range row.Holders {
		present[e.ID] = true
		obs, ok := o[e.ID]
		if e.ID == self || (ok && obs.renewals == e.Renewals) {
			continue
		}
		obs.renewals = e.Renewals
		obs.unchangedSince = now
		o[e.ID] = obs
	}
	for id := range o {
		if !present[id] {
			delete(o, id)
		}
	}
}

// updateFromListing updates the observations from the platform's list of instances.
func (o observations) updateFromListing(row Ledger, listed map[string]bool, now time.Time) {
	for _, e := range row.Holders {
		obs, ok := o[e.ID]
		if !ok {
			continue
		}
		switch {
		case listed[e.Instance]:
			obs.wasListed = true
			obs.delistedSince = time.Time{}
		case obs.wasListed && obs.delistedSince.IsZero():
			obs.delistedSince = now
		}
		o[e.ID] = obs
	}
}

// unchangedFor reports whether the holder's renewal counter has been unchanged for d.
func (o observations) unchangedFor(id string, d time.Duration, now time.Time) bool {
	obs, ok := o[id]
	return ok && now.Sub(obs.unchangedSince) >= d
}

// delistedFor reports whether the platform's list once contained the holder's instance and
// then did not contain it for d.
func (o observations) delistedFor(id string, d time.Duration, now time.Time) bool {
	obs, ok := o[id]
	return ok && !obs.delistedSince.IsZero() && now.Sub(obs.delistedSince) >= d
}
