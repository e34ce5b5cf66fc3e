package keys

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// faultSequence returns a fault function that applies the faults to the first
// transactions, one each.
func faultSequence(list ...memory.Fault) memory.FaultFunc {
	return func(op memory.Op) memory.Fault {
		if op.Kind != memory.OpTransact || len(list) == 0 {
			return memory.Fault{}
		}
		first := list[0]
		list = list[1:]
		return first
	}
}

// Guards against a change that is lost, written twice or reported with a wrong outcome
// when replies are lost or the platform is down.
func TestStoreFaults(t *testing.T) {
	lost, down := memory.Fault{LoseReply: true}, memory.Fault{Unavailable: true}
	cases := []struct {
		name       string
		faults     []memory.Fault
		want       any    // error type, nil for success
		generation uint64 // afterwards
	}{
		{"no faults", nil, nil, 1},
		{"one lost reply", []memory.Fault{lost}, nil, 1},
		{"three lost replies", []memory.Fault{lost, lost, lost}, nil, 1},
		{"down", []memory.Fault{down}, new(*tablestore.UnavailableError), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := memory.New()
				s := NewStore(table)
				table.SetFault(faultSequence(c.faults...))
				_, grantErr := s.Grant(t.Context(), "c1", []string{AnyRoute})
				withdrawn, err := NewWithdrawal(NewKey().ID)
				must.NoError(t, err)
				table.SetFault(nil)
				generation, err := s.Generation(t.Context())
				must.NoError(t, err)
				must.Eq(t, c.generation, generation)

				table.SetFault(faultSequence(c.faults...))
				_, withdrawErr := s.Withdraw(t.Context(), withdrawn)
				table.SetFault(nil)
				for _, err := range []error{grantErr, withdrawErr} {
					if c.want == nil {
						must.NoError(t, err)
					} else {
						must.True(t, errors.As(err, c.want), must.Sprintf("got %v", err))
					}
				}
				changes, err := s.Changes(t.Context(), 0)
				must.NoError(t, err)
				must.Len(t, int(2*c.generation), changes)
			})
		})
	}
}

// Guards against a grant that is reported as not written although it was: its reply is
// lost, and the platform goes down before the row can be read back.
func TestLostReplyThenDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New()
		transacted := false
		table.SetFault(func(op memory.Op) memory.Fault {
			if transacted {
				return memory.Fault{Unavailable: true}
			}
			transacted = op.Kind == memory.OpTransact
			return memory.Fault{LoseReply: transacted}
		})
		_, err := NewStore(table).Grant(t.Context(), "c1", []string{AnyRoute})
		var unknown *ChangeOutcomeUnknownError
		must.True(t, errors.As(err, &unknown))
		table.SetFault(nil)
		// The operator withdraws the key whose grant has an unknown outcome.
		_, err = NewStore(table).Withdraw(t.Context(), Withdrawal{KeyID: unknown.KeyID, ChangeID: "w"})
		must.NoError(t, err)
		records, err := NewStore(table).List(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, records)
		must.True(t, records[0].Withdrawn)
	})
}

// Guards against concurrent operators that overwrite each other's changes, and against
// a repeated withdrawal that is recorded as another change.
func TestConcurrentOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New()
		table.SetFault(func(memory.Op) memory.Fault { return memory.Fault{Delay: time.Millisecond} })
		granted := make([]Key, 6)
		var wait sync.WaitGroup
		for i := range granted {
			wait.Go(func() {
				var err error
				granted[i], err = NewStore(table).Grant(t.Context(), "c1", []string{AnyRoute})
				must.NoError(t, err)
			})
		}
		wait.Wait()
		for range 4 {
			wait.Go(func() {
				w, err := NewWithdrawal(granted[0].ID)
				must.NoError(t, err)
				generation, err := NewStore(table).Withdraw(t.Context(), w)
				must.NoError(t, err)
				must.Eq(t, 7, generation)
			})
		}
		wait.Wait()
		changes, err := NewStore(table).Changes(t.Context(), 0)
		must.NoError(t, err)
		must.Len(t, 7, changes)
		state, err := NewStore(table).LoadState(t.Context())
		must.NoError(t, err)
		must.Eq(t, 7, state.Generation)
		must.Len(t, 6, state.Records)
		set := NewKeySet()
		must.True(t, set.ApplyChanges(changes))
		must.Eq(t, state, set.Export(), must.Sprint("change log and records must agree"))
	})
}

// Guards against invalid grants and withdrawals that write to the table, and against an
// error message that contains a key.
func TestInvalidChangesWriteNothing(t *testing.T) {
	table := memory.New()
	s := NewStore(table)
	var invalid *InvalidGrantError
	_, err := s.Grant(t.Context(), "", []string{AnyRoute})
	must.True(t, errors.As(err, &invalid))
	_, err = s.Grant(t.Context(), "c1", nil)
	must.True(t, errors.As(err, &invalid))
	var invalidID *InvalidIDError
	whole := NewKey().Reveal()
	_, err = s.Withdraw(t.Context(), Withdrawal{KeyID: whole})
	must.True(t, errors.As(err, &invalidID))
	must.StrNotContains(t, err.Error(), whole)
	must.Zero(t, table.Counts().RowWrites)
}

func newTestFollower(table tablestore.Table, seed uint64) *Follower {
	f := NewFollower(FollowerOptions{Table: table, InstanceName: "i1", Zone: "a", BootID: 1, LiveZoneInstances: func() int { return 7 },
		Random: rand.New(rand.NewPCG(seed, 1)), Log: slog.New(slog.DiscardHandler)})
	f.SetListedInstances([]tablestore.Instance{{Name: "i1", Zone: "a"}})
	return f
}

// Guards against polls that read more rows than changed, and against changes that are
// missed because the change log no longer contains them.
func TestPollReadsOnlyChangedRows(t *testing.T) {
	ctx := context.Background()
	table := memory.New()
	s := NewStore(table)
	f := newTestFollower(table, 1)
	poll := func() int {
		before := table.Counts().RowReads
		must.NoError(t, f.Poll(ctx))
		return table.Counts().RowReads - before
	}
	first, err := s.Grant(ctx, "c1", []string{AnyRoute})
	must.NoError(t, err)
	poll()
	must.Eq(t, 1, poll(), must.Sprint("nothing changed"))
	for range 3 {
		_, err = s.Grant(ctx, "c1", []string{AnyRoute})
		must.NoError(t, err)
	}
	must.Eq(t, 1+3, poll(), must.Sprint("three changes"))
	for range LogRetentionRows + 5 {
		_, err = s.Grant(ctx, "c1", []string{AnyRoute})
		must.NoError(t, err)
	}
	_, err = s.Withdraw(ctx, Withdrawal{KeyID: first.ID, ChangeID: "w"})
	must.NoError(t, err)
	poll()
	must.True(t, f.KeySet().Withdrawn(first.ID))
	must.Len(t, LogRetentionRows+9, f.Export().Records)
	changes, err := s.Changes(ctx, 0)
	must.NoError(t, err)
	must.Eq(t, uint64(11), changes[0].Generation, must.Sprint("log rows beyond LogKeep must be removed"))
}

// Guards against a load that returns records with a withdrawal newer than the returned
// generation: a peer with that generation would take its records for up to date
// although they lack the withdrawal.
func TestChangeDuringLoad(t *testing.T) {
	table := memory.New()
	s := NewStore(table)
	k, err := s.Grant(t.Context(), "c1", []string{AnyRoute})
	must.NoError(t, err)
	racing := &faultyTable{Table: table, beforeScan: func() {
		_, err := s.Withdraw(t.Context(), Withdrawal{KeyID: k.ID, ChangeID: "w"})
		must.NoError(t, err)
	}}
	state, err := NewStore(racing).LoadState(t.Context())
	must.NoError(t, err)
	must.Eq(t, 2, state.Generation)
	must.True(t, state.Records[0].Withdrawn)
	must.SliceEmpty(t, state.PendingWithdrawals)
}

// Guards against a stale platform read that makes the key data count as fresh.
func TestStaleReadIsNotFresh(t *testing.T) {
	table := memory.New()
	f := newTestFollower(table, 1)
	f.Import(State{Generation: 4})
	var stale *StaleReadError
	must.True(t, errors.As(f.Poll(t.Context()), &stale))
	must.Eq(t, 4, f.KeySet().Generation())
	must.False(t, f.Fresh(time.Hour))
}

// Guards against instances that together read the key generation more often than about
// once per second and zone, and against pending withdrawals that are never written.
func TestRunPollsOncePerSecondAndZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New()
		w, err := NewWithdrawal(NewKey().ID)
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range uint64(7) {
			f := newTestFollower(table, i)
			f.ApplyWithdrawals([]Withdrawal{w})
			go f.Run(ctx)
		}
		time.Sleep(100 * time.Second)
		withdrawn, err := NewStore(table).List(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, withdrawn)
		before := table.Counts().RowReads
		time.Sleep(700 * time.Second)
		must.Between(t, 650, table.Counts().RowReads-before, 750)
		cancel()
		synctest.Wait()
	})
}
