package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/proptest"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

// document returns the Boateng example with one value that tells versions apart.
func document(t rapid.TB, weight int) *config.Document {
	data, err := os.ReadFile("../examples/boateng/config.json")
	must.NoError(t, err)
	doc, err := config.Parse(data)
	must.NoError(t, err)
	doc.Policy.RefusalWeight = float64(weight)
	return doc
}

// transactions returns a fault function for the transactions and the reads after
// the first transaction.
func transactions(reads memory.Fault, list ...memory.Fault) memory.FaultFunc {
	started := false
	return func(op memory.Op) memory.Fault {
		if op.Kind != memory.OpTransact && started {
			return reads
		}
		if op.Kind != memory.OpTransact || len(list) == 0 {
			return memory.Fault{}
		}
		started = true
		first := list[0]
		list = list[1:]
		return first
	}
}

// lostTable answers the first transactions with an unknown outcome, without
// applying them.
type lostTable struct {
	tablestore.Table
	lost int
}

func (l *lostTable) Transact(ctx context.Context, id string, w []tablestore.Write) (tablestore.TransactResult, error) {
	if l.lost > 0 {
		l.lost--
		return tablestore.TransactResult{}, &tablestore.OutcomeUnknownError{Op: "transact", ChangeID: id}
	}
	return l.Table.Transact(ctx, id, w)
}

// Guards against a generation that is published twice, lost, or reported wrongly
// when replies are lost or the platform is down.
func TestPublishFaults(t *testing.T) {
	lost, down := memory.Fault{LoseReply: true}, memory.Fault{Unavailable: true}
	cases := []struct {
		name      string
		fault     memory.FaultFunc
		lost      int // transactions that are lost without effect
		want      any // error type, nil for success
		published int
	}{
		{"healthy", nil, 0, nil, 1},
		{"lost reply", transactions(memory.Fault{}, lost), 0, nil, 1},
		{"all replies lost", transactions(memory.Fault{}, lost, lost, lost, lost), 0, nil, 1},
		{"lost request", nil, 1, nil, 1},
		{"all requests lost", nil, maxAttempts, new(*PublishOutcomeUnknownError), 0},
		{"down", memory.AlwaysUnavailable, 0, new(*tablestore.UnavailableError), 0},
		{"table down", transactions(memory.Fault{}, down), 0, new(*tablestore.UnavailableError), 0},
		{"lost reply, then down", transactions(down, lost, down, down, down), 0, new(*PublishOutcomeUnknownError), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				store.SetFault(c.fault)
				s := NewStore(&lostTable{Table: store, lost: c.lost}, store)
				p, err := s.Publish(t.Context(), document(t, 1), 0, "ama")
				store.SetFault(nil)
				history, historyErr := s.History(t.Context(), 10)
				must.NoError(t, historyErr)
				must.Len(t, c.published, history)
				if c.want != nil {
					must.True(t, errors.As(err, c.want), must.Sprintf("got %v", err))
					return
				}
				must.NoError(t, err)
				must.Eq(t, []GenerationRecord{p}, history)
				doc, loaded, err := s.Load(t.Context(), 1)
				must.NoError(t, err)
				must.Eq(t, p, loaded)
				must.SliceEmpty(t, config.Diff(document(t, 1), doc))
			})
		})
	}
}

// Guards against an operator who overwrites the change of another one, or who is
// not told what it was.
func TestPublishConflict(t *testing.T) {
	store := memory.New()
	s := NewStore(store, store)
	_, err := s.Publish(t.Context(), document(t, 1), 0, "ama")
	must.NoError(t, err)
	other, err := s.Publish(t.Context(), document(t, 2), 1, "kofi")
	must.NoError(t, err)

	for _, base := range []uint64{1, 0, 7} {
		_, err = s.Publish(t.Context(), document(t, 3), base, "ama")
		var conflict *PublishConflictError
		must.True(t, errors.As(err, &conflict))
		must.Eq(t, other, conflict.Current)
		must.Eq(t, base, conflict.BaseGeneration)
		if base == 1 {
			want := []config.Change{{Path: "$.policy.refusal_weight", Old: json.RawMessage("1"), New: json.RawMessage("2")}}
			must.Eq(t, want, conflict.Changes)
		}
	}
	// The other operator publishes between the read and the transaction.
	racing := &racingTable{Table: store, before: func() {
		other, err = s.Publish(t.Context(), document(t, 4), 2, "kofi")
		must.NoError(t, err)
	}}
	_, err = NewStore(racing, store).Publish(t.Context(), document(t, 5), 2, "ama")
	var conflict *PublishConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, other, conflict.Current)
	history, err := s.History(t.Context(), 2)
	must.NoError(t, err)
	must.Eq(t, []uint64{3, 2}, []uint64{history[0].Generation, history[1].Generation})

	_, _, err = s.Load(t.Context(), 9)
	var missing *GenerationNotFoundError
	must.True(t, errors.As(err, &missing))
	invalid := document(t, 1)
	invalid.Routes[0].Service = "none"
	_, err = s.Publish(t.Context(), invalid, 3, "ama")
	var issues *config.ValidationError
	must.True(t, errors.As(err, &issues))
}

// racingTable calls before once, before the first transaction.
type racingTable struct {
	tablestore.Table
	before func()
}

func (r *racingTable) Transact(ctx context.Context, id string, w []tablestore.Write) (tablestore.TransactResult, error) {
	if r.before != nil {
		before := r.before
		r.before = nil
		before()
	}
	return r.Table.Transact(ctx, id, w)
}

// Guards against a publish that transfers sections which have not changed.
func TestPublishPutsChangedSectionsOnly(t *testing.T) {
	store := memory.New()
	s := NewStore(store, store)
	doc := document(t, 1)
	_, err := s.Publish(t.Context(), doc, 0, "ama")
	must.NoError(t, err)
	before := store.Counts().ObjectPuts
	doc.ClientBlocks[0].Site = doc.Sites[5].Name
	_, err = s.Publish(t.Context(), doc, 1, "ama")
	must.NoError(t, err)
	must.Eq(t, 2, store.Counts().ObjectPuts-before, must.Sprint("one shard and the manifest"))
}

// Guards against accepted generations that are lost or doubled, and refused ones
// that appear, when operators with old bases and lost replies interleave.
func TestPublishHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New()
		s := NewStore(store, store)
		var accepted []GenerationRecord
		for i := range rapid.IntRange(1, 8).Draw(t, "publishes") {
			fault := rapid.SampledFrom([]memory.Fault{{}, {}, {LoseReply: true}, {Unavailable: true}}).Draw(t, "fault")
			store.SetFault(transactions(memory.Fault{}, fault))
			base := uint64(max(0, len(accepted)-rapid.IntRange(0, 1).Draw(t, "behind")))
			p, err := s.Publish(context.Background(), document(t, i+1), base, fmt.Sprint("operator ", i))
			if err == nil {
				must.Eq(t, uint64(len(accepted)), base)
				accepted = append(accepted, p)
			}
			store.SetFault(nil)
		}
		history, err := s.History(context.Background(), 100)
		must.NoError(t, err)
		must.Len(t, len(accepted), history)
		for i, p := range accepted {
			must.Eq(t, uint64(i+1), p.Generation)
			must.Eq(t, p, history[len(history)-1-i])
		}
	})
}
