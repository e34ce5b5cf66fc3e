package keys

import (
	"context"
	"slices"
	"time"
)

// Digest is what instances tell each other about their key data.
type Digest struct {
	Name       string
	Zone       string
	Boot       uint64
	Generation uint64 // of the sender's records
	// Complete is transferred as the summary of the sender's own zone, which
	// counts the sender only when it is complete.
	Complete      bool
	PlatformAge   time.Duration
	PlatformKnown bool
	Zones         []ZoneSummary
	Pending       []Withdrawal
}

// Holds reports whether the sender held the withdrawal of a key when it made the
// digest, for Tally.Confirm. generation is the key generation that contains the
// withdrawal, or 0 when the platform is not known to have it.
func (d Digest) Holds(keyID string, generation uint64) bool {
	if generation > 0 && d.Generation >= generation {
		return true
	}
	return slices.ContainsFunc(d.Pending, func(w Withdrawal) bool { return w.KeyID == keyID })
}

// OwnZoneCounts reports whether the summaries of a digest count the sender, that
// is, whether the sender is complete.
func OwnZoneCounts(zone string, summaries []ZoneSummary) bool {
	for _, s := range summaries {
		if s.Zone == zone && s.Heard > 0 {
			return true
		}
	}
	return false
}

// Digest returns the digest to send now.
func (f *Follower) Digest() Digest {
	now := f.options.Now()
	d := Digest{Name: f.options.Name, Zone: f.options.Zone, Boot: f.options.Boot}
	f.mu.Lock()
	d.Complete = f.freshness.Complete()
	d.PlatformAge, d.PlatformKnown = f.freshness.PlatformAge(now)
	d.Zones = f.freshness.Summaries(now, summaryWindow)
	f.mu.Unlock()
	// The view comes last, so that it contains everything that the ages claim.
	v := f.set.view.Load()
	d.Generation = v.generation
	d.Pending = v.pendingList()
	return d
}

// Receive applies the digest in a peer's answer to a request that was sent at
// asOf. It returns false when the peer has newer records: then the digest does not
// count as heard, and the caller gets the records first (see CatchUp).
func (f *Follower) Receive(d Digest, asOf time.Time) bool {
	f.set.ApplyWithdrawals(d.Pending)
	if f.set.Generation() < d.Generation {
		return false
	}
	h := HeardDigest{
		Name:          d.Name,
		Zone:          d.Zone,
		Boot:          d.Boot,
		Complete:      d.Complete,
		AsOf:          asOf,
		Received:      f.options.Now(),
		PlatformAge:   d.PlatformAge,
		PlatformKnown: d.PlatformKnown,
		Zones:         d.Zones,
	}
	f.update(func() { f.freshness.Hear(h) })
	return true
}

// StateFunc returns the key data of a peer.
type StateFunc func(ctx context.Context) (State, error)

// CatchUp receives a digest and, when its sender has newer records, gets them from
// the platform or else from the sender. It returns the error of fetch.
func (f *Follower) CatchUp(ctx context.Context, d Digest, asOf time.Time, fetch StateFunc) error {
	if f.Receive(d, asOf) {
		return nil
	}
	if err := f.Poll(ctx); err == nil && f.Receive(d, asOf) {
		return nil
	}
	state, err := fetch(ctx)
	if err != nil {
		return err
	}
	f.Import(state)
	f.Receive(d, asOf)
	return nil
}

// Export returns the key data for a peer.
func (f *Follower) Export() State { return f.set.Export() }

// Import merges the key data of a peer. It does not make the key data fresh.
func (f *Follower) Import(state State) { f.set.Import(state) }
