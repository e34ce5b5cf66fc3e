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
	// DefaultKeptGenerations is the number of generations whose sections are kept for peers.
	DefaultKeptGenerations = 3
)

// FollowerOptions are the parameters of a Follower. Table, Objects, Live, Random
// and Log are required.
type FollowerOptions struct {
	Table   tablestore.Table
	Objects tablestore.ObjectStore
	LiveZoneInstances    func() int // live entry instances in the own availability zone
	Random  *rand.Rand // used by Run only
	Log     *slog.Logger

	KeptGenerations         int           // generations whose sections are kept, at least 1
	FetchTimeout time.Duration // of one section
	LoadTimeout  time.Duration // of all sections of a generation
	ReadTimeout  time.Duration // of config/current
}

func (o *FollowerOptions) setDefaults() {
	if o.KeptGenerations == 0 {
		o.KeptGenerations = DefaultKeptGenerations
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
	ManifestHash   config.Hash
	Index      *config.Index
}

// Document returns the document of the snapshot. It must not be modified.
func (s *Snapshot) Document() *config.Document { return s.Index.Document() }

// Candidate is a generation that a peer or the platform has.
type Candidate struct {
	Generation uint64
	ManifestHash   config.Hash
	Source     string    // name of the peer, for errors and logs
	FetchSection      FetchFunc // nil: the object store
}

// Follower holds the generation in force on one entry instance. The generation
// never decreases. A Follower is safe for concurrent use.
type Follower struct {
	options  FollowerOptions
	objects  FetchFunc
	inForce  atomic.Pointer[Snapshot]
	sections atomic.Pointer[sections] // for peers
	loading  chan struct{}            // held by the one load in progress

	// Guarded by loading.
	kept    []keptGeneration
	partial *sections // verified sections of a load that failed

	mu          sync.Mutex
	subscribers []func(*Snapshot)
}

// NewFollower returns a follower without a generation.
func NewFollower(options FollowerOptions) *Follower {
	options.setDefaults()
	f := &Follower{
		options: options,
		objects: objectsFetch(options.Objects),
		loading: make(chan struct{}, 1),
		partial: newSections(),
	}
	f.sections.Store(newSections())
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
	return current.Generation, current.ManifestHash
}

// Section returns a manifest or section of the kept generations, for peers. It
// returns *SectionNotFoundError when it is not kept.
func (f *Follower) Section(h config.Hash) ([]byte, error) { return f.sections.Load().get(h) }

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
	poll.ReadPeriodically(ctx, f.options.LiveZoneInstances, f.options.Random, func(ctx context.Context) {
		if err := f.Poll(ctx); err != nil {
			f.options.Log.Warn("configuration poll failed", "error", err)
		}
	})
}

// Poll reads config/current once and puts a newer generation in force. An older
// generation is a stale read and ignored. It returns *tablestore.UnavailableError,
// *RowDecodeError, *ManifestConflictError or *ApplyError.
func (f *Follower) Poll(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
	defer cancel()
	row, err := f.options.Table.Read(readCtx, currentKey)
	if err != nil {
		return err
	}
	p, err := decodeRow(row)
	if err != nil {
		return err
	}
	err = f.ApplyIfNewer(ctx, Candidate{Generation: p.Generation, ManifestHash: p.ManifestHash, Source: "platform"})
	var stale *StaleGenerationError
	if errors.As(err, &stale) {
		return nil
	}
	return err
}

// Candidate puts a generation in force if it is newer than the one in force and its
// sections have the right hashes and form a valid document. Offering the
// generation in force again does nothing. It returns *StaleGenerationError,
// *ManifestConflictError or *ApplyError.
func (f *Follower) ApplyIfNewer(ctx context.Context, o Candidate) error {
	if newer, err := f.judge(o); !newer {
		return err
	}
	select {
	case f.loading <- struct{}{}:
	case <-ctx.Done():
		return &ApplyError{Source: o.Source, Generation: o.Generation, Err: ctx.Err()}
	}
	defer func() { <-f.loading }()
	// Another load may have put this or a newer generation in force meanwhile.
	if newer, err := f.judge(o); !newer {
		return err
	}
	if err := f.load(ctx, o); err != nil {
		return &ApplyError{Source: o.Source, Generation: o.Generation, Err: err}
	}
	return nil
}

// ApplyNewest puts the newest of several offers in force. When it cannot be loaded,
// the next one is tried. It returns the error of the newest offer that failed.
// A replacement that starts while the platform is down calls it with the
// generations of all reachable peers.
func (f *Follower) ApplyNewest(ctx context.Context, offers []Candidate) error {
	newestFirst := slices.SortedStableFunc(slices.Values(offers), func(a, b Candidate) int {
		return cmp.Compare(b.Generation, a.Generation)
	})
	var first error
	for _, o := range newestFirst {
		err := f.ApplyIfNewer(ctx, o)
		if err == nil {
			return nil
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// judge reports whether o is newer than the generation in force, and logs a
// conflict of contents.
func (f *Follower) judge(o Candidate) (bool, error) {
	generation, manifest := f.Version()
	newer, err := IsNewer(generation, manifest, o)
	var conflict *ManifestConflictError
	if errors.As(err, &conflict) {
		f.options.Log.Error("configuration generation with two contents", "error", err)
	}
	return newer, err
}

// IsNewer reports whether o may replace the generation in force. It returns
// *StaleGenerationError for an older generation and *ManifestConflictError for the same
// generation with other contents.
func IsNewer(generation uint64, manifest config.Hash, o Candidate) (bool, error) {
	switch {
	case o.Generation > generation:
		return true, nil
	case o.Generation < generation:
		return false, &StaleGenerationError{Source: o.Source, CandidateGeneration: o.Generation, CurrentGeneration: generation}
	case o.ManifestHash != manifest:
		return false, &ManifestConflictError{Source: o.Source, Generation: generation, CurrentManifest: manifest, CandidateManifest: o.ManifestHash}
	default:
		return false, nil
	}
}
