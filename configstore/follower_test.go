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
	return NewFollower(FollowerOptions{Table: store, Objects: store, Live: func() int { return 7 },
		Random: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler)})
}

// countingPeerFetch fetches from a peer and counts the sections.
func countingPeerFetch(peer *Follower, count *atomic.Int64) FetchFunc {
	return func(_ context.Context, h config.Hash) ([]byte, error) {
		count.Add(1)
		return peer.Section(h)
	}
}

// publishGenerations returns a platform with n generations and an instance that has them.
func publishGenerations(t *testing.T, n int) (*memory.Store, *Follower, []Published) {
	t.Helper()
	store := memory.New()
	s, peer := NewStore(store, store), newTestFollower(store, 1)
	var list []Published
	for i := range n {
		p, err := s.Publish(t.Context(), exampleDocument(t, i+1), uint64(i), "ama")
		must.NoError(t, err)
		must.NoError(t, peer.Poll(t.Context()))
		list = append(list, p)
	}
	return store, peer, list
}

func candidateOf(p Published, fetch FetchFunc) Offer {
	return Offer{Generation: p.Generation, Manifest: p.Manifest, Source: "peer", Fetch: fetch}
}

// Guards against an instance that goes back, accepts other contents for a
// generation, or accepts damaged or invalid sections.
func TestOfferRejectsUnusableGeneration(t *testing.T) {
	store, peer, list := publishGenerations(t, 3)
	var fetched atomic.Int64
	fromPeer := countingPeerFetch(peer, &fetched)
	f := newTestFollower(store, 2)
	must.False(t, f.Ready())
	must.NoError(t, f.Offer(t.Context(), candidateOf(list[1], fromPeer)))
	must.True(t, f.Ready())
	store.SetFault(memory.Down)

	damaged := func(ctx context.Context, h config.Hash) ([]byte, error) {
		data, err := fromPeer(ctx, h)
		return append(data, ' '), err
	}
	other := candidateOf(list[1], fromPeer)
	other.Manifest = list[0].Manifest
	invalid := exampleDocument(t, 9)
	invalid.Routes[0].Service = "none"
	manifest, parts, err := config.Split(invalid)
	must.NoError(t, err)
	encoded, err := manifest.Encode()
	must.NoError(t, err)
	parts[config.HashOf(encoded)] = encoded
	invalidOffer := Offer{Generation: 4, Manifest: config.HashOf(encoded), Fetch: func(_ context.Context, h config.Hash) ([]byte, error) { return parts[h], nil }}
	cases := []struct {
		name  string
		offer Offer
		want  any
	}{
		{"stale peer", candidateOf(list[0], fromPeer), new(*StaleError)},
		{"same generation, other contents", other, new(*HashConflictError)},
		{"damaged sections", candidateOf(list[2], damaged), new(*config.HashMismatchError)},
		{"peer and platform down", candidateOf(list[2], func(context.Context, config.Hash) ([]byte, error) { return nil, &NoSourceError{} }), new(*RefusedError)},
		{"invalid document", invalidOffer, new(*config.ValidationError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := f.Offer(t.Context(), c.offer)
			must.True(t, errors.As(err, c.want), must.Sprintf("got %v", err))
			generation, h := f.Version()
			must.Eq(t, 2, generation)
			must.True(t, h == list[1].Manifest)
		})
	}
	must.NoError(t, f.Offer(t.Context(), candidateOf(list[1], nil)), must.Sprint("the generation in force again"))
	store.SetFault(nil)
	must.NoError(t, f.Offer(t.Context(), candidateOf(list[2], damaged)), must.Sprint("the object store replaces the peer"))
	must.Eq(t, 3.0, f.Current().Document().Policy.RefusalWeight)
}

// Guards against transfers of sections that an instance already has, also after a
// load that failed half-way, and against sections that are kept without a bound.
func TestOnlyMissingSectionsAreFetched(t *testing.T) {
	store, peer, list := publishGenerations(t, 6)
	f := newTestFollower(store, 2)
	var fetched atomic.Int64
	fromPeer := countingPeerFetch(peer, &fetched)
	store.SetFault(memory.Down)
	stopping := func(ctx context.Context, h config.Hash) ([]byte, error) {
		if fetched.Load() >= 20 {
			return nil, &NoSourceError{Hash: h}
		}
		return fromPeer(ctx, h)
	}
	must.Error(t, f.Offer(t.Context(), candidateOf(list[3], stopping)))
	must.NoError(t, f.Offer(t.Context(), candidateOf(list[3], fromPeer)))
	sections := len(f.keptSections.Load().dataByHash)
	must.Greater(t, 20, sections)
	must.Between(t, sections, int(fetched.Load()), sections+maxConcurrentTransfers, must.Sprint("transfers in progress at the failure may repeat"))
	fetched.Store(0)
	must.NoError(t, f.Offer(t.Context(), candidateOf(list[4], fromPeer)))
	must.Eq(t, 2, fetched.Load(), must.Sprint("base section and manifest"))
	must.NoError(t, f.Offer(t.Context(), candidateOf(list[5], fromPeer)))
	must.MapLen(t, sections+4, f.keptSections.Load().dataByHash)
	_, err := peer.Section(list[0].Manifest)
	var missing *NoSourceError
	must.True(t, errors.As(err, &missing))
	_, err = peer.Section(list[5-DefaultKeep+1].Manifest)
	must.NoError(t, err)
}

// Guards against a replacement that starts with an old generation, or with none,
// while the platform is down.
func TestReplacementTakesNewestGeneration(t *testing.T) {
	store, peer, list := publishGenerations(t, 3)
	store.SetFault(memory.Down)
	f := newTestFollower(store, 2)
	var fetched atomic.Int64
	dead := func(context.Context, config.Hash) ([]byte, error) { return nil, &NoSourceError{} }
	must.Error(t, f.Poll(t.Context()))
	must.Error(t, f.OfferAll(t.Context(), []Offer{candidateOf(list[2], dead)}))
	must.False(t, f.Ready())
	must.NoError(t, f.OfferAll(t.Context(), []Offer{candidateOf(list[1], countingPeerFetch(peer, &fetched)), candidateOf(list[2], dead)}))
	must.Eq(t, 2, f.Current().Generation)
	must.NoError(t, f.OfferAll(t.Context(), []Offer{candidateOf(list[1], dead), candidateOf(list[2], countingPeerFetch(peer, &fetched))}))
	must.Eq(t, 3, f.Current().Generation)
}

// Guards against a zone that polls more often than about once per second, an
// instance that does not learn generations by polling, and a peer that never
// answers and blocks it.
func TestRunPollsOncePerSecondPerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, _ := publishGenerations(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var all []*Follower
		for i := range uint64(7) {
			f := newTestFollower(store, i)
			all = append(all, f)
			go f.Run(ctx)
		}
		time.Sleep(time.Second)
		p, err := NewStore(store, store).Publish(t.Context(), exampleDocument(t, 2), 1, "kofi")
		must.NoError(t, err)
		before := store.Counts().Reads
		hanging := func(ctx context.Context, _ config.Hash) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() }
		go func() { _ = all[0].Offer(ctx, Offer{Generation: 9, Manifest: config.Hash{9}, Fetch: hanging}) }()
		time.Sleep(700 * time.Second)
		must.Between(t, 650, store.Counts().Reads-before, 750)
		must.NoError(t, newTestFollower(store, 9).Offer(ctx, candidateOf(p, hanging)), must.Sprint("the object store replaces the peer"))
		for _, f := range all {
			must.Eq(t, 2, f.Current().Generation)
		}
		cancel()
		synctest.Wait()
	})
}

// fixedRowTable answers reads with an older row.
type fixedRowTable struct {
	tablestore.Table
	row *tablestore.Row
}

func (s *fixedRowTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if s.row != nil {
		return *s.row, nil
	}
	return s.Table.Read(ctx, key)
}

// Guards against a generation in force that ever decreases, and subscribers that
// miss a change or hear of them out of order.
func TestGenerationNeverDecreases(t *testing.T) {
	store, peer, list := publishGenerations(t, 5)
	rapid.Check(t, func(t *rapid.T) {
		table := &fixedRowTable{Table: store}
		f := NewFollower(FollowerOptions{Table: table, Objects: store, Log: slog.New(slog.DiscardHandler)})
		var notified []uint64
		f.Subscribe(func(s *Snapshot) { notified = append(notified, s.Generation) })
		var count atomic.Int64
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			before, _ := f.Version()
			o := candidateOf(rapid.SampledFrom(list).Draw(t, "offered"), countingPeerFetch(peer, &count))
			o.Manifest = rapid.SampledFrom(list).Draw(t, "contents").Manifest
			if rapid.Bool().Draw(t, "platform") {
				value, err := Published{Generation: o.Generation, Manifest: o.Manifest}.encode()
				must.NoError(t, err)
				table.row = &tablestore.Row{Key: currentRowKey, Value: value, Version: 1}
				_ = f.Poll(context.Background())
			} else {
				_ = f.Offer(context.Background(), o)
			}
			now, _ := f.Version()
			must.GreaterEq(t, before, now)
			if now > before {
				must.Eq(t, now, notified[len(notified)-1])
			}
		}
		for i := 1; i < len(notified); i++ {
			must.Greater(t, notified[i-1], notified[i])
		}
	})
}
