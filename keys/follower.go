package keys

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/poll"
)

// Defaults of FollowerOptions.
const (
	// DefaultCallTimeout bounds one read of the key generation and one write of a
	// withdrawal.
	DefaultCallTimeout = 2 * time.Second
	// DefaultPollTimeout bounds a whole poll, including the load of all records.
	// Loading 10,000 records takes 20 scans, and a slow platform may take one
	// second for each.
	DefaultPollTimeout = 30 * time.Second
	// summaryWindow is the age up to which digests count in zone summaries.
	// Digests are sent once per second, and a summary has to arrive within the
	// shortest common staleness bound, 5 s.
	summaryWindow = 3 * time.Second
)

// FollowerOptions are the parameters of a Follower. All are required except Now, the
// timeouts and ColdStart.
type FollowerOptions struct {
	Table             tablestore.Table
	InstanceName      string // of the entry instance
	Zone              string
	BootID            uint64     // identifies the process
	LiveZoneInstances func() int // returns the number of live entry instances in the own availability zone
	Random            *rand.Rand // jitter of the poll interval, used only by Run
	Log               *slog.Logger

	Now         func() time.Time // monotonic clock; default time.Now
	CallTimeout time.Duration    // default DefaultCallTimeout
	PollTimeout time.Duration    // default DefaultPollTimeout
	// ColdStart says that no other instance has key data, so that there is
	// nothing to recover, see FreshnessTracker.DeclareComplete.
	ColdStart bool
}

// Follower keeps the key data of one entry instance up to date from the platform and
// from peers, and decides whether that data is fresh enough to accept a key. It is
// safe for concurrent use.
type Follower struct {
	options  FollowerOptions
	store    *Store
	keySet   *KeySet
	pollSlot chan struct{} // semaphore that allows one poll at a time

	mu          sync.Mutex // guards freshness and listedCount
	freshness   *FreshnessTracker
	listedCount int                       // entry instances on the last list
	freshAsOf   atomic.Pointer[time.Time] // FreshnessTracker.AsOf, read without the mutex by Fresh
}

// NewFollower returns a follower that has no key data yet.
func NewFollower(options FollowerOptions) *Follower {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.PollTimeout == 0 {
		options.PollTimeout = DefaultPollTimeout
	}
	f := &Follower{
		options:   options,
		store:     NewStore(options.Table),
		keySet:    NewKeySet(),
		pollSlot:  make(chan struct{}, 1),
		freshness: NewFreshnessTracker(options.InstanceName, options.Zone, options.Now()),
	}
	if options.ColdStart {
		f.freshness.DeclareComplete()
	}
	return f
}

// KeySet returns the key data that requests are checked against.
func (f *Follower) KeySet() *KeySet { return f.keySet }

// SetListedInstances sets the entry instances on the last known list, including those that
// are leaving. It must not be called before a list has been read: an instance that
// is alone on the list is a majority by itself, so its key data counts as fresh
// without any digest of a peer.
func (f *Follower) SetListedInstances(instances []tablestore.Instance) {
	listed := make(map[string]string, len(instances))
	for _, i := range instances {
		listed[i.Name] = i.Zone
	}
	f.updateFreshness(func() {
		f.freshness.SetListedInstances(listed)
		f.listedCount = len(listed)
	})
}

// updateFreshness runs change with the mutex held and then publishes the resulting
// freshAsOf for the request path.
func (f *Follower) updateFreshness(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	asOf := f.freshness.AsOf(f.listedCount)
	f.freshAsOf.Store(&asOf)
}

// Fresh reports whether the key data is recent enough to accept keys on a route with
// this staleness bound.
func (f *Follower) Fresh(bound time.Duration) bool {
	asOf := f.freshAsOf.Load()
	return asOf != nil && !asOf.IsZero() && f.options.Now().Sub(*asOf) <= bound
}

// VerifyFresh returns the customer of a key if the key is valid for the route and the key
// data is within the staleness bound. Otherwise it returns *StaleKeyDataError or an
// error of KeySet.Verify. It is called when a request arrives and again before the
// request is dispatched.
func (f *Follower) VerifyFresh(presented, route string, bound time.Duration) (customer string, err error) {
	// Freshness is checked before the key is looked up, so that the lookup sees
	// at least the data that was found to be fresh.
	fresh := f.Fresh(bound)
	customer, err = f.keySet.Verify(presented, route)
	var unknown *UnknownKeyError
	if !fresh && (err == nil || errors.As(err, &unknown)) {
		return "", &StaleKeyDataError{StalenessBound: bound}
	}
	return customer, err
}

// Run polls the platform until ctx is done and writes pending withdrawals after each
// successful poll. With n live instances in the zone, each of them polls every n
// seconds on average.
func (f *Follower) Run(ctx context.Context) {
	poll.ReadPeriodically(ctx, f.options.LiveZoneInstances, f.options.Random, func(ctx context.Context) {
		err := f.Poll(ctx)
		if err == nil {
			err = f.WritePendingWithdrawals(ctx)
		}
		if err != nil {
			f.options.Log.Warn("could not poll key data or write pending withdrawals", "error", err)
		}
	})
}

// Poll brings the key data up to date with the platform. It reads one row, plus one
// row per change since the last poll. At the first poll, and after more than LogRetentionRows
// changes, it reads all records. It returns *tablestore.UnavailableError,
// *StaleReadError or *RowDecodeError.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.PollTimeout)
	defer cancel()
	select {
	case f.pollSlot <- struct{}{}:
	case <-ctx.Done():
		return &tablestore.UnavailableError{Op: "read", Err: ctx.Err()}
	}
	defer func() { <-f.pollSlot }()
	asOf := f.options.Now()
	generation, err := f.readGeneration(ctx)
	if err != nil {
		return err
	}
	if err := f.loadChanges(ctx, generation); err != nil {
		return err
	}
	f.updateFreshness(func() { f.freshness.RecordPlatformRead(asOf) })
	return nil
}

func (f *Follower) readGeneration(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return f.store.Generation(ctx)
}

// loadChanges reads and applies the changes up to a key generation of the platform.
func (f *Follower) loadChanges(ctx context.Context, generation uint64) error {
	known := f.keySet.Generation()
	if generation < known {
		return &StaleReadError{ReadGeneration: generation, KnownGeneration: known}
	}
	for f.keySet.Generation() < generation {
		before := f.keySet.Generation()
		if before == 0 || generation-before > LogRetentionRows {
			return f.loadAll(ctx, generation)
		}
		changes, err := f.store.Changes(ctx, before)
		if err != nil {
			return err
		}
		if !f.keySet.ApplyChanges(changes) {
			return f.loadAll(ctx, generation)
		}
		if f.keySet.Generation() == before {
			return &StaleReadError{ReadGeneration: before, KnownGeneration: generation}
		}
	}
	return nil
}

func (f *Follower) loadAll(ctx context.Context, generation uint64) error {
	state, err := f.store.LoadState(ctx)
	if err != nil {
		return err
	}
	if state.Generation < generation {
		return &StaleReadError{ReadGeneration: state.Generation, KnownGeneration: generation}
	}
	f.keySet.Import(state)
	return nil
}

// WritePendingWithdrawals writes the pending withdrawals to the platform. They stay pending
// until a poll finds them in the platform's records. It returns the errors of
// Store.Withdraw.
func (f *Follower) WritePendingWithdrawals(ctx context.Context) error {
	for _, w := range f.keySet.PendingWithdrawals() {
		if _, err := f.writeWithdrawal(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) writeWithdrawal(ctx context.Context, w Withdrawal) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return f.store.Withdraw(ctx, w)
}

// Withdraw makes a key invalid on this instance immediately and then writes the
// withdrawal to the platform. It returns the key generation that contains the
// withdrawal. If the write fails, it returns the error of Store.Withdraw, and the
// withdrawal stays pending.
func (f *Follower) Withdraw(ctx context.Context, w Withdrawal) (uint64, error) {
	f.keySet.ApplyWithdrawals([]Withdrawal{w})
	return f.writeWithdrawal(ctx, w)
}

// ApplyWithdrawals makes keys invalid on this instance whose withdrawals a peer has
// announced.
func (f *Follower) ApplyWithdrawals(list []Withdrawal) { f.keySet.ApplyWithdrawals(list) }

// PendingWithdrawals returns the withdrawals that have not yet been seen in the
// platform's records.
func (f *Follower) PendingWithdrawals() []Withdrawal { return f.keySet.PendingWithdrawals() }
