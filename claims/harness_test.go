package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

// callFault is what happens to one platform call.
type callFault struct {
	Down  bool          // no effect
	Lose  bool          // effect, but the reply is lost
	Late  time.Duration // the reply is lost and the effect comes later
	Delay time.Duration // before the effect
}

// link is one instance's connection to the platform.
type link struct {
	*memory.Store
	tick time.Duration // differs between instances
	dead atomic.Bool   // the process has ended; its calls have no effect

	mu     sync.Mutex
	faults []callFault // of the next calls
	always callFault   // of calls beyond faults
	calls  int
}

// next returns the fault of the next call. Each call takes a time of its own,
// because calls at the same virtual time would run in a random order.
func (l *link) next() callFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.always
	if len(l.faults) > 0 {
		f = l.faults[0]
		l.faults = l.faults[1:]
	}
	l.calls++
	f.Delay += time.Millisecond + l.tick + time.Duration(l.calls)*1009*time.Nanosecond
	return f
}

// set replaces the faults of the following calls.
func (l *link) set(always callFault, faults ...callFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults, l.always = faults, always
}

// call applies the next fault around apply.
func call[T any](ctx context.Context, l *link, op, id string, apply func(context.Context) (T, error)) (result T, err error) {
	f := l.next()
	select {
	case <-time.After(f.Delay):
	case <-ctx.Done():
		return result, &tablestore.UnavailableError{Op: op, Err: ctx.Err()}
	}
	if f.Down || l.dead.Load() {
		return result, &tablestore.UnavailableError{Op: op, Err: &memory.InjectedFaultError{Kind: "down"}}
	}
	unknown := &tablestore.OutcomeUnknownError{Op: op, ChangeID: id, Err: &memory.InjectedFaultError{Kind: "lost"}}
	if f.Late > 0 {
		time.AfterFunc(f.Late, func() { _, _ = apply(context.Background()) })
		return result, unknown
	}
	applied, err := apply(ctx)
	if f.Lose {
		return result, unknown
	}
	return applied, err
}

func (l *link) Transact(ctx context.Context, id string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	return call(ctx, l, "transact", id, func(ctx context.Context) (tablestore.TransactResult, error) {
		return l.Store.Transact(ctx, id, writes)
	})
}

func (l *link) Put(ctx context.Context, name string, data []byte) error {
	_, err := call(ctx, l, "put", "", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.Store.Put(ctx, name, data)
	})
	return err
}

func (l *link) Read(ctx context.Context, key string) (tablestore.Row, error) {
	row, err := call(ctx, l, "read", "", func(ctx context.Context) (tablestore.Row, error) { return l.Store.Read(ctx, key) })
	return row, asRead(err)
}

func (l *link) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := call(ctx, l, "get", "", func(ctx context.Context) ([]byte, error) { return l.Store.Get(ctx, name) })
	return data, asRead(err)
}

// asRead makes a lost reply of a read *tablestore.ClaimNotWrittenError.
func asRead(err error) error {
	if tablestore.IsOutcomeUnknown(err) {
		return &tablestore.UnavailableError{Op: "read", Err: err}
	}
	return err
}

// instance is one entry instance process.
type instance struct {
	*Store
	link *link
}

func newInstance(db *memory.Store, name string, bootID uint64, configure ...func(*Config)) *instance {
	config := Config{
		Self:   Claimant{Instance: name, BootID: bootID},
		Jitter: func() float64 { return 0.5 },
	}
	for _, f := range configure {
		f(&config)
	}
	l := &link{Store: db, tick: time.Duration(bootID) * 13 * time.Nanosecond}
	return &instance{Store: NewStore(config, l, l), link: l}
}

// kill ends the process: nothing that it has not yet sent has an effect.
func (i *instance) kill() {
	i.link.dead.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.Close(ctx)
}

// order returns a request with the idempotency key "k" and a body.
func order(body string) Request { return orderWithKey("k", body) }

func orderWithKey(key, body string) Request {
	return Request{
		Customer:       "dealer",
		Route:          "orders",
		IdempotencyKey: key,
		Fingerprint:    FingerprintOf("POST", "/r/orders", []byte(body)),
	}
}
