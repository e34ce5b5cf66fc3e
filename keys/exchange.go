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
	BootID       uint64
	Generation uint64 // of the sender's records
	// Complete is transferred as the summary of the sender's own zone, which
	// counts the sender only when it is complete.
	Complete      bool
	PlatformAge   time.Duration
	PlatformKnown bool
	ZoneSummaries         []ZoneSummary
	PendingWithdrawals       []Withdrawal
}

// ContainsWithdrawal reports whether the sender held the withdrawal of a key when it made the
// digest, for Tally.RecordConfirmation. generation is the key generation that contains the
// withdrawal, or 0 when the platform is not known to have it.
func (d Digest) ContainsWithdrawal(keyID string, generation uint64) bool {
	if generation > 0 && d.Generation >= generation {
		return true
	}
	return slices.ContainsFunc(d.PendingWithdrawals, func(w Withdrawal) bool { return w.KeyID == keyID })
}

// SenderCounted reports whether the summaries of a digest count the sender, that
// is, whether the sender is complete.
func SenderCounted(zone string, summaries []ZoneSummary) bool {
	for _, s := range summaries {
		if s.Zone == zone && s.InstanceCount > 0 {
			return true
		}
	}
	return false
}

// Digest returns the digest to send now.
func (f *Follower) Digest() Digest {
	now := f.options.Now()
	d := Digest{Name: f.options.InstanceName, Zone: f.options.Zone, BootID: f.options.BootID}
	f.mu.Lock()
	d.Complete = f.freshness.Complete()
	d.PlatformAge, d.PlatformKnown = f.freshness.PlatformAge(now)
	d.ZoneSummaries = f.freshness.ZoneSummaries(now, summaryWindow)
	f.mu.Unlock()
	// The view comes last, so that it contains everything that the ages claim.
	v := f.set.view.Load()
	d.Generation = v.generation
	d.PendingWithdrawals = v.pendingList()
	return d
}

// MergeDigest applies the digest in a peer's answer to a request that was sent at
// asOf. It returns false when the peer has newer records: then the digest does not
// count as heard, and the caller gets the records first (see SyncWithPeer).
func (f *Follower) MergeDigest(d Digest, asOf time.Time) bool {
	f.set.ApplyWithdrawals(d.PendingWithdrawals)
	if f.set.Generation() < d.Generation {
		return false
	}
	h := ReceivedDigest{
		Name:          d.Name,
		Zone:          d.Zone,
		BootID:          d.BootID,
		Complete:      d.Complete,
		AsOf:          asOf,
		ReceivedAt:      f.options.Now(),
		PlatformAge:   d.PlatformAge,
		PlatformKnown: d.PlatformKnown,
		ZoneSummaries:         d.ZoneSummaries,
	}
	f.update(func() { f.freshness.RecordDigest(h) })
	return true
}

// FetchStateFunc returns the key data of a peer.
type FetchStateFunc func(ctx context.Context) (State, error)

// SyncWithPeer receives a digest and, when its sender has newer records, gets them from
// the platform or else from the sender. It returns the error of fetch.
func (f *Follower) SyncWithPeer(ctx context.Context, d Digest, asOf time.Time, fetch FetchStateFunc) error {
	if f.MergeDigest(d, asOf) {
		return nil
	}
	if err := f.Poll(ctx); err == nil && f.MergeDigest(d, asOf) {
		return nil
	}
	state, err := fetch(ctx)
	if err != nil {
		return err
	}
	f.Import(state)
	f.MergeDigest(d, asOf)
	return nil
}

// Export returns the key data for a peer.
func (f *Follower) Export() State { return f.set.Export() }

// Import merges the key data of a peer. It does not make the key data fresh.
func (f *Follower) Import(state State) { f.set.Import(state) }
