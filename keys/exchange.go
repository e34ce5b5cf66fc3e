package keys

import (
	"context"
	"slices"
	"time"
)

// Digest summarizes the key data of one instance for its peers.
type Digest struct {
	Name       string // of the sender
	Zone       string // of the sender
	BootID     uint64 // identifies the sender's process
	Generation uint64 // key generation of the sender's records
	// Complete says that the sender's key data is complete, see FreshnessTracker.Complete.
	Complete           bool
	PlatformAge        time.Duration // as FreshnessTracker.PlatformAge, valid if PlatformKnown
	PlatformKnown      bool
	ZoneSummaries      []ZoneSummary // as FreshnessTracker.ZoneSummaries
	PendingWithdrawals []Withdrawal  // not yet seen in the platform's records
}

// ContainsWithdrawal reports whether the sender's key data contained the withdrawal of a key when
// the digest was made, so that it counts for WithdrawalTracker.RecordConfirmation.
// generation is the first key generation that contains the withdrawal, or 0 when the
// platform has not confirmed the withdrawal.
func (d Digest) ContainsWithdrawal(keyID string, generation uint64) bool {
	if generation > 0 && d.Generation >= generation {
		return true
	}
	return slices.ContainsFunc(d.PendingWithdrawals, func(w Withdrawal) bool { return w.KeyID == keyID })
}

// SenderCounted reports whether the summaries of a digest include the sender's own
// zone, which they do only if the sender's key data is complete. zone is the zone of
// the sender.
func SenderCounted(zone string, summaries []ZoneSummary) bool {
	for _, s := range summaries {
		if s.Zone == zone && s.InstanceCount > 0 {
			return true
		}
	}
	return false
}

// Digest returns the current digest of this instance.
func (f *Follower) Digest() Digest {
	now := f.options.Now()
	d := Digest{Name: f.options.InstanceName, Zone: f.options.Zone, BootID: f.options.BootID}
	f.mu.Lock()
	d.Complete = f.freshness.Complete()
	d.PlatformAge, d.PlatformKnown = f.freshness.PlatformAge(now)
	d.ZoneSummaries = f.freshness.ZoneSummaries(now, summaryWindow)
	f.mu.Unlock()
	// The snapshot is loaded last, so that it contains at least the platform state
	// whose age is in the digest.
	v := f.keySet.snapshot.Load()
	d.Generation = v.generation
	d.PendingWithdrawals = v.sortedPending()
	return d
}

// MergeDigest merges the digest of a peer's reply. asOf is the time at which the request
// was sent. MergeDigest returns false when the peer has newer records: then only the
// pending withdrawals are applied, and the digest does not count for freshness until
// the records have been fetched, see SyncWithPeer.
func (f *Follower) MergeDigest(d Digest, asOf time.Time) bool {
	f.keySet.ApplyWithdrawals(d.PendingWithdrawals)
	if f.keySet.Generation() < d.Generation {
		return false
	}
	h := ReceivedDigest{
		Name:          d.Name,
		Zone:          d.Zone,
		BootID:        d.BootID,
		Complete:      d.Complete,
		AsOf:          asOf,
		ReceivedAt:    f.options.Now(),
		PlatformAge:   d.PlatformAge,
		PlatformKnown: d.PlatformKnown,
		ZoneSummaries: d.ZoneSummaries,
	}
	f.updateFreshness(func() { f.freshness.RecordDigest(h) })
	return true
}

// FetchStateFunc fetches the key data of a peer.
type FetchStateFunc func(ctx context.Context) (State, error)

// SyncWithPeer merges the digest of a peer. If the peer has newer records, it first reads
// them from the platform or, if that fails or is not enough, from the peer with
// fetch. It returns the error of fetch.
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

// Export returns the key data of this instance, to be sent to a peer.
func (f *Follower) Export() State { return f.keySet.Export() }

// Import merges the key data of a peer. It does not affect freshness.
func (f *Follower) Import(state State) { f.keySet.Import(state) }
