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
	// DefaultFetchTimeout is the timeout of fetching one manifest or section. After
	// a timeout of a peer, the rest is fetched from the object store.
	DefaultFetchTimeout = 2 * time.Second
	// DefaultLoadTimeout is the timeout of fetching all sections of a generation, so
	// that a slow source does not delay the candidates of other sources. The next
	// load reuses the sections that were fetched.
	DefaultLoadTimeout = 5 * time.Second
	// DefaultReadTimeout is the timeout of reading the row config/current.
	DefaultReadTimeout = 2 * time.Second
	// DefaultKeptGenerations is the number of generations whose sections are kept for peers.
	DefaultKeptGenerations = 3
)

// FollowerOptions are the parameters of a Follower. Table, Objects,
// LiveZoneInstances, Random and Log are required.
type FollowerOptions struct {
	Table             tablestore.Table
	Objects           tablestore.ObjectStore
	LiveZoneInstances func() int // number of live entry instances in this availability zone, including this one
	Random            *rand.Rand // jitter of the poll interval; used by Run only
	Log               *slog.Logger

	// A zero value of the following fields means the default.

	KeptGenerations int           // number of generations whose sections are kept, at least 1
	FetchTimeout    time.Duration // of fetching one manifest or section
	LoadTimeout     time.Duration // of fetching all sections of a generation
	ReadTimeout     time.Duration // of reading the row config/current
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

// Snapshot is a generation of the configuration that is or was in force. It is
// immutable.
type Snapshot struct {
	Generation   uint64
	ManifestHash config.Hash
	Index        *config.Index
}

// Document returns the document of the snapshot. It must not be modified.
func (s *Snapshot) Document() *config.Document { return s.Index.Document() }

// Candidate is a candidate: a generation that a peer or the platform has and that may be
// newer than the one in force.
type Candidate struct {
	Generation   uint64
	ManifestHash config.Hash
	Source       string    // for errors and logs: the name of a peer, or "platform"
	FetchSection FetchFunc // fetches from the peer; nil means from the object store only
}

// Follower contains the configuration in force on one entry instance. Its generation
// never decreases. A Follower is safe for concurrent use.
type Follower struct {
	options         FollowerOptions
	fetchObject     FetchFunc // fetches from the object store
	inForceSnapshot atomic.Pointer[Snapshot]
	keptSections    atomic.Pointer[sectionSet] // available to peers
	loadLock        chan struct{}              // full while a load is in progress

	// Guarded by loadLock.
	keptGenerations []keptGeneration
	partialSections *sectionSet // verified sections of a load that failed, for the next one

	subscribersMu sync.Mutex // also locked while a snapshot is put in force and subscribers are notified
	subscribers   []func(*Snapshot)
}

// NewFollower returns a follower without a generation.
func NewFollower(options FollowerOptions) *Follower {
	options.setDefaults()
	f := &Follower{
		options:         options,
		fetchObject:     fetchFromObjects(options.Objects),
		loadLock:        make(chan struct{}, 1),
		partialSections: newSectionSet(),
	}
	f.keptSections.Store(newSectionSet())
	return f
}

// Current returns the configuration in force, or nil when there is none.
func (f *Follower) Current() *Snapshot { return f.inForceSnapshot.Load() }

// Ready reports whether a configuration is in force.
func (f *Follower) Ready() bool { return f.Current() != nil }

// Version returns the generation in force and the hash of its manifest, or zero values
// when there is none.
func (f *Follower) Version() (uint64, config.Hash) {
	current := f.Current()
	if current == nil {
		return 0, config.Hash{}
	}
	return current.Generation, current.ManifestHash
}

// Section returns the manifest or section with the hash to be sent to a peer. It
// returns *SectionNotFoundError when it does not belong to one of the kept generations.
func (f *Follower) Section(h config.Hash) ([]byte, error) { return f.keptSections.Load().get(h) }

// Subscribe calls notify with the configuration in force, if there is one, and with
// each later one, in order. notify must not block, call Subscribe or wait for
// ApplyIfNewer.
func (f *Follower) Subscribe(notify func(*Snapshot)) {
	f.subscribersMu.Lock()
	defer f.subscribersMu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if current := f.Current(); current != nil {
		notify(current)
	}
}

// Run polls the platform until ctx is done. With n live instances in the availability
// zone, the mean interval is n seconds.
func (f *Follower) Run(ctx context.Context) {
	poll.ReadPeriodically(ctx, f.options.LiveZoneInstances, f.options.Random, func(ctx context.Context) {
		if err := f.Poll(ctx); err != nil {
			f.options.Log.Warn("polling the current configuration generation failed", "error", err)
		}
	})
}

// Poll reads the row config/current once and applies its generation if it is newer than
// the one in force. An older generation is ignored as a stale read. It returns
// *tablestore.UnavailableError, *RowDecodeError, *ManifestConflictError or *ApplyError.
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
	err = f.ApplyIfNewer(ctx, Candidate{Generation: p.Generation, ManifestHash: p.ManifestHash, Source: "platform"})
	var stale *StaleGenerationError
	if errors.As(err, &stale) {
		return nil
	}
	return err
}

// ApplyIfNewer loads a candidate and puts it in force if it is newer than the generation in
// force, the hashes of its sections match and the sections form a valid document. It
// does nothing if the candidate is the generation in force. It returns *StaleGenerationError,
// *ManifestConflictError or *ApplyError.
func (f *Follower) ApplyIfNewer(ctx context.Context, candidate Candidate) error {
	if newer, err := f.checkNewer(candidate); !newer {
		return err
	}
	select {
	case f.loadLock <- struct{}{}:
	case <-ctx.Done():
		return &ApplyError{Source: candidate.Source, Generation: candidate.Generation, Err: ctx.Err()}
	}
	defer func() { <-f.loadLock }()
	// Another load may have applied this or a newer generation in the meantime.
	if newer, err := f.checkNewer(candidate); !newer {
		return err
	}
	if err := f.loadAndApply(ctx, candidate); err != nil {
		return &ApplyError{Source: candidate.Source, Generation: candidate.Generation, Err: err}
	}
	return nil
}

// ApplyNewest applies the newest candidate that can be loaded, trying them from the newest
// to the oldest. When none can, it returns the error of the newest one. It is meant for
// an instance that starts while the platform is down, with the generations of all
// reachable peers.
func (f *Follower) ApplyNewest(ctx context.Context, candidates []Candidate) error {
	newestFirst := slices.SortedStableFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Compare(b.Generation, a.Generation)
	})
	var firstErr error
	for _, candidate := range newestFirst {
		err := f.ApplyIfNewer(ctx, candidate)
		if err == nil {
			return nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// checkNewer calls IsNewer with the generation in force, and logs a *ManifestConflictError.
func (f *Follower) checkNewer(candidate Candidate) (bool, error) {
	generation, manifestHash := f.Version()
	newer, err := IsNewer(generation, manifestHash, candidate)
	var conflict *ManifestConflictError
	if errors.As(err, &conflict) {
		f.options.Log.Error("ignoring a configuration whose generation is in force with another manifest", "error", err)
	}
	return newer, err
}

// IsNewer compares a candidate with the configuration in force, given by its generation
// and manifest hash, and reports whether the candidate is newer. It returns *StaleGenerationError
// for an older generation and *ManifestConflictError for the same generation with another
// manifest.
func IsNewer(generation uint64, manifestHash config.Hash, candidate Candidate) (bool, error) {
	switch {
	case candidate.Generation > generation:
		return true, nil
	case candidate.Generation < generation:
		return false, &StaleGenerationError{Source: candidate.Source, CandidateGeneration: candidate.Generation, CurrentGeneration: generation}
	case candidate.ManifestHash != manifestHash:
		return false, &ManifestConflictError{Source: candidate.Source, Generation: generation, CurrentManifest: manifestHash, CandidateManifest: candidate.ManifestHash}
	default:
		return false, nil
	}
}
