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

// bench is a platform and two processes of one name.
type bench struct {
	*testing.T
	ctx  context.Context
	db   *memory.Store
	a, b *RegistrationHolder
}

func newHolder(db *memory.Store, bootID uint64) *RegistrationHolder {
	return NewRegistrationHolder(InstanceConfig{Name: "entry-1", Zone: "z", BootID: bootID, CallerAddress: "127.0.0.1:1"}, db)
}

func (p bench) row() Registration {
	p.Helper()
	row, err := p.db.Read(p.ctx, RegistrationKey("entry-1"))
	must.NoError(p, err)
	r, err := DecodeRegistration(row)
	must.NoError(p, err)
	return r
}

func mustBe[E error](t *testing.T, err error) {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is %T (%v), want %T", err, err, typed))
}

// loseReply loses the reply of the next transaction.
func (p bench) loseReply() {
	lost := false
	p.db.SetFault(func(op memory.Op) memory.Fault {
		lose := op.Kind == memory.OpTransact && !lost
		lost = lost || lose
		return memory.Fault{LoseReply: lose}
	})
}

// Each case guards against a process that acts although a newer one of its name
// is registered, or that wrongly loses its registration.
var holderCases = []struct {
	name string
	run  func(bench)
}{
	{"not registered", func(p bench) {
		mustBe[*NotRegisteredError](p.T, p.a.CheckValid(time.Now()))
		must.NoError(p, p.a.Deregister(p.ctx))
		must.Zero(p, p.db.Counts().RowWrites)
	}},
	{"a newer registration wins", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		must.True(p, p.a.Valid(time.Now()))
		must.Eq(p, time.Now(), p.a.ExclusiveFrom())
		must.NoError(p, p.b.Register(p.ctx))
		must.Greater(p, p.a.Registration().FencingToken, p.b.Registration().FencingToken)
		for _, call := range []func(context.Context) error{p.a.Renew, p.a.Drain, p.a.Register, p.a.Deregister} {
			mustBe[*SupersededError](p.T, call(p.ctx))
			must.False(p, p.a.Valid(time.Now()))
		}
		must.NoError(p, p.b.Renew(p.ctx))
		must.Eq(p, uint64(2), p.row().BootID)
		must.Eq(p, StateServing, p.row().State)
	}},
	{"the older process is not valid when the newer one is exclusive", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		must.NoError(p, p.b.Register(p.ctx))
		must.True(p, p.a.Valid(time.Now()))
		must.False(p, p.a.Valid(p.b.ExclusiveFrom()))
	}},
	{"pause for longer than the lease", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		lease := p.a.Registration().Lease()
		time.Sleep(lease - time.Nanosecond)
		must.True(p, p.a.Valid(time.Now()))
		time.Sleep(time.Nanosecond)
		mustBe[*RegistrationExpiredError](p.T, p.a.CheckValid(time.Now()))
		must.NoError(p, p.a.Renew(p.ctx))
		must.True(p, p.a.Valid(time.Now()))
	}},
	{"the lease counts from before a slow write", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		p.db.SetFault(func(memory.Op) memory.Fault { return memory.Fault{Delay: time.Second} })
		must.NoError(p, p.a.Renew(p.ctx))
		must.False(p, p.a.Valid(time.Now().Add(p.a.Registration().Lease()-time.Second)))
	}},
	{"lost replies", func(p bench) {
		for _, call := range []func(context.Context) error{p.a.Register, p.a.Renew, p.a.Drain, p.a.Deregister} {
			p.loseReply()
			must.NoError(p, call(p.ctx))
			must.Eq(p, p.a.Registration(), p.row())
		}
		must.Eq(p, 4, p.db.Counts().RowWrites)
		mustBe[*NotRegisteredError](p.T, p.a.CheckValid(time.Now()))
	}},
	{"lost reply of a registration that is read back later", func(p bench) {
		must.NoError(p, p.b.Register(p.ctx))
		reads := 0
		p.db.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == memory.OpRead {
				reads++
				return memory.Fault{Unavailable: reads > 1}
			}
			return memory.Fault{LoseReply: true}
		})
		mustBe[*tablestore.UnavailableError](p.T, p.a.Register(p.ctx))
		must.False(p, p.a.Valid(time.Now()))
		p.db.SetFault(nil)
		token := p.row().FencingToken
		time.Sleep(time.Second)
		must.NoError(p, p.a.Register(p.ctx))
		must.Eq(p, token, p.a.Registration().FencingToken)
		must.True(p, p.a.ExclusiveFrom().After(time.Now()))
	}},
	{"deregister and register again", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		first := p.a.Registration().FencingToken
		must.NoError(p, p.a.Deregister(p.ctx))
		must.Eq(p, StateDeregistered, p.row().State)
		must.False(p, p.a.Valid(time.Now()))
		mustBe[*NotRegisteredError](p.T, p.a.Renew(p.ctx))
		must.NoError(p, p.b.Register(p.ctx))
		must.Greater(p, first, p.b.Registration().FencingToken)
		must.Eq(p, time.Now(), p.b.ExclusiveFrom())
	}},
	{"the row was pruned", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		first := p.a.Registration().FencingToken
		time.Sleep(PruneAfter)
		removed, err := PruneRegistrations(p.ctx, p.db, "prune", time.Now().Add(-time.Second))
		must.NoError(p, err)
		must.Zero(p, removed)
		removed, err = PruneRegistrations(p.ctx, p.db, "prune", time.Now())
		must.NoError(p, err)
		must.One(p, removed)
		must.NoError(p, p.a.Renew(p.ctx))
		must.Greater(p, first, p.row().FencingToken)
		must.NoError(p, p.b.Register(p.ctx))
		must.Greater(p, p.a.Registration().FencingToken, p.b.Registration().FencingToken)
	}},
	{"a renewal keeps a drain", func(p bench) {
		must.NoError(p, p.a.Register(p.ctx))
		p.db.SetFault(memory.AlwaysUnavailable)
		mustBe[*tablestore.UnavailableError](p.T, p.a.Drain(p.ctx))
		p.db.SetFault(nil)
		must.NoError(p, p.a.Renew(p.ctx))
		must.Eq(p, StateDraining, p.row().State)
	}},
	{"heartbeats through an outage, then a duplicate", func(p bench) {
		ended := make(chan error, 1)
		go func() { ended <- p.a.Run(p.ctx, slog.New(slog.DiscardHandler)) }()
		time.Sleep(time.Hour)
		must.True(p, p.a.Valid(time.Now()))
		p.db.SetFault(memory.AlwaysUnavailable)
		time.Sleep(time.Minute)
		mustBe[*RegistrationExpiredError](p.T, p.a.CheckValid(time.Now()))
		p.db.SetFault(nil)
		time.Sleep(retryInterval)
		must.True(p, p.a.Valid(time.Now()))
		must.NoError(p, p.b.Register(p.ctx))
		select {
		case err := <-ended:
			mustBe[*SupersededError](p.T, err)
		case <-time.After(time.Minute):
			must.Unreachable(p, must.Sprint("the superseded process goes on"))
		}
	}},
}

func TestHolder(t *testing.T) {
	for _, tc := range holderCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				db := memory.New()
				tc.run(bench{T: t, ctx: t.Context(), db: db, a: newHolder(db, 1), b: newHolder(db, 2)})
			})
		})
	}
}
