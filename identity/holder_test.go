package identity

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
	"github.com/shoenig/test/must"
)

// holderTest is a platform and two processes of one name.
type holderTest struct {
	*testing.T
	ctx  context.Context
	table   *memory.Store
	processA, processB *Holder
}

func newHolder(db *memory.Store, bootID uint64) *Holder {
	return NewHolder(Config{Name: "entry-1", Zone: "z", BootID: bootID, CallerAddress: "127.0.0.1:1"}, db)
}

func (p holderTest) registrationRow() Registration {
	p.Helper()
	row, err := p.table.Read(p.ctx, RowKey("entry-1"))
	must.NoError(p, err)
	r, err := Decode(row)
	must.NoError(p, err)
	return r
}

func mustBe[E error](t *testing.T, err error) {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is %T (%v), want %T", err, err, typed))
}

// loseReply loses the reply of the next transaction.
func (p holderTest) loseReply() {
	lost := false
	p.table.SetFault(func(op memory.Op) memory.Fault {
		lose := op.Kind == memory.OpTransact && !lost
		lost = lost || lose
		return memory.Fault{LoseReply: lose}
	})
}

// Each case guards against a process that acts although a newer one of its name
// is registered, or that wrongly loses its registration.
var holderCases = []struct {
	name string
	run  func(holderTest)
}{
	{"not registered", func(p holderTest) {
		mustBe[*NotRegisteredError](p.T, p.processA.Check(time.Now()))
		must.NoError(p, p.processA.Deregister(p.ctx))
		must.Zero(p, p.table.Counts().RowWrites)
	}},
	{"a newer registration wins", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		must.True(p, p.processA.Valid(time.Now()))
		must.Eq(p, time.Now(), p.processA.ExclusiveFrom())
		must.NoError(p, p.processB.Register(p.ctx))
		must.Greater(p, p.processA.Registration().Token, p.processB.Registration().Token)
		for _, call := range []func(context.Context) error{p.processA.Renew, p.processA.Drain, p.processA.Register, p.processA.Deregister} {
			mustBe[*SupersededError](p.T, call(p.ctx))
			must.False(p, p.processA.Valid(time.Now()))
		}
		must.NoError(p, p.processB.Renew(p.ctx))
		must.Eq(p, uint64(2), p.registrationRow().BootID)
		must.Eq(p, StateServing, p.registrationRow().State)
	}},
	{"the older process is not valid when the newer one is exclusive", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		must.NoError(p, p.processB.Register(p.ctx))
		must.True(p, p.processA.Valid(time.Now()))
		must.False(p, p.processA.Valid(p.processB.ExclusiveFrom()))
	}},
	{"pause for longer than the lease", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		lease := p.processA.Registration().Lease()
		time.Sleep(lease - time.Nanosecond)
		must.True(p, p.processA.Valid(time.Now()))
		time.Sleep(time.Nanosecond)
		mustBe[*ExpiredError](p.T, p.processA.Check(time.Now()))
		must.NoError(p, p.processA.Renew(p.ctx))
		must.True(p, p.processA.Valid(time.Now()))
	}},
	{"the lease counts from before a slow write", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		p.table.SetFault(func(memory.Op) memory.Fault { return memory.Fault{Delay: time.Second} })
		must.NoError(p, p.processA.Renew(p.ctx))
		must.False(p, p.processA.Valid(time.Now().Add(p.processA.Registration().Lease()-time.Second)))
	}},
	{"lost replies", func(p holderTest) {
		for _, call := range []func(context.Context) error{p.processA.Register, p.processA.Renew, p.processA.Drain, p.processA.Deregister} {
			p.loseReply()
			must.NoError(p, call(p.ctx))
			must.Eq(p, p.processA.Registration(), p.registrationRow())
		}
		must.Eq(p, 4, p.table.Counts().RowWrites)
		mustBe[*NotRegisteredError](p.T, p.processA.Check(time.Now()))
	}},
	{"lost reply of a registration that is read back later", func(p holderTest) {
		must.NoError(p, p.processB.Register(p.ctx))
		reads := 0
		p.table.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == memory.OpRead {
				reads++
				return memory.Fault{Down: reads > 1}
			}
			return memory.Fault{LoseReply: true}
		})
		mustBe[*tablestore.UnavailableError](p.T, p.processA.Register(p.ctx))
		must.False(p, p.processA.Valid(time.Now()))
		p.table.SetFault(nil)
		token := p.registrationRow().Token
		time.Sleep(time.Second)
		must.NoError(p, p.processA.Register(p.ctx))
		must.Eq(p, token, p.processA.Registration().Token)
		must.True(p, p.processA.ExclusiveFrom().After(time.Now()))
	}},
	{"deregister and register again", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		first := p.processA.Registration().Token
		must.NoError(p, p.processA.Deregister(p.ctx))
		must.Eq(p, StateLeft, p.registrationRow().State)
		must.False(p, p.processA.Valid(time.Now()))
		mustBe[*NotRegisteredError](p.T, p.processA.Renew(p.ctx))
		must.NoError(p, p.processB.Register(p.ctx))
		must.Greater(p, first, p.processB.Registration().Token)
		must.Eq(p, time.Now(), p.processB.ExclusiveFrom())
	}},
	{"the row was pruned", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		first := p.processA.Registration().Token
		time.Sleep(PruneAfter)
		removed, err := Prune(p.ctx, p.table, "prune", time.Now().Add(-time.Second))
		must.NoError(p, err)
		must.Zero(p, removed)
		removed, err = Prune(p.ctx, p.table, "prune", time.Now())
		must.NoError(p, err)
		must.One(p, removed)
		must.NoError(p, p.processA.Renew(p.ctx))
		must.Greater(p, first, p.registrationRow().Token)
		must.NoError(p, p.processB.Register(p.ctx))
		must.Greater(p, p.processA.Registration().Token, p.processB.Registration().Token)
	}},
	{"a renewal keeps a drain", func(p holderTest) {
		must.NoError(p, p.processA.Register(p.ctx))
		p.table.SetFault(memory.Down)
		mustBe[*tablestore.UnavailableError](p.T, p.processA.Drain(p.ctx))
		p.table.SetFault(nil)
		must.NoError(p, p.processA.Renew(p.ctx))
		must.Eq(p, StateDraining, p.registrationRow().State)
	}},
	{"heartbeats through an outage, then a duplicate", func(p holderTest) {
		ended := make(chan error, 1)
		go func() { ended <- p.processA.Run(p.ctx, slog.New(slog.DiscardHandler)) }()
		time.Sleep(time.Hour)
		must.True(p, p.processA.Valid(time.Now()))
		p.table.SetFault(memory.Down)
		time.Sleep(time.Minute)
		mustBe[*ExpiredError](p.T, p.processA.Check(time.Now()))
		p.table.SetFault(nil)
		time.Sleep(renewRetryInterval)
		must.True(p, p.processA.Valid(time.Now()))
		must.NoError(p, p.processB.Register(p.ctx))
		select {
		case err := <-ended:
			mustBe[*SupersededError](p.T, err)
		case <-time.After(time.Minute):
			must.Unreachable(p, must.Sprint("the superseded process goes on"))
		}
	}},
}

func TestRegistrationHolder(t *testing.T) {
	for _, tc := range holderCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				db := memory.New()
				tc.run(holderTest{T: t, ctx: t.Context(), table: db, processA: newHolder(db, 1), processB: newHolder(db, 2)})
			})
		})
	}
}
