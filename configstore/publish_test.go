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

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

// exampleDocument returns the Boateng example with the given refusal weight, which
// distinguishes documents.
func exampleDocument(t rapid.TB, refusalWeight int) *config.Document {
	data, err := os.ReadFile("../examples/boateng/config.json")
	must.NoError(t, err)
	doc, err := config.Parse(data)
	must.NoError(t, err)
	doc.Policy.RefusalWeight = float64(refusalWeight)
	return doc
}

// transactionFaults returns a fault function that applies the faults to the first
// transactions, one each, and otherFault to all other calls after the first transaction.
func transactionFaults(otherFault memory.Fault, faults ...memory.Fault) memory.FaultFunc {
	transactionSeen := false
	return func(op memory.Op) memory.Fault {
		if op.Kind != memory.OpTransact && transactionSeen {
			return otherFault
		}
		if op.Kind != memory.OpTransact || len(faults) == 0 {
			return memory.Fault{}
		}
		transactionSeen = true
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

// lostRequestTable does not apply the first transactions and reports their outcome as
// unknown.
type lostRequestTable struct {
	tablestore.Table
	remaining int // number of further transactions to lose
}

func (l *lostRequestTable) Transact(ctx context.Context, id string, w []tablestore.Write) (tablestore.TransactResult, error) {
	if l.remaining > 0 {
		l.remaining--
		return tablestore.TransactResult{}, &tablestore.OutcomeUnknownError{Op: "transact", ChangeID: id}
	}
	return l.Table.Transact(ctx, id, w)
}

// Checks that a generation is published at most once and that the result of Publish
// agrees with the history when requests or replies are lost or the platform is down.
func TestPublishFaults(t *testing.T) {
	lostReply, down := memory.Fault{LoseReply: true}, memory.Fault{Unavailable: true}
	cases := []struct {
		name            string
		fault           memory.FaultFunc
		lostRequests    int // number of transactions that are not applied, with an unknown outcome
		wantErr         any // pointer to the error type; nil for success
		wantGenerations int // number of generations in the history
	}{
		{"healthy", nil, 0, nil, 1},
		{"lost reply", transactionFaults(memory.Fault{}, lostReply), 0, nil, 1},
		{"all replies lost", transactionFaults(memory.Fault{}, lostReply, lostReply, lostReply, lostReply), 0, nil, 1},
		{"lost request", nil, 1, nil, 1},
		{"all requests lost", nil, maxWriteAttempts, new(*PublishOutcomeUnknownError), 0},
		{"down", memory.AlwaysUnavailable, 0, new(*tablestore.UnavailableError), 0},
		{"table down", transactionFaults(memory.Fault{}, down), 0, new(*tablestore.UnavailableError), 0},
		{"lost reply, then down", transactionFaults(down, lostReply, down, down, down), 0, new(*PublishOutcomeUnknownError), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				store.SetFault(c.fault)
				s := NewStore(&lostRequestTable{Table: store, remaining: c.lostRequests}, store)
				p, err := s.Publish(t.Context(), exampleDocument(t, 1), 0, "ama")
				store.SetFault(nil)
				history, historyErr := s.History(t.Context(), 10)
				must.NoError(t, historyErr)
				must.Len(t, c.wantGenerations, history)
				if c.wantErr != nil {
					must.True(t, errors.As(err, c.wantErr), must.Sprintf("got %v", err))
					return
				}
				must.NoError(t, err)
				must.Eq(t, []GenerationRecord{p}, history)
				doc, loaded, err := s.Load(t.Context(), 1)
				must.NoError(t, err)
				must.Eq(t, p, loaded)
				must.SliceEmpty(t, config.Diff(exampleDocument(t, 1), doc))
			})
		})
	}
}

// Checks that a publish on an outdated base fails, also when another operator publishes
// concurrently, and that the error contains the current generation and the differences.
func TestPublishConflict(t *testing.T) {
	store := memory.New()
	s := NewStore(store, store)
	_, err := s.Publish(t.Context(), exampleDocument(t, 1), 0, "ama")
	must.NoError(t, err)
	other, err := s.Publish(t.Context(), exampleDocument(t, 2), 1, "kofi")
	must.NoError(t, err)

	for _, base := range []uint64{1, 0, 7} {
		_, err = s.Publish(t.Context(), exampleDocument(t, 3), base, "ama")
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
	interleaving := &interleavingTable{Table: store, beforeTransact: func() {
		other, err = s.Publish(t.Context(), exampleDocument(t, 4), 2, "kofi")
		must.NoError(t, err)
	}}
	_, err = NewStore(interleaving, store).Publish(t.Context(), exampleDocument(t, 5), 2, "ama")
	var conflict *PublishConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, other, conflict.Current)
	history, err := s.History(t.Context(), 2)
	must.NoError(t, err)
	must.Eq(t, []uint64{3, 2}, []uint64{history[0].Generation, history[1].Generation})

	_, _, err = s.Load(t.Context(), 9)
	var missing *GenerationNotFoundError
	must.True(t, errors.As(err, &missing))
	invalid := exampleDocument(t, 1)
	invalid.Routes[0].Service = "none"
	_, err = s.Publish(t.Context(), invalid, 3, "ama")
	var issues *config.ValidationError
	must.True(t, errors.As(err, &issues))
}

// interleavingTable calls beforeTransact once, before the first transaction.
type interleavingTable struct {
	tablestore.Table
	beforeTransact func()
}

func (r *interleavingTable) Transact(ctx context.Context, id string, w []tablestore.Write) (tablestore.TransactResult, error) {
	if r.beforeTransact != nil {
		beforeTransact := r.beforeTransact
		r.beforeTransact = nil
		beforeTransact()
	}
	return r.Table.Transact(ctx, id, w)
}

// Checks that a publish stores only the sections that have changed.
func TestPublishPutsChangedSectionsOnly(t *testing.T) {
	store := memory.New()
	s := NewStore(store, store)
	doc := exampleDocument(t, 1)
	_, err := s.Publish(t.Context(), doc, 0, "ama")
	must.NoError(t, err)
	putsBefore := store.Counts().ObjectPuts
	doc.ClientBlocks[0].Site = doc.Sites[5].Name
	_, err = s.Publish(t.Context(), doc, 1, "ama")
	must.NoError(t, err)
	must.Eq(t, 2, store.Counts().ObjectPuts-putsBefore, must.Sprint("puts of one shard and the manifest"))
}

// Checks for random faults and outdated bases that the history contains exactly the
// generations for which Publish returned no error, each once.
func TestHistoryMatchesAcceptedPublishes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New()
		s := NewStore(store, store)
		var accepted []GenerationRecord
		for i := range rapid.IntRange(1, 8).Draw(t, "publishes") {
			fault := rapid.SampledFrom([]memory.Fault{{}, {}, {LoseReply: true}, {Unavailable: true}}).Draw(t, "fault")
			store.SetFault(transactionFaults(memory.Fault{}, fault))
			base := uint64(max(0, len(accepted)-rapid.IntRange(0, 1).Draw(t, "behind")))
			p, err := s.Publish(context.Background(), exampleDocument(t, i+1), base, fmt.Sprint("operator ", i))
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
