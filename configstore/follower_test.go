package configstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

func newTestFollower(store *memory.Store, seed uint64) *Follower {
	return NewFollower(FollowerOptions{Table: store, Objects: store, LiveZoneInstances: func() int { return 7 },
		Random: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler)})
}

// countingPeerFetch returns a function that fetches from a peer and counts the calls.
func countingPeerFetch(peer *Follower, calls *atomic.Int64) FetchFunc {
	return func(_ context.Context, h config.Hash) ([]byte, error) {
		calls.Add(1)
		return peer.Section(h)
	}
}

// publishGenerations publishes n generations. It returns the platform, a peer that has
// applied all of them, and their descriptions, oldest first.
func publishGenerations(t *testing.T, n int) (*memory.Store, *Follower, []GenerationRecord) {
	t.Helper()
	store := memory.New()
	s, peer := NewStore(store, store), newTestFollower(store, 1)
	var generations []GenerationRecord
	for i := range n {
		p, err := s.Publish(t.Context(), exampleDocument(t, i+1), uint64(i), "ama")
		must.NoError(t, err)
		must.NoError(t, peer.Poll(t.Context()))
		generations = append(generations, p)
	}
	return store, peer, generations
}

func candidateOf(p GenerationRecord, fetch FetchFunc) Candidate {
	return Candidate{Generation: p.Generation, ManifestHash: p.ManifestHash, Source: "peer", FetchSection: fetch}
}

// Checks that a follower keeps its generation when a candidate is older, has another
// manifest for the same generation, cannot be fetched, or has damaged or invalid sections.
func TestOfferRejectsUnusableGeneration(t *testing.T) {
	store, peer, generations := publishGenerations(t, 3)
	var fetchCalls atomic.Int64
	fromPeer := countingPeerFetch(peer, &fetchCalls)
	f := newTestFollower(store, 2)
	must.False(t, f.Ready())
	must.NoError(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[1], fromPeer)))
	must.True(t, f.Ready())
	store.SetFault(memory.AlwaysUnavailable)

	damaged := func(ctx context.Context, h config.Hash) ([]byte, error) {
		data, err := fromPeer(ctx, h)
		return append(data, ' '), err
	}
	conflicting := candidateOf(generations[1], fromPeer)
	conflicting.ManifestHash = generations[0].ManifestHash
	invalid := exampleDocument(t, 9)
	invalid.Routes[0].Service = "none"
	manifest, contentByHash, err := config.Split(invalid)
	must.NoError(t, err)
	encoded, err := manifest.Encode()
	must.NoError(t, err)
	contentByHash[config.HashOf(encoded)] = encoded
	invalidCandidate := Candidate{Generation: 4, ManifestHash: config.HashOf(encoded), FetchSection: func(_ context.Context, h config.Hash) ([]byte, error) { return contentByHash[h], nil }}
	cases := []struct {
		name      string
		candidate Candidate
		wantErr   any // pointer to the error type
	}{
		{"older generation", candidateOf(generations[0], fromPeer), new(*StaleGenerationError)},
		{"same generation, other manifest", conflicting, new(*ManifestConflictError)},
		{"damaged sections", candidateOf(generations[2], damaged), new(*config.HashMismatchError)},
		{"peer and platform down", candidateOf(generations[2], func(context.Context, config.Hash) ([]byte, error) { return nil, &SectionNotFoundError{} }), new(*ApplyError)},
		{"invalid document", invalidCandidate, new(*config.ValidationError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := f.ApplyIfNewer(t.Context(), c.candidate)
			must.True(t, errors.As(err, c.wantErr), must.Sprintf("got %v", err))
			generation, manifestHash := f.Version()
			must.Eq(t, 2, generation)
			must.True(t, manifestHash == generations[1].ManifestHash)
		})
	}
	must.NoError(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[1], nil)), must.Sprint("the candidate is the generation in force"))
	store.SetFault(nil)
	must.NoError(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[2], damaged)), must.Sprint("the object store is used when the peer fails"))
	must.Eq(t, 3.0, f.Current().Document().Policy.RefusalWeight)
}

// Checks that a follower fetches only the sections that it does not have, also after a
// load that failed half-way, and keeps the sections of DefaultKeptGenerations generations only.
func TestOnlyMissingSectionsAreFetched(t *testing.T) {
	store, peer, generations := publishGenerations(t, 6)
	f := newTestFollower(store, 2)
	var fetchCalls atomic.Int64
	fromPeer := countingPeerFetch(peer, &fetchCalls)
	store.SetFault(memory.AlwaysUnavailable)
	failsAfter20 := func(ctx context.Context, h config.Hash) ([]byte, error) {
		if fetchCalls.Load() >= 20 {
			return nil, &SectionNotFoundError{Hash: h}
		}
		return fromPeer(ctx, h)
	}
	must.Error(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[3], failsAfter20)))
	must.NoError(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[3], fromPeer)))
	sectionCount := len(f.keptSections.Load().dataByHash)
	must.Greater(t, 20, sectionCount)
	must.Between(t, sectionCount, int(fetchCalls.Load()), sectionCount+maxConcurrentTransfers, must.Sprint("transfers in progress at the failure may repeat"))
	fetchCalls.Store(0)
	must.NoError(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[4], fromPeer)))
	must.Eq(t, 2, fetchCalls.Load(), must.Sprint("fetches of the base section and the manifest"))
	must.NoError(t, f.ApplyIfNewer(t.Context(), candidateOf(generations[5], fromPeer)))
	must.MapLen(t, sectionCount+4, f.keptSections.Load().dataByHash)
	_, err := peer.Section(generations[0].ManifestHash)
	var missing *SectionNotFoundError
	must.True(t, errors.As(err, &missing))
	_, err = peer.Section(generations[5-DefaultKeptGenerations+1].ManifestHash)
	must.NoError(t, err)
}

// Checks that an instance that starts while the platform is down applies the newest
// generation that can be fetched from its peers.
func TestReplacementTakesNewestGeneration(t *testing.T) {
	store, peer, generations := publishGenerations(t, 3)
	store.SetFault(memory.AlwaysUnavailable)
	f := newTestFollower(store, 2)
	var fetchCalls atomic.Int64
	failing := func(context.Context, config.Hash) ([]byte, error) { return nil, &SectionNotFoundError{} }
	must.Error(t, f.Poll(t.Context()))
	must.Error(t, f.ApplyNewest(t.Context(), []Candidate{candidateOf(generations[2], failing)}))
	must.False(t, f.Ready())
	must.NoError(t, f.ApplyNewest(t.Context(), []Candidate{candidateOf(generations[1], countingPeerFetch(peer, &fetchCalls)), candidateOf(generations[2], failing)}))
	must.Eq(t, 2, f.Current().Generation)
	must.NoError(t, f.ApplyNewest(t.Context(), []Candidate{candidateOf(generations[1], failing), candidateOf(generations[2], countingPeerFetch(peer, &fetchCalls))}))
	must.Eq(t, 3, f.Current().Generation)
}

// Checks that the 7 instances of an availability zone together poll about once per
// second, that polling applies a published generation, and that a peer which never
// answers does not block a follower.
func TestRunPollsOncePerSecondPerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, _ := publishGenerations(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var followers []*Follower
		for i := range uint64(7) {
			f := newTestFollower(store, i)
			followers = append(followers, f)
			go f.Run(ctx)
		}
		time.Sleep(time.Second)
		p, err := NewStore(store, store).Publish(t.Context(), exampleDocument(t, 2), 1, "kofi")
		must.NoError(t, err)
		readsBefore := store.Counts().RowReads
		hanging := func(ctx context.Context, _ config.Hash) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() }
		go func() {
			_ = followers[0].ApplyIfNewer(ctx, Candidate{Generation: 9, ManifestHash: config.Hash{9}, FetchSection: hanging})
		}()
		time.Sleep(700 * time.Second)
		must.Between(t, 650, store.Counts().RowReads-readsBefore, 750)
		must.NoError(t, newTestFollower(store, 9).ApplyIfNewer(ctx, candidateOf(p, hanging)), must.Sprint("the object store is used when the peer does not answer"))
		for _, f := range followers {
			must.Eq(t, 2, f.Current().Generation)
		}
		cancel()
		synctest.Wait()
	})
}

// fixedRowTable returns row from all reads, to simulate stale reads.
type fixedRowTable struct {
	tablestore.Table
	row *tablestore.Row // nil: reads return the rows of Table
}

func (s *fixedRowTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if s.row != nil {
		return *s.row, nil
	}
	return s.Table.Read(ctx, key)
}

// Checks for random candidates and stale reads that the generation in force never
// decreases and that subscribers are notified of each new generation in order.
func TestGenerationNeverDecreases(t *testing.T) {
	store, peer, generations := publishGenerations(t, 5)
	rapid.Check(t, func(t *rapid.T) {
		table := &fixedRowTable{Table: store}
		f := NewFollower(FollowerOptions{Table: table, Objects: store, Log: slog.New(slog.DiscardHandler)})
		var notified []uint64
		f.Subscribe(func(s *Snapshot) { notified = append(notified, s.Generation) })
		var fetchCalls atomic.Int64
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			before, _ := f.Version()
			candidate := candidateOf(rapid.SampledFrom(generations).Draw(t, "candidate"), countingPeerFetch(peer, &fetchCalls))
			candidate.ManifestHash = rapid.SampledFrom(generations).Draw(t, "manifest").ManifestHash
			if rapid.Bool().Draw(t, "platform") {
				value, err := GenerationRecord{Generation: candidate.Generation, ManifestHash: candidate.ManifestHash}.encode()
				must.NoError(t, err)
				table.row = &tablestore.Row{Key: currentRowKey, Value: value, Version: 1}
				_ = f.Poll(context.Background())
			} else {
				_ = f.ApplyIfNewer(context.Background(), candidate)
			}
			after, _ := f.Version()
			must.GreaterEq(t, before, after)
			if after > before {
				must.Eq(t, after, notified[len(notified)-1])
			}
		}
		for i := 1; i < len(notified); i++ {
			must.Greater(t, notified[i-1], notified[i])
		}
	})
}
