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

func follower(store *memory.Store, seed uint64) *Follower {
	return NewFollower(FollowerOptions{Table: store, Objects: store, LiveZoneInstances: func() int { return 7 },
		Random: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler)})
}

// peerFetch fetches from a peer and counts the sections.
func peerFetch(peer *Follower, count *atomic.Int64) FetchFunc {
	return func(_ context.Context, h config.Hash) ([]byte, error) {
		count.Add(1)
		return peer.Section(h)
	}
}

// published returns a platform with n generations and an instance that has them.
func published(t *testing.T, n int) (*memory.Store, *Follower, []GenerationRecord) {
	t.Helper()
	store := memory.New()
	s, peer := NewStore(store, store), follower(store, 1)
	var list []GenerationRecord
	for i := range n {
		p, err := s.Publish(t.Context(), document(t, i+1), uint64(i), "ama")
		must.NoError(t, err)
		must.NoError(t, peer.Poll(t.Context()))
		list = append(list, p)
	}
	return store, peer, list
}

func offerOf(p GenerationRecord, fetch FetchFunc) Candidate {
	return Candidate{Generation: p.Generation, ManifestHash: p.ManifestHash, Source: "peer", FetchSection: fetch}
}

// Guards against an instance that goes back, accepts other contents for a
// generation, or accepts damaged or invalid sections.
func TestOfferRefusals(t *testing.T) {
	store, peer, list := published(t, 3)
	var fetched atomic.Int64
	fromPeer := peerFetch(peer, &fetched)
	f := follower(store, 2)
	must.False(t, f.Ready())
	must.NoError(t, f.ApplyIfNewer(t.Context(), offerOf(list[1], fromPeer)))
	must.True(t, f.Ready())
	store.SetFault(memory.AlwaysUnavailable)

	damaged := func(ctx context.Context, h config.Hash) ([]byte, error) {
		data, err := fromPeer(ctx, h)
		return append(data, ' '), err
	}
	other := offerOf(list[1], fromPeer)
	other.ManifestHash = list[0].ManifestHash
	invalid := document(t, 9)
	invalid.Routes[0].Service = "none"
	manifest, parts, err := config.Split(invalid)
	must.NoError(t, err)
	encoded, err := manifest.Encode()
	must.NoError(t, err)
	parts[config.HashOf(encoded)] = encoded
	invalidOffer := Candidate{Generation: 4, ManifestHash: config.HashOf(encoded), FetchSection: func(_ context.Context, h config.Hash) ([]byte, error) { return parts[h], nil }}
	cases := []struct {
		name  string
		offer Candidate
		want  any
	}{
		{"stale peer", offerOf(list[0], fromPeer), new(*StaleGenerationError)},
		{"same generation, other contents", other, new(*ManifestConflictError)},
		{"damaged sections", offerOf(list[2], damaged), new(*config.HashMismatchError)},
		{"peer and platform down", offerOf(list[2], func(context.Context, config.Hash) ([]byte, error) { return nil, &SectionNotFoundError{} }), new(*ApplyError)},
		{"invalid document", invalidOffer, new(*config.ValidationError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := f.ApplyIfNewer(t.Context(), c.offer)
			must.True(t, errors.As(err, c.want), must.Sprintf("got %v", err))
			generation, h := f.Version()
			must.Eq(t, 2, generation)
			must.True(t, h == list[1].ManifestHash)
		})
	}
	must.NoError(t, f.ApplyIfNewer(t.Context(), offerOf(list[1], nil)), must.Sprint("the generation in force again"))
	store.SetFault(nil)
	must.NoError(t, f.ApplyIfNewer(t.Context(), offerOf(list[2], damaged)), must.Sprint("the object store replaces the peer"))
	must.Eq(t, 3.0, f.Current().Document().Policy.RefusalWeight)
}

// Guards against transfers of sections that an instance already has, also after a
// load that failed half-way, and against sections that are kept without a bound.
func TestOnlyMissingSectionsAreFetched(t *testing.T) {
	store, peer, list := published(t, 6)
	f := follower(store, 2)
	var fetched atomic.Int64
	fromPeer := peerFetch(peer, &fetched)
	store.SetFault(memory.AlwaysUnavailable)
	stopping := func(ctx context.Context, h config.Hash) ([]byte, error) {
		if fetched.Load() >= 20 {
			return nil, &SectionNotFoundError{Hash: h}
		}
		return fromPeer(ctx, h)
	}
	must.Error(t, f.ApplyIfNewer(t.Context(), offerOf(list[3], stopping)))
	must.NoError(t, f.ApplyIfNewer(t.Context(), offerOf(list[3], fromPeer)))
	sections := len(f.sections.Load().data)
	must.Greater(t, 20, sections)
	must.Between(t, sections, int(fetched.Load()), sections+transfersAtOnce, must.Sprint("transfers in progress at the failure may repeat"))
	fetched.Store(0)
	must.NoError(t, f.ApplyIfNewer(t.Context(), offerOf(list[4], fromPeer)))
	must.Eq(t, 2, fetched.Load(), must.Sprint("base section and manifest"))
	must.NoError(t, f.ApplyIfNewer(t.Context(), offerOf(list[5], fromPeer)))
	must.MapLen(t, sections+4, f.sections.Load().data)
	_, err := peer.Section(list[0].ManifestHash)
	var missing *SectionNotFoundError
	must.True(t, errors.As(err, &missing))
	_, err = peer.Section(list[5-DefaultKeptGenerations+1].ManifestHash)
	must.NoError(t, err)
}

// Guards against a replacement that starts with an old generation, or with none,
// while the platform is down.
func TestReplacementTakesNewestGeneration(t *testing.T) {
	store, peer, list := published(t, 3)
	store.SetFault(memory.AlwaysUnavailable)
	f := follower(store, 2)
	var fetched atomic.Int64
	dead := func(context.Context, config.Hash) ([]byte, error) { return nil, &SectionNotFoundError{} }
	must.Error(t, f.Poll(t.Context()))
	must.Error(t, f.ApplyNewest(t.Context(), []Candidate{offerOf(list[2], dead)}))
	must.False(t, f.Ready())
	must.NoError(t, f.ApplyNewest(t.Context(), []Candidate{offerOf(list[1], peerFetch(peer, &fetched)), offerOf(list[2], dead)}))
	must.Eq(t, 2, f.Current().Generation)
	must.NoError(t, f.ApplyNewest(t.Context(), []Candidate{offerOf(list[1], dead), offerOf(list[2], peerFetch(peer, &fetched))}))
	must.Eq(t, 3, f.Current().Generation)
}

// Guards against a zone that polls more often than about once per second, an
// instance that does not learn generations by polling, and a peer that never
// answers and blocks it.
func TestRunPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, _ := published(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var all []*Follower
		for i := range uint64(7) {
			f := follower(store, i)
			all = append(all, f)
			go f.Run(ctx)
		}
		time.Sleep(time.Second)
		p, err := NewStore(store, store).Publish(t.Context(), document(t, 2), 1, "kofi")
		must.NoError(t, err)
		before := store.Counts().RowReads
		hanging := func(ctx context.Context, _ config.Hash) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() }
		go func() { _ = all[0].ApplyIfNewer(ctx, Candidate{Generation: 9, ManifestHash: config.Hash{9}, FetchSection: hanging}) }()
		time.Sleep(700 * time.Second)
		must.Between(t, 650, store.Counts().RowReads-before, 750)
		must.NoError(t, follower(store, 9).ApplyIfNewer(ctx, offerOf(p, hanging)), must.Sprint("the object store replaces the peer"))
		for _, f := range all {
			must.Eq(t, 2, f.Current().Generation)
		}
		cancel()
		synctest.Wait()
	})
}

// staleTable answers reads with an older row.
type staleTable struct {
	tablestore.Table
	row *tablestore.Row
}

func (s *staleTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if s.row != nil {
		return *s.row, nil
	}
	return s.Table.Read(ctx, key)
}

// Guards against a generation in force that ever decreases, and subscribers that
// miss a change or hear of them out of order.
func TestGenerationNeverDecreases(t *testing.T) {
	store, peer, list := published(t, 5)
	rapid.Check(t, func(t *rapid.T) {
		table := &staleTable{Table: store}
		f := NewFollower(FollowerOptions{Table: table, Objects: store, Log: slog.New(slog.DiscardHandler)})
		var notified []uint64
		f.Subscribe(func(s *Snapshot) { notified = append(notified, s.Generation) })
		var count atomic.Int64
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			before, _ := f.Version()
			o := offerOf(rapid.SampledFrom(list).Draw(t, "offered"), peerFetch(peer, &count))
			o.ManifestHash = rapid.SampledFrom(list).Draw(t, "contents").ManifestHash
			if rapid.Bool().Draw(t, "platform") {
				value, err := GenerationRecord{Generation: o.Generation, ManifestHash: o.ManifestHash}.encode()
				must.NoError(t, err)
				table.row = &tablestore.Row{Key: currentKey, Value: value, Version: 1}
				_ = f.Poll(context.Background())
			} else {
				_ = f.ApplyIfNewer(context.Background(), o)
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
