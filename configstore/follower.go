package configstore

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/poll"
)

// Defaults of FollowerOptions.
const (
	// DefaultFetchTimeout bounds one fetch. A peer that does not answer in time
	// is given up and the rest comes from the object store.
	DefaultFetchTimeout = 2 * time.Second
	// DefaultLoadTimeout bounds one load, so that a slow source does not hold up
	// the offers of others. The next load continues with the sections it got.
	DefaultLoadTimeout = 5 * time.Second
	// DefaultReadTimeout bounds the read of config/current.
	DefaultReadTimeout = 2 * time.Second
	// DefaultKeep is the number of generations whose sections are kept for peers.
	DefaultKeep = 3
)

// FollowerOptions are the parameters of a Follower. Table, Objects, Live, Random
// and Log are required.
type FollowerOptions struct {
	Table   tablestore.Table
	Objects tablestore.Objects
	Live    func() int // live entry instances in the own availability zone
	Random  *rand.Rand // used by Run only
	Log     *slog.Logger

	Keep         int           // generations whose sections are kept, at least 1
	FetchTimeout time.Duration // of one section
	LoadTimeout  time.Duration // of all sections of a generation
	ReadTimeout  time.Duration // of config/current
}

func (o *FollowerOptions) setDefaults() {
	if o.Keep == 0 {
		o.Keep = DefaultKeep
	}
	if o.FetchTimeout == 0 {
		o.FetchTimeout = DefaultFetchTimeout
	}
	if o.LoadTimeout == 0 {
		o.LoadTimeout = DefaultLoadTimeout
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
}

// Snapshot is a generation in force. It is immutable.
type Snapshot struct {
	Generation uint64
	Manifest   config.Hash
	Index      *config.Index
}

// Document returns the document of the snapshot. It must not be modified.
func (s *Snapshot) Document() *config.Document { return s.Index.Document() }

// Offer is a generation that a peer or the platform has.
type Offer struct {
	Generation uint64
	Manifest   config.Hash
	Source     string    // name of the peer, for errors and logs
	Fetch      FetchFunc // nil: the object store
}

// Follower holds the generation in force on one entry instance. The generation
// never decreases. A Follower is safe for concurrent use.
type Follower struct {
	options  FollowerOptions
	fetchObject  FetchFunc
	inForce  atomic.Pointer[Snapshot]
	keptSections atomic.Pointer[sectionSet] // for peers
	loadLock  chan struct{}            // held by the one load in progress

	// Guarded by loading.
	keptGenerations    []keptGeneration
	partialSections *sectionSet // verified sections of a load that failed

	mu          sync.Mutex
	subscribers []func(*Snapshot)
}

// NewFollower returns a follower without a generation.
func NewFollower(options FollowerOptions) *Follower {
	options.setDefaults()
	f := &Follower{
		options: options,
		fetchObject: fetchFromObjects(options.Objects),
		loadLock: make(chan struct{}, 1),
		partialSections: newSectionSet(),
	}
	f.keptSections.Store(newSectionSet())
	return f
}

// Current returns the generation in force, or nil when there is none.
func (f *Follower) Current() *Snapshot { return f.inForce.Load() }

// Ready reports whether a generation is in force.
func (f *Follower) Ready() bool { return f.Current() != nil }

// Version returns the generation in force and its manifest, or zero values.
func (f *Follower) Version() (uint64, config.Hash) {
	current := f.Current()
	if current == nil {
		return 0, config.Hash{}
	}
	return current.Generation, current.Manifest
}

// Section returns a manifest or section of the kept generations, for peers. It
// returns *NoSourceError when it is not kept.
func (f *Follower) Section(h config.Hash) ([]byte, error) { return f.keptSections.Load().get(h) }

// Subscribe calls notify with the generation in force, if there is one, and with
// each later one, in order. notify must be short and must not call Subscribe or
// wait for Offer.
func (f *Follower) Subscribe(notify func(*Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if current := f.Current(); current != nil {
		notify(current)
	}
}

// Run polls the platform until ctx is done. With n live instances in the zone the
// period is n seconds.
func (f *Follower) Run(ctx context.Context) {
	poll.Loop(ctx, f.options.Live, f.options.Random, func(ctx context.Context) {
		if err := f.Poll(ctx); err != nil {
			f.options.Log.Warn("configuration poll failed", "error", err)
		}
	})
}

// Poll reads config/current once and puts a newer generation in force. An older
// generation is a stale read and ignored. It returns *tablestore.UnavailableError,
// *RowError, *HashConflictError or *RefusedError.
func (f *Follower) Poll(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
	defer cancel()
	row, err := f.options.Table.Read(readCtx, currentRowKey)
	if err != nil {
		return err
	}
	p, err := decodeGenerationRow(row)
	if err != nil {
		return err
	}
	err = f.Offer(ctx, Offer{Generation: p.Generation, Manifest: p.Manifest, Source: "platform"})
	var stale *StaleError
	if errors.As(err, &stale) {
		return nil
	}
	return err
}

// Offer puts a generation in force if it is newer than the one in force and its
// sections have the right hashes and form a valid document. Offering the
// generation in force again does nothing. It returns *StaleError,
// *HashConflictError or *RefusedError.
func (f *Follower) Offer(ctx context.Context, o Offer) error {
	if newer, err := f.checkNewer(o); !newer {
		return err
	}
	select {
	case f.loadLock <- struct{}{}:
	case <-ctx.Done():
		return &RefusedError{Source: o.Source, Generation: o.Generation, Err: ctx.Err()}
	}
	defer func() { <-f.loadLock }()
	// Another load may have put this or a newer generation in force meanwhile.
	if newer, err := f.checkNewer(o); !newer {
		return err
	}
	if err := f.loadAndApply(ctx, o); err != nil {
		return &RefusedError{Source: o.Source, Generation: o.Generation, Err: err}
	}
	return nil
}

// OfferAll puts the newest of several offers in force. When it cannot be loaded,
// the next one is tried. It returns the error of the newest offer that failed.
// A replacement that starts while the platform is down calls it with the
// generations of all reachable peers.
func (f *Follower) OfferAll(ctx context.Context, offers []Offer) error {
	newestFirst := slices.SortedStableFunc(slices.Values(offers), func(a, b Offer) int {
		return cmp.Compare(b.Generation, a.Generation)
	})
	var first error
	for _, o := range newestFirst {
		err := f.Offer(ctx, o)
		if err == nil {
			return nil
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// checkNewer reports whether o is newer than the generation in force, and logs a
// conflict of contents.
func (f *Follower) checkNewer(o Offer) (bool, error) {
	generation, manifest := f.Version()
	newer, err := Newer(generation, manifest, o)
	var conflict *HashConflictError
	if errors.As(err, &conflict) {
		f.options.Log.Error("configuration generation with two contents", "error", err)
	}
	return newer, err
}

// Newer reports whether o may replace the generation in force. It returns
// *StaleError for an older generation and *HashConflictError for the same
// generation with other contents.
func Newer(generation uint64, manifest config.Hash, o Offer) (bool, error) {
	switch {
	case o.Generation > generation:
		return true, nil
	case o.Generation < generation:
		return false, &StaleError{Source: o.Source, Offered: o.Generation, InForce: generation}
	case o.Manifest != manifest:
		return false, &HashConflictError{Source: o.Source, Generation: generation, InForce: manifest, Offered: o.Manifest}
	default:
		return false, nil
	}
}
