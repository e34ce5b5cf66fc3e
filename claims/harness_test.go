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

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) {
	proptest.Main(m)
}

// callFault is the fault that is injected into one platform call.
type callFault struct {
	Unavailable bool          // the call is not applied and fails
	LoseReply   bool          // the call is applied, but its reply is lost
	ApplyLate   time.Duration // if set: the reply is lost and the call is applied after this time
	Delay       time.Duration // time before the call is applied
}

// platformLink is the connection of one instance to the platform.
type platformLink struct {
	*memory.Store
	callOffset time.Duration // added to the delay of each call; differs between instances
	killed     atomic.Bool   // the process has ended; its calls are not applied

	mu           sync.Mutex
	nextFaults   []callFault // of the next calls, in order
	defaultFault callFault   // of the calls after nextFaults
	callCount    int
}

// nextFault returns the fault of the next call. It gives each call a different delay,
// because calls at the same virtual time would run in a random order.
func (l *platformLink) nextFault() callFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.defaultFault
	if len(l.nextFaults) > 0 {
		f = l.nextFaults[0]
		l.nextFaults = l.nextFaults[1:]
	}
	l.callCount++
	f.Delay += time.Millisecond + l.callOffset + time.Duration(l.callCount)*1009*time.Nanosecond
	return f
}

// setFaults sets the faults of the next calls, and the fault of all calls after them.
func (l *platformLink) setFaults(defaultFault callFault, next ...callFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextFaults, l.defaultFault = next, defaultFault
}

// callWithFault makes a platform call with the next fault. apply applies the call.
func callWithFault[T any](ctx context.Context, l *platformLink, op, id string, apply func(context.Context) (T, error)) (result T, err error) {
	f := l.nextFault()
	select {
	case <-time.After(f.Delay):
	case <-ctx.Done():
		return result, &tablestore.UnavailableError{Op: op, Err: ctx.Err()}
	}
	if f.Unavailable || l.killed.Load() {
		return result, &tablestore.UnavailableError{Op: op, Err: &memory.InjectedFaultError{Kind: "down"}}
	}
	unknown := &tablestore.OutcomeUnknownError{Op: op, ChangeID: id, Err: &memory.InjectedFaultError{Kind: "lost"}}
	if f.ApplyLate > 0 {
		time.AfterFunc(f.ApplyLate, func() { _, _ = apply(context.Background()) })
		return result, unknown
	}
	applied, err := apply(ctx)
	if f.LoseReply {
		return result, unknown
	}
	return applied, err
}

func (l *platformLink) Transact(ctx context.Context, id string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	return callWithFault(ctx, l, "transact", id, func(ctx context.Context) (tablestore.TransactResult, error) {
		return l.Store.Transact(ctx, id, writes)
	})
}

func (l *platformLink) Put(ctx context.Context, name string, data []byte) error {
	_, err := callWithFault(ctx, l, "put", "", func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.Store.Put(ctx, name, data)
	})
	return err
}

func (l *platformLink) Read(ctx context.Context, key string) (tablestore.Row, error) {
	row, err := callWithFault(ctx, l, "read", "", func(ctx context.Context) (tablestore.Row, error) { return l.Store.Read(ctx, key) })
	return row, readError(err)
}

func (l *platformLink) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := callWithFault(ctx, l, "get", "", func(ctx context.Context) ([]byte, error) { return l.Store.Get(ctx, name) })
	return data, readError(err)
}

// readError converts the error of a lost reply to the error that a read returns for it,
// *tablestore.ClaimNotWrittenError.
func readError(err error) error {
	if tablestore.IsOutcomeUnknown(err) {
		return &tablestore.UnavailableError{Op: "read", Err: err}
	}
	return err
}

// instance is the process of one entry instance.
type instance struct {
	*Store
	link *platformLink
}

func newInstance(db *memory.Store, name string, bootID uint64, configure ...func(*Config)) *instance {
	config := Config{
		Self:   Claimant{Instance: name, BootID: bootID},
		Jitter: func() float64 { return 0.5 },
	}
	for _, f := range configure {
		f(&config)
	}
	l := &platformLink{Store: db, callOffset: time.Duration(bootID) * 13 * time.Nanosecond}
	return &instance{Store: NewStore(config, l, l), link: l}
}

// kill ends the process. Platform calls that were not yet applied are not applied.
func (i *instance) kill() {
	i.link.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.Close(ctx)
}

// orderRequest returns a request with the idempotency key "k" and the body.
func orderRequest(body string) Request { return orderRequestWithKey("k", body) }

func orderRequestWithKey(key, body string) Request {
	return Request{
		Customer:       "dealer",
		Route:          "orders",
		IdempotencyKey: key,
		Fingerprint:    FingerprintOf("POST", "/r/orders", []byte(body)),
	}
}
