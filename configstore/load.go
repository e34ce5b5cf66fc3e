package configstore

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/jacinthrack/jacinthrack/config"
)

// keptGeneration contains the hashes of the manifest and sections of a generation that
// are kept for peers.
type keptGeneration struct {
	manifestHash  config.Hash
	sectionHashes []config.Hash
}

// loadAndApply fetches the missing sections of a candidate, validates the document and
// puts it in force. The caller holds f.loadLock.
func (f *Follower) loadAndApply(ctx context.Context, candidate Candidate) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.LoadTimeout)
	defer cancel()
	sections := f.availableSections()
	fetch := f.fetchWithFallback(candidate)
	m, err := sections.fetchManifest(ctx, candidate.ManifestHash, fetch)
	if err != nil {
		return err
	}
	if err := sections.fetchMissing(ctx, m.SectionHashes(), fetch); err != nil {
		f.partialSections = sections.subset(m.SectionHashes()) // so that the next load fetches only the rest
		return err
	}
	doc, err := config.Join(m, sections.get)
	if err != nil {
		return err
	}
	if err := config.Validate(doc); err != nil {
		return err
	}
	f.keepSections(candidate.ManifestHash, m, sections)
	f.apply(&Snapshot{Generation: candidate.Generation, ManifestHash: candidate.ManifestHash, Index: config.NewIndex(doc)})
	return nil
}

// availableSections returns the kept sections and those fetched by a load that failed.
func (f *Follower) availableSections() *sectionSet {
	union := newSectionSet()
	for _, set := range []*sectionSet{f.keptSections.Load(), f.partialSections} {
		set.mu.Lock()
		for h, data := range set.dataByHash {
			union.dataByHash[h] = data
		}
		set.mu.Unlock()
	}
	return union
}

// fetchWithFallback returns a fetch function that uses the peer of a candidate first and
// the object store when that fails. After the first failure of the peer, only the object
// store is used for the rest of the load.
func (f *Follower) fetchWithFallback(candidate Candidate) FetchFunc {
	if candidate.FetchSection == nil {
		return f.verifiedFetch(f.fetchObject)
	}
	fromPeer, fromObjectStore := f.verifiedFetch(candidate.FetchSection), f.verifiedFetch(f.fetchObject)
	var peerFailed atomic.Bool
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		var peerErr error
		if !peerFailed.Load() {
			data, err := fromPeer(ctx, h)
			if err == nil {
				return data, nil
			}
			peerFailed.Store(true)
			peerErr = err
		}
		data, err := fromObjectStore(ctx, h)
		return data, errors.Join(err, ifFailed(err, peerErr))
	}
}

// ifFailed returns other when err is not nil, and nil otherwise.
func ifFailed(err, other error) error {
	if err == nil {
		return nil
	}
	return other
}

// verifiedFetch returns fetch with a timeout and a check of the hash, so that a peer with
// damaged data counts as failed.
func (f *Follower) verifiedFetch(fetch FetchFunc) FetchFunc {
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, f.options.FetchTimeout)
		defer cancel()
		data, err := fetch(ctx, h)
		if err != nil {
			return nil, err
		}
		return data, config.VerifyHash(h, data)
	}
}

// keepSections adds a generation to those whose sections are kept for peers, and drops
// the oldest ones beyond options.KeptGenerations.
func (f *Follower) keepSections(manifestHash config.Hash, m config.Manifest, sections *sectionSet) {
	f.keptGenerations = append(f.keptGenerations, keptGeneration{manifestHash: manifestHash, sectionHashes: m.SectionHashes()})
	if excess := len(f.keptGenerations) - f.options.KeptGenerations; excess > 0 {
		f.keptGenerations = slices.Delete(f.keptGenerations, 0, excess)
	}
	var hashes []config.Hash
	for _, k := range f.keptGenerations {
		hashes = append(hashes, k.manifestHash)
		hashes = append(hashes, k.sectionHashes...)
	}
	f.keptSections.Store(sections.subset(hashes))
	f.partialSections = newSectionSet()
}

// apply puts s in force and notifies the subscribers.
func (f *Follower) apply(s *Snapshot) {
	f.subscribersMu.Lock()
	defer f.subscribersMu.Unlock()
	f.inForceSnapshot.Store(s)
	f.options.Log.Info("configuration in force", "generation", s.Generation, "manifest", s.ManifestHash.String())
	for _, notify := range f.subscribers {
		notify(s)
	}
}
