package keys

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthrack/jacinthrack/internal/proptest"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) {
	proptest.SetSteps("150")
	proptest.Main(m)
}

// faultyTable is the platform's table as seen by one instance. It can be made
// unreachable, and calls hooks, if set, after a Read and before a Scan.
type faultyTable struct {
	tablestore.Table
	unreachable bool
	afterRead   func()
	beforeScan  func()
}

func (c *faultyTable) outageError() error {
	if !c.unreachable {
		return nil
	}
	return &tablestore.UnavailableError{Op: "any", Err: &memory.InjectedFaultError{Kind: "cut off"}}
}

func (c *faultyTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := c.outageError(); err != nil {
		return tablestore.Row{}, err
	}
	if c.afterRead != nil {
		defer c.afterRead()
	}
	return c.Table.Read(ctx, key)
}

func (c *faultyTable) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := c.outageError(); err != nil {
		return nil, err
	}
	if c.beforeScan != nil {
		c.beforeScan()
	}
	return c.Table.Scan(ctx, prefix, limit, after)
}

func (c *faultyTable) Transact(ctx context.Context, id string, w []tablestore.Write) (tablestore.TransactResult, error) {
	if err := c.outageError(); err != nil {
		return tablestore.TransactResult{}, err
	}
	return c.Table.Transact(ctx, id, w)
}

// testFleet is a set of instances with a virtual clock, a shared platform and injected
// faults.
type testFleet struct {
	now         time.Time
	store       *memory.Store
	names       []string
	instances   map[string]*testInstance
	brokenLinks map[[2]string]bool // pairs of instances, by name; true breaks both directions
}

type testInstance struct {
	*Follower
	table             *faultyTable
	zone              string
	bootID            uint64
	highestGeneration uint64
}

func newFleet(zones ...string) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0), store: memory.New(), instances: map[string]*testInstance{}, brokenLinks: map[[2]string]bool{}}
	for i, zone := range zones {
		name := fmt.Sprintf("i%d", i+1)
		f.names = append(f.names, name)
		f.instances[name] = &testInstance{table: &faultyTable{Table: f.store}, zone: zone}
	}
	for _, name := range f.names {
		f.restart(name, true)
	}
	return f
}

// restart starts a new process of an instance, without the key data of the old one.
func (f *testFleet) restart(name string, cold bool) {
	f.now = f.now.Add(time.Millisecond) // so that no other event has the time of the start
	n := f.instances[name]
	n.bootID++
	n.highestGeneration = 0
	n.Follower = NewFollower(FollowerOptions{Table: n.table, InstanceName: name, Zone: n.zone, BootID: n.bootID,
		Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return f.now }, ColdStart: cold})
	var list []tablestore.Instance
	for _, other := range f.names {
		list = append(list, tablestore.Instance{Name: other, Zone: f.instances[other].zone})
	}
	n.SetListedInstances(list)
}

func (f *testFleet) reaches(a, b string) bool {
	return !f.brokenLinks[[2]string{a, b}] && !f.brokenLinks[[2]string{b, a}]
}

// digestReply is a reply of a peer that has not been delivered yet.
type digestReply struct {
	to     string
	bootID uint64
	asOf   time.Time
	digest Digest
	state  State
}

func (f *testFleet) requestDigest(from, to string) digestReply {
	peer := f.instances[to]
	return digestReply{to: from, bootID: f.instances[from].bootID, asOf: f.now, digest: peer.Digest(), state: peer.Export()}
}

func (f *testFleet) deliver(a digestReply) {
	n := f.instances[a.to]
	if n.bootID != a.bootID {
		return
	}
	_ = n.SyncWithPeer(context.Background(), a.digest, a.asOf, func(context.Context) (State, error) { return a.state, nil })
}

// exchangeDigests lets every instance request the digests of all instances that it can
// reach.
func (f *testFleet) exchangeDigests() {
	for _, from := range f.names {
		for _, to := range f.names {
			if from != to && f.reaches(from, to) {
				f.deliver(f.requestDigest(from, to))
			}
		}
	}
}

// setPlatformUnreachable cuts instances off from the platform or reconnects them.
func (f *testFleet) setPlatformUnreachable(unreachable bool, names ...string) {
	for _, name := range names {
		f.instances[name].table.unreachable = unreachable
	}
}

// trackedWithdrawal is a withdrawal together with the state kept for the operator's
// report.
type trackedWithdrawal struct {
	Withdrawal
	tracker         *WithdrawalTracker
	reportedInForce bool
	generation      uint64 // that contains the withdrawal; 0: not known
}

// confirmWithdrawal records a confirmation if an instance has the withdrawal.
func (f *testFleet) confirmWithdrawal(w *trackedWithdrawal, name string) {
	if n := f.instances[name]; n.Digest().ContainsWithdrawal(w.KeyID, w.generation) {
		w.tracker.RecordConfirmation(name, n.bootID, f.now, f.now)
	}
}

const (
	testRoute = "stock-check"
	testBound = 5 * time.Second
)

// model is the state machine that rapid drives: it applies random actions to a testFleet
// and runs checkInvariants after each of them.
type model struct {
	*testFleet
	keys               []Key
	withdrawals        map[string]*trackedWithdrawal
	undelivered        []digestReply
	acceptedChecks     int // checks that accepted a key
	withdrawalsInForce int
}

func (m *model) drawName(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "instance") }

func (m *model) drawKey(t *rapid.T) Key { return rapid.SampledFrom(m.keys).Draw(t, "key") }

// startWithdrawal draws a key and returns its withdrawal, which it creates if there is
// none yet.
func (m *model) startWithdrawal(t *rapid.T) *trackedWithdrawal {
	k := m.drawKey(t)
	if m.withdrawals[k.ID] == nil {
		m.withdrawals[k.ID] = &trackedWithdrawal{Withdrawal{k.ID, "change-" + k.ID}, NewWithdrawalTracker(m.names), false, 0}
	}
	return m.withdrawals[k.ID]
}

func (m *model) drawWithdrawal(t *rapid.T) *trackedWithdrawal {
	w := m.withdrawals[m.drawKey(t).ID]
	if w == nil {
		t.Skip("the key has not been withdrawn")
	}
	return w
}

func (m *model) actions() map[string]func(*rapid.T) {
	ctx := context.Background()
	return map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"bound": func(*rapid.T) { m.now = m.now.Add(testBound + time.Second) },
		"grant": func(t *rapid.T) {
			if len(m.keys) == 4 {
				t.Skip("maximum number of keys reached")
			}
			k, err := NewStore(m.store).Grant(ctx, "c", []string{testRoute})
			must.NoError(t, err)
			m.keys = append(m.keys, k)
		},
		"withdraw": func(t *rapid.T) {
			_, _ = m.instances[m.drawName(t)].Withdraw(ctx, m.startWithdrawal(t).Withdrawal)
		},
		"announce": func(t *rapid.T) {
			w, n := m.drawWithdrawal(t), m.drawName(t)
			m.instances[n].ApplyWithdrawals([]Withdrawal{w.Withdrawal})
			m.confirmWithdrawal(w, n)
		},
		"withdraw and follow": func(t *rapid.T) {
			m.withdrawAndConfirm(m.startWithdrawal(t), m.drawName(t))
		},
		"live": func(t *rapid.T) {
			for range 6 {
				m.now = m.now.Add(time.Second)
				m.exchangeDigests()
				m.checkInvariants(t)
			}
		},
		"ask all": func(t *rapid.T) {
			for _, a := range m.names {
				if b := m.drawName(t); a != b && m.reaches(a, b) {
					m.undelivered = append(m.undelivered, m.requestDigest(a, b))
				}
			}
		},
		"deliver all": func(t *rapid.T) {
			for _, a := range m.undelivered {
				m.deliver(a)
			}
			m.undelivered = nil
		},
		"split": func(t *rapid.T) {
			side := rapid.SliceOfN(rapid.Bool(), len(m.names), len(m.names)).Draw(t, "side")
			m.partition(side)
			for i, name := range m.names {
				m.instances[name].table.unreachable = side[i]
			}
		},
		"confirm": func(t *rapid.T) { m.confirmWithdrawal(m.drawWithdrawal(t), m.drawName(t)) },
		"poll":    func(t *rapid.T) { _ = m.instances[m.drawName(t)].Poll(ctx) },
		"confirm all": func(t *rapid.T) {
			w := m.drawWithdrawal(t)
			for _, n := range m.names {
				m.confirmWithdrawal(w, n)
			}
		},
		"platform confirms": func(t *rapid.T) {
			w := m.drawWithdrawal(t)
			r, _, err := NewStore(m.store).readRecord(ctx, w.KeyID)
			must.NoError(t, err)
			if r.Withdrawn {
				w.tracker.RecordPlatform(m.now)
				w.generation, err = NewStore(m.store).Generation(ctx)
				must.NoError(t, err)
			}
		},
		"poll and write": func(t *rapid.T) {
			n := m.instances[m.drawName(t)]
			if n.Poll(ctx) == nil {
				_ = n.WritePendingWithdrawals(ctx)
			}
		},
		"exchange": func(t *rapid.T) { m.exchangeDigests() },
		"ask": func(t *rapid.T) {
			a, b := m.drawName(t), m.drawName(t)
			if a != b && m.reaches(a, b) {
				m.undelivered = append(m.undelivered, m.requestDigest(a, b))
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.undelivered) == 0 {
				t.Skip("no undelivered replies")
			}
			i := rapid.IntRange(0, len(m.undelivered)-1).Draw(t, "answer")
			m.deliver(m.undelivered[i])
			m.undelivered = append(m.undelivered[:i], m.undelivered[i+1:]...)
		},
		"outage":       func(t *rapid.T) { m.setPlatformUnreachable(true, m.names...) },
		"outage ends":  func(t *rapid.T) { m.setPlatformUnreachable(false, m.names...) },
		"cut platform": func(t *rapid.T) { m.setPlatformUnreachable(rapid.Bool().Draw(t, "cut"), m.drawName(t)) },
		"partition": func(t *rapid.T) {
			side := rapid.SliceOfN(rapid.Bool(), len(m.names), len(m.names)).Draw(t, "side")
			m.partition(side)
		},
		"partition ends": func(t *rapid.T) { clear(m.brokenLinks) },
		"restart": func(t *rapid.T) {
			n := m.drawName(t)
			for _, other := range m.names {
				if other != n && m.instances[other].Digest().Complete {
					m.restart(n, false)
					return
				}
			}
			t.Skip("no other instance is complete, so key data would be lost")
		},
		"": m.checkInvariants,
	}
}

// partition breaks all connections between the instances on different sides and
// restores all others.
func (f *testFleet) partition(side []bool) {
	for i, a := range f.names {
		for j, b := range f.names {
			f.brokenLinks[[2]string{a, b}] = side[i] != side[j]
		}
	}
}

// withdrawAndConfirm withdraws a key at one instance, then announces the withdrawal
// twice to all instances that origin can reach and records their confirmations.
func (f *testFleet) withdrawAndConfirm(w *trackedWithdrawal, origin string) {
	if generation, err := f.instances[origin].Withdraw(context.Background(), w.Withdrawal); err == nil {
		w.tracker.RecordPlatform(f.now)
		w.generation = generation
	}
	for range 2 {
		for _, name := range f.names {
			if f.reaches(origin, name) {
				f.instances[name].ApplyWithdrawals([]Withdrawal{w.Withdrawal})
				f.confirmWithdrawal(w, name)
			}
		}
	}
}

// checkInvariants fails if an instance accepts a key whose withdrawal was reported as
// in force, or if the key generation of an instance has decreased.
func (m *model) checkInvariants(t *rapid.T) {
	for _, k := range m.keys {
		w := m.withdrawals[k.ID]
		if w != nil && !w.reportedInForce && w.tracker.Report(m.now, testBound).InForce {
			w.reportedInForce = true
			m.withdrawalsInForce++
		}
		for _, name := range m.names {
			_, err := m.instances[name].VerifyFresh(k.Reveal(), testRoute, testBound)
			if err == nil {
				m.acceptedChecks++
				must.False(t, w != nil && w.reportedInForce, must.Sprintf("%s accepts a key whose withdrawal was reported as in force", name))
			}
		}
	}
	for _, name := range m.names {
		n := m.instances[name]
		must.GreaterEq(t, n.highestGeneration, n.KeySet().Generation(), must.Sprint("key generation decreased"))
		n.highestGeneration = n.KeySet().Generation()
	}
}

// Guards against freshness and report rules under which an instance accepts a key after
// its withdrawal was reported as in force, and against a key generation that decreases.
func TestWithdrawnKeyIsNeverAcceptedOnceInForce(t *testing.T) {
	accepted, inForce := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "a", "b", "b", "c", "c", "d"}[:rapid.IntRange(2, 7).Draw(t, "instances")]
		m := &model{testFleet: newFleet(zones...), withdrawals: map[string]*trackedWithdrawal{}}
		actions := m.actions()
		actions["grant"](t)
		for _, name := range m.names {
			must.NoError(t, m.instances[name].Poll(context.Background()))
		}
		t.Repeat(actions)
		accepted += m.acceptedChecks
		inForce += m.withdrawalsInForce
	})
	// The property holds trivially if no key is accepted or no withdrawal comes
	// into force, so both must happen often.
	must.Greater(t, 1000, accepted)
	must.Greater(t, 50, inForce)
	t.Logf("%d checks accepted a key, %d withdrawals were in force", accepted, inForce)
}
