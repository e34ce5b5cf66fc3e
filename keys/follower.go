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
	// DefaultCallTimeout bounds the read of the key generation and one write of a
	// pending withdrawal.
	DefaultCallTimeout = 2 * time.Second
	// DefaultPollTimeout bounds a poll in which records changed. Loading 10,000
	// records takes 20 scans, each of which a slow platform may delay by a second.
	DefaultPollTimeout = 30 * time.Second
	// summaryWindow is the age up to which digests count in zone summaries.
	// Digests come once a second, and a summary has to arrive within the shortest
	// common staleness bound of 5 s.
	summaryWindow = 3 * time.Second
)

// FollowerOptions are the parameters of a Follower. All but Now, the
// timeouts and ColdStart are required.
type FollowerOptions struct {
	Table  tablestore.Table
	InstanceName   string // of the entry instance
	Zone   string
	BootID   uint64     // identifies the process
	LiveZoneInstances   func() int // live entry instances in the own availability zone
	Random *rand.Rand // used by Run only
	Log    *slog.Logger

	Now         func() time.Time // monotonic clock, default time.Now
	CallTimeout time.Duration
	PollTimeout time.Duration
	// ColdStart says that no other instance has key data, see
	// Freshness.DeclareComplete.
	ColdStart bool
}

// Follower keeps the key data of one entry instance up to date. It is safe for
// concurrent use.
type Follower struct {
	options FollowerOptions
	store   *Store
	set     *KeySet
	polling chan struct{} // held by the one poll in progress

	mu        sync.Mutex // guards freshness and total
	freshness *FreshnessTracker
	total     int                       // listed instances
	asOf      atomic.Pointer[time.Time] // Freshness.AsOf, for the request path
}

// NewFollower returns a follower without keys.
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
		set:       NewKeySet(),
		polling:   make(chan struct{}, 1),
		freshness: NewFreshnessTracker(options.InstanceName, options.Zone, options.Now()),
	}
	if options.ColdStart {
		f.freshness.DeclareComplete()
	}
	return f
}

// KeySet returns the key data.
func (f *Follower) KeySet() *KeySet { return f.set }

// SetListedInstances sets the entry instances on the last known list, leaving ones
// included. It must not be called before a list was read: an instance that is
// alone on the list trusts the platform without hearing from others.
func (f *Follower) SetListedInstances(instances []tablestore.Instance) {
	listed := make(map[string]string, len(instances))
	for _, i := range instances {
		listed[i.Name] = i.Zone
	}
	f.update(func() {
		f.freshness.SetListedInstances(listed)
		f.total = len(listed)
	})
}

// update changes the freshness and publishes what the request path needs.
func (f *Follower) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	asOf := f.freshness.AsOf(f.total)
	f.asOf.Store(&asOf)
}

// Fresh reports whether keys may be accepted on a route with the staleness bound.
func (f *Follower) Fresh(bound time.Duration) bool {
	asOf := f.asOf.Load()
	return asOf != nil && !asOf.IsZero() && f.options.Now().Sub(*asOf) <= bound
}

// VerifyFresh returns the customer of a key that may be used on the route now. It
// returns *StaleKeyDataError or the errors of Set.Verify. It is called on arrival of
// a request and again before dispatch.
func (f *Follower) VerifyFresh(presented, route string, bound time.Duration) (customer string, err error) {
	// Freshness comes first: data that is fresh now can only have grown when the
	// key is looked up.
	fresh := f.Fresh(bound)
	customer, err = f.set.Verify(presented, route)
	var unknown *UnknownKeyError
	if !fresh && (err == nil || errors.As(err, &unknown)) {
		return "", &StaleKeyDataError{StalenessBound: bound}
	}
	return customer, err
}

// Run polls the platform until ctx is done and writes pending withdrawals after
// each poll that succeeds. With n live instances in the zone the period is n
// seconds.
func (f *Follower) Run(ctx context.Context) {
	poll.ReadPeriodically(ctx, f.options.LiveZoneInstances, f.options.Random, func(ctx context.Context) {
		err := f.Poll(ctx)
		if err == nil {
			err = f.WritePendingWithdrawals(ctx)
		}
		if err != nil {
			f.options.Log.Warn("key poll failed", "error", err)
		}
	})
}

// Poll brings the key data up to date. It reads one row when nothing changed, and
// one more row per change. After LogRetentionRows changes, and at the first poll, it reads
// all records. It returns *tablestore.UnavailableError, *StaleReadError or
// *RowDecodeError.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.PollTimeout)
	defer cancel()
	select {
	case f.polling <- struct{}{}:
	case <-ctx.Done():
		return &tablestore.UnavailableError{Op: "read", Err: ctx.Err()}
	}
	defer func() { <-f.polling }()
	asOf := f.options.Now()
	generation, err := f.generation(ctx)
	if err != nil {
		return err
	}
	if err := f.advance(ctx, generation); err != nil {
		return err
	}
	f.update(func() { f.freshness.RecordPlatformRead(asOf) })
	return nil
}

func (f *Follower) generation(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return f.store.Generation(ctx)
}

// advance loads the changes up to a generation of the platform.
func (f *Follower) advance(ctx context.Context, generation uint64) error {
	known := f.set.Generation()
	if generation < known {
		return &StaleReadError{ReadGeneration: generation, KnownGeneration: known}
	}
	for f.set.Generation() < generation {
		before := f.set.Generation()
		if before == 0 || generation-before > LogRetentionRows {
			return f.loadAll(ctx, generation)
		}
		changes, err := f.store.Changes(ctx, before)
		if err != nil {
			return err
		}
		if !f.set.ApplyChanges(changes) {
			return f.loadAll(ctx, generation)
		}
		if f.set.Generation() == before {
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
	f.set.Import(state)
	return nil
}

// WritePendingWithdrawals writes the pending withdrawals to the platform. They stay pending
// until a poll has read them back. It returns the errors of Store.Withdraw.
func (f *Follower) WritePendingWithdrawals(ctx context.Context) error {
	for _, w := range f.set.PendingWithdrawals() {
		if _, err := f.write(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) write(ctx context.Context, w Withdrawal) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	return f.store.Withdraw(ctx, w)
}

// Withdraw makes a key invalid on this instance at once and then writes the
// withdrawal to the platform. It returns the key generation that contains the
// withdrawal. When the write fails, the withdrawal stays pending, and the error is
// that of Store.Withdraw.
func (f *Follower) Withdraw(ctx context.Context, w Withdrawal) (uint64, error) {
	f.set.ApplyWithdrawals([]Withdrawal{w})
	return f.write(ctx, w)
}

// ApplyWithdrawals applies withdrawals that a peer announced.
func (f *Follower) ApplyWithdrawals(list []Withdrawal) { f.set.ApplyWithdrawals(list) }

// PendingWithdrawals returns the withdrawals that the platform has not confirmed.
func (f *Follower) PendingWithdrawals() []Withdrawal { return f.set.PendingWithdrawals() }
