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

// holderTest is a test with a platform table and two processes of one instance name.
type holderTest struct {
	*testing.T
	ctx                context.Context
	table              *memory.Store
	processA, processB *RegistrationHolder
}

func newHolder(db *memory.Store, bootID uint64) *RegistrationHolder {
	return NewRegistrationHolder(InstanceConfig{Name: "entry-1", Zone: "z", BootID: bootID, CallerAddress: "127.0.0.1:1"}, db)
}

func (f holderTest) registrationRow() Registration {
	f.Helper()
	row, err := f.table.Read(f.ctx, RegistrationKey("entry-1"))
	must.NoError(f, err)
	r, err := DecodeRegistration(row)
	must.NoError(f, err)
	return r
}

func mustBe[E error](t *testing.T, err error) {
	t.Helper()
	var typed E
	must.True(t, errors.As(err, &typed), must.Sprintf("error is %T (%v), want %T", err, err, typed))
}

// loseReply makes the reply of the next transaction get lost.
func (f holderTest) loseReply() {
	lost := false
	f.table.SetFault(func(op memory.Op) memory.Fault {
		lose := op.Kind == memory.OpTransact && !lost
		lost = lost || lose
		return memory.Fault{LoseReply: lose}
	})
}

// Each case guards against a process that considers its registration valid although a
// newer process of the same name is registered, or that loses its registration without
// a newer process.
var holderCases = []struct {
	name string
	run  func(holderTest)
}{
	{"not registered", func(f holderTest) {
		mustBe[*NotRegisteredError](f.T, f.processA.CheckValid(time.Now()))
		must.NoError(f, f.processA.Deregister(f.ctx))
		must.Zero(f, f.table.Counts().RowWrites)
	}},
	{"a newer registration supersedes the older one", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		must.True(f, f.processA.Valid(time.Now()))
		must.Eq(f, time.Now(), f.processA.ExclusiveFrom())
		must.NoError(f, f.processB.Register(f.ctx))
		must.Greater(f, f.processA.Registration().FencingToken, f.processB.Registration().FencingToken)
		for _, call := range []func(context.Context) error{f.processA.Renew, f.processA.Drain, f.processA.Register, f.processA.Deregister} {
			mustBe[*SupersededError](f.T, call(f.ctx))
			must.False(f, f.processA.Valid(time.Now()))
		}
		must.NoError(f, f.processB.Renew(f.ctx))
		must.Eq(f, uint64(2), f.registrationRow().BootID)
		must.Eq(f, StateServing, f.registrationRow().State)
	}},
	{"the older process is invalid from ExclusiveFrom of the newer one", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		must.NoError(f, f.processB.Register(f.ctx))
		must.True(f, f.processA.Valid(time.Now()))
		must.False(f, f.processA.Valid(f.processB.ExclusiveFrom()))
	}},
	{"registration expires at the end of the lease and can be renewed", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		lease := f.processA.Registration().Lease()
		time.Sleep(lease - time.Nanosecond)
		must.True(f, f.processA.Valid(time.Now()))
		time.Sleep(time.Nanosecond)
		mustBe[*RegistrationExpiredError](f.T, f.processA.CheckValid(time.Now()))
		must.NoError(f, f.processA.Renew(f.ctx))
		must.True(f, f.processA.Valid(time.Now()))
	}},
	{"the lease counts from the start of a slow write", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		f.table.SetFault(func(memory.Op) memory.Fault { return memory.Fault{Delay: time.Second} })
		must.NoError(f, f.processA.Renew(f.ctx))
		must.False(f, f.processA.Valid(time.Now().Add(f.processA.Registration().Lease()-time.Second)))
	}},
	{"lost replies of all operations", func(f holderTest) {
		for _, call := range []func(context.Context) error{f.processA.Register, f.processA.Renew, f.processA.Drain, f.processA.Deregister} {
			f.loseReply()
			must.NoError(f, call(f.ctx))
			must.Eq(f, f.processA.Registration(), f.registrationRow())
		}
		must.Eq(f, 4, f.table.Counts().RowWrites)
		mustBe[*NotRegisteredError](f.T, f.processA.CheckValid(time.Now()))
	}},
	{"registration with a lost reply keeps its fencing token", func(f holderTest) {
		must.NoError(f, f.processB.Register(f.ctx))
		reads := 0
		f.table.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == memory.OpRead {
				reads++
				return memory.Fault{Unavailable: reads > 1}
			}
			return memory.Fault{LoseReply: true}
		})
		mustBe[*tablestore.UnavailableError](f.T, f.processA.Register(f.ctx))
		must.False(f, f.processA.Valid(time.Now()))
		f.table.SetFault(nil)
		token := f.registrationRow().FencingToken
		time.Sleep(time.Second)
		must.NoError(f, f.processA.Register(f.ctx))
		must.Eq(f, token, f.processA.Registration().FencingToken)
		must.True(f, f.processA.ExclusiveFrom().After(time.Now()))
	}},
	{"another process registers after deregistration", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		first := f.processA.Registration().FencingToken
		must.NoError(f, f.processA.Deregister(f.ctx))
		must.Eq(f, StateDeregistered, f.registrationRow().State)
		must.False(f, f.processA.Valid(time.Now()))
		mustBe[*NotRegisteredError](f.T, f.processA.Renew(f.ctx))
		must.NoError(f, f.processB.Register(f.ctx))
		must.Greater(f, first, f.processB.Registration().FencingToken)
		must.Eq(f, time.Now(), f.processB.ExclusiveFrom())
	}},
	{"a pruned row is registered again with a larger fencing token", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		first := f.processA.Registration().FencingToken
		time.Sleep(PruneAfter)
		removed, err := PruneRegistrations(f.ctx, f.table, "prune", time.Now().Add(-time.Second))
		must.NoError(f, err)
		must.Zero(f, removed)
		removed, err = PruneRegistrations(f.ctx, f.table, "prune", time.Now())
		must.NoError(f, err)
		must.One(f, removed)
		must.NoError(f, f.processA.Renew(f.ctx))
		must.Greater(f, first, f.registrationRow().FencingToken)
		must.NoError(f, f.processB.Register(f.ctx))
		must.Greater(f, f.processA.Registration().FencingToken, f.processB.Registration().FencingToken)
	}},
	{"a renewal writes the state of a failed drain", func(f holderTest) {
		must.NoError(f, f.processA.Register(f.ctx))
		f.table.SetFault(memory.AlwaysUnavailable)
		mustBe[*tablestore.UnavailableError](f.T, f.processA.Drain(f.ctx))
		f.table.SetFault(nil)
		must.NoError(f, f.processA.Renew(f.ctx))
		must.Eq(f, StateDraining, f.registrationRow().State)
	}},
	{"renewals continue after an outage and end when superseded", func(f holderTest) {
		ended := make(chan error, 1)
		go func() { ended <- f.processA.Run(f.ctx, slog.New(slog.DiscardHandler)) }()
		time.Sleep(time.Hour)
		must.True(f, f.processA.Valid(time.Now()))
		f.table.SetFault(memory.AlwaysUnavailable)
		time.Sleep(time.Minute)
		mustBe[*RegistrationExpiredError](f.T, f.processA.CheckValid(time.Now()))
		f.table.SetFault(nil)
		time.Sleep(renewRetryInterval)
		must.True(f, f.processA.Valid(time.Now()))
		must.NoError(f, f.processB.Register(f.ctx))
		select {
		case err := <-ended:
			mustBe[*SupersededError](f.T, err)
		case <-time.After(time.Minute):
			must.Unreachable(f, must.Sprint("the superseded process continues to renew"))
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
