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
	manifest config.Hash
	parts    []config.Hash
}

// load fetches what is missing for o and puts it in force. The caller holds
// f.loading.
func (f *Follower) load(ctx context.Context, o Candidate) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.LoadTimeout)
	defer cancel()
	got := f.known()
	fetch := f.source(o)
	m, err := got.manifest(ctx, o.ManifestHash, fetch)
	if err != nil {
		return err
	}
	if err := got.fetchAll(ctx, m.SectionHashes(), fetch); err != nil {
		f.partial = got.subset(m.SectionHashes()) // so that the next attempt fetches the rest only
		return err
	}
	doc, err := config.Join(m, got.get)
	if err != nil {
		return err
	}
	if err := config.Validate(doc); err != nil {
		return err
	}
	f.keep(o.ManifestHash, m, got)
	f.install(&Snapshot{Generation: o.Generation, ManifestHash: o.ManifestHash, Index: config.NewIndex(doc)})
	return nil
}

// known returns the kept sections and those of a load that failed.
func (f *Follower) known() *sections {
	all := newSections()
	for _, from := range []*sections{f.sections.Load(), f.partial} {
		from.mu.Lock()
		for h, data := range from.data {
			all.data[h] = data
		}
		from.mu.Unlock()
	}
	return all
}

// source returns a fetch function that asks the source of o first and the object
// store when that fails. After one failure it does not ask the source again in
// this load.
func (f *Follower) source(o Candidate) FetchFunc {
	if o.FetchSection == nil {
		return f.bounded(f.objects)
	}
	first, second := f.bounded(o.FetchSection), f.bounded(f.objects)
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
		return data, errors.Join(err, unlessNil(err, peerErr))
	}
}

// unlessNil returns other when err is an error.
func unlessNil(err, other error) error {
	if err == nil {
		return nil
	}
	return other
}

// bounded verifies what fetch returns, so that a peer with damaged data counts as
// failed, and limits its duration.
func (f *Follower) bounded(fetch FetchFunc) FetchFunc {
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

// keep keeps the sections of the newest generations for peers and drops others.
func (f *Follower) keep(manifest config.Hash, m config.Manifest, got *sections) {
	f.kept = append(f.kept, keptGeneration{manifest: manifest, parts: m.SectionHashes()})
	if extra := len(f.kept) - f.options.KeptGenerations; extra > 0 {
		f.kept = slices.Delete(f.kept, 0, extra)
	}
	var list []config.Hash
	for _, k := range f.kept {
		list = append(list, k.manifest)
		list = append(list, k.parts...)
	}
	f.sections.Store(got.subset(list))
	f.partial = newSections()
}

// install puts s in force and notifies the subscribers.
func (f *Follower) install(s *Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce.Store(s)
	f.options.Log.Info("configuration in force", "generation", s.Generation, "manifest", s.ManifestHash.String())
	for _, notify := range f.subscribers {
		notify(s)
	}
}
