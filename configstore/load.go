package configstore

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/jacinthrack/jacinthrack/config"
)

// keptGeneration names the sections that peers may still ask for.
type keptGeneration struct {
	manifestHash config.Hash
	sectionHashes    []config.Hash
}

// loadAndApply fetches what is missing for o and puts it in force. The caller holds
// f.loading.
func (f *Follower) loadAndApply(ctx context.Context, o Offer) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.LoadTimeout)
	defer cancel()
	got := f.availableSections()
	fetch := f.fetchWithFallback(o)
	m, err := got.fetchManifest(ctx, o.Manifest, fetch)
	if err != nil {
		return err
	}
	if err := got.fetchMissing(ctx, m.Sections(), fetch); err != nil {
		f.partialSections = got.subset(m.Sections()) // so that the next attempt fetches the rest only
		return err
	}
	doc, err := config.Join(m, got.get)
	if err != nil {
		return err
	}
	if err := config.Validate(doc); err != nil {
		return err
	}
	f.keepSections(o.Manifest, m, got)
	f.putInForce(&Snapshot{Generation: o.Generation, Manifest: o.Manifest, Index: config.NewIndex(doc)})
	return nil
}

// availableSections returns the kept sections and those of a load that failed.
func (f *Follower) availableSections() *sectionSet {
	all := newSectionSet()
	for _, from := range []*sectionSet{f.keptSections.Load(), f.partialSections} {
		from.mu.Lock()
		for h, data := range from.dataByHash {
			all.dataByHash[h] = data
		}
		from.mu.Unlock()
	}
	return all
}

// fetchWithFallback returns a fetch function that asks the source of o first and the object
// store when that fails. After one failure it does not ask the source again in
// this load.
func (f *Follower) fetchWithFallback(o Offer) FetchFunc {
	if o.Fetch == nil {
		return f.verifiedFetch(f.fetchObject)
	}
	first, second := f.verifiedFetch(o.Fetch), f.verifiedFetch(f.fetchObject)
	var failed atomic.Bool
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		var peerErr error
		if !failed.Load() {
			data, err := first(ctx, h)
			if err == nil {
				return data, nil
			}
			failed.Store(true)
			peerErr = err
		}
		data, err := second(ctx, h)
		return data, errors.Join(err, ifFailed(err, peerErr))
	}
}

// ifFailed returns other when err is an error.
func ifFailed(err, other error) error {
	if err == nil {
		return nil
	}
	return other
}

// verifiedFetch verifies what fetch returns, so that a peer with damaged data counts as
// failed, and limits its duration.
func (f *Follower) verifiedFetch(fetch FetchFunc) FetchFunc {
	return func(ctx context.Context, h config.Hash) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, f.options.FetchTimeout)
		defer cancel()
		data, err := fetch(ctx, h)
		if err != nil {
			return nil, err
		}
		return data, config.Verify(h, data)
	}
}

// keepSections keeps the sections of the newest generations for peers and drops others.
func (f *Follower) keepSections(manifest config.Hash, m config.Manifest, got *sectionSet) {
	f.keptGenerations = append(f.keptGenerations, keptGeneration{manifestHash: manifest, sectionHashes: m.Sections()})
	if extra := len(f.keptGenerations) - f.options.Keep; extra > 0 {
		f.keptGenerations = slices.Delete(f.keptGenerations, 0, extra)
	}
	var list []config.Hash
	for _, k := range f.keptGenerations {
		list = append(list, k.manifestHash)
		list = append(list, k.sectionHashes...)
	}
	f.keptSections.Store(got.subset(list))
	f.partialSections = newSectionSet()
}

// putInForce puts s in force and notifies the subscribers.
func (f *Follower) putInForce(s *Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce.Store(s)
	f.options.Log.Info("configuration in force", "generation", s.Generation, "manifest", s.Manifest.String())
	for _, notify := range f.subscribers {
		notify(s)
	}
}
