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

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	proptest.SetSteps("150")
	proptest.Main(m)
}

// cutTable is the platform as one instance reaches it, with hooks at its calls.
type cutTable struct {
	tablestore.Table
	cut        bool
	afterRead  func()
	beforeScan func()
}

func (c *cutTable) down() error {
	if !c.cut {
		return nil
	}
	return &tablestore.UnavailableError{Op: "any", Err: &memory.InjectedFaultError{Kind: "cut off"}}
}

func (c *cutTable) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := c.down(); err != nil {
		return tablestore.Row{}, err
	}
	if c.afterRead != nil {
		defer c.afterRead()
	}
	return c.Table.Read(ctx, key)
}

func (c *cutTable) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := c.down(); err != nil {
		return nil, err
	}
	if c.beforeScan != nil {
		c.beforeScan()
	}
	return c.Table.Scan(ctx, prefix, limit, after)
}

func (c *cutTable) Transact(ctx context.Context, id string, w []tablestore.Write) (tablestore.TransactResult, error) {
	if err := c.down(); err != nil {
		return tablestore.TransactResult{}, err
	}
	return c.Table.Transact(ctx, id, w)
}

// fleet is a set of instances with a virtual clock and injected faults.
type fleet struct {
	now    time.Time
	store  *memory.Store
	names  []string
	nodes  map[string]*node
	broken map[[2]string]bool // connections, in both directions
}

type node struct {
	*Follower
	table      *cutTable
	zone       string
	boot       uint64
	generation uint64
}

func newFleet(zones ...string) *fleet {
	f := &fleet{now: time.Unix(1000, 0), store: memory.New(), nodes: map[string]*node{}, broken: map[[2]string]bool{}}
	for i, zone := range zones {
		name := fmt.Sprintf("i%d", i+1)
		f.names = append(f.names, name)
		f.nodes[name] = &node{table: &cutTable{Table: f.store}, zone: zone}
	}
	for _, name := range f.names {
		f.restart(name, true)
	}
	return f
}

// restart replaces the process of an instance, which loses its memory.
func (f *fleet) restart(name string, cold bool) {
	f.now = f.now.Add(time.Millisecond) // nothing happens at the moment of the start
	n := f.nodes[name]
	n.boot++
	n.generation = 0
	n.Follower = NewFollower(FollowerOptions{Table: n.table, InstanceName: name, Zone: n.zone, BootID: n.boot,
		Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return f.now }, ColdStart: cold})
	var list []tablestore.Instance
	for _, other := range f.names {
		list = append(list, tablestore.Instance{Name: other, Zone: f.nodes[other].zone})
	}
	n.SetListedInstances(list)
}

func (f *fleet) reaches(a, b string) bool {
	return !f.broken[[2]string{a, b}] && !f.broken[[2]string{b, a}]
}

// answer is a peer's answer on its way.
type answer struct {
	to     string
	boot   uint64
	asOf   time.Time
	digest Digest
	state  State
}

func (f *fleet) ask(from, to string) answer {
	peer := f.nodes[to]
	return answer{to: from, boot: f.nodes[from].boot, asOf: f.now, digest: peer.Digest(), state: peer.Export()}
}

func (f *fleet) deliver(a answer) {
	n := f.nodes[a.to]
	if n.boot != a.boot {
		return
	}
	_ = n.SyncWithPeer(context.Background(), a.digest, a.asOf, func(context.Context) (State, error) { return a.state, nil })
}

// exchange lets every instance ask all instances that it reaches.
func (f *fleet) exchange() {
	for _, from := range f.names {
		for _, to := range f.names {
			if from != to && f.reaches(from, to) {
				f.deliver(f.ask(from, to))
			}
		}
	}
}

// cutPlatform cuts instances off from the platform or connects them.
func (f *fleet) cutPlatform(cut bool, names ...string) {
	for _, name := range names {
		f.nodes[name].table.cut = cut
	}
}

// withdrawal is a withdrawal that an operator follows.
type withdrawal struct {
	Withdrawal
	tally      *WithdrawalTracker
	reported   bool
	generation uint64 // contains the withdrawal; 0 when not known
}

// confirm asks an instance whether it holds a withdrawal.
func (f *fleet) confirm(w *withdrawal, name string) {
	if n := f.nodes[name]; n.Digest().ContainsWithdrawal(w.KeyID, w.generation) {
		w.tally.RecordConfirmation(name, n.boot, f.now, f.now)
	}
}

const (
	testRoute = "stock-check"
	testBound = 5 * time.Second
)

// machine draws the interleavings.
type machine struct {
	*fleet
	keys        []Key
	withdrawals map[string]*withdrawal
	inFlight    []answer
	accepted    int // checks that accepted a key
	inForce     int
}

func (m *machine) name(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "instance") }

func (m *machine) key(t *rapid.T) Key { return rapid.SampledFrom(m.keys).Draw(t, "key") }

// started returns the withdrawal of a key, which begins if there is none.
func (m *machine) started(t *rapid.T) *withdrawal {
	k := m.key(t)
	if m.withdrawals[k.ID] == nil {
		m.withdrawals[k.ID] = &withdrawal{Withdrawal{k.ID, "change-" + k.ID}, NewWithdrawalTracker(m.names), false, 0}
	}
	return m.withdrawals[k.ID]
}

func (m *machine) followed(t *rapid.T) *withdrawal {
	w := m.withdrawals[m.key(t).ID]
	if w == nil {
		t.Skip("not withdrawn")
	}
	return w
}

func (m *machine) actions() map[string]func(*rapid.T) {
	ctx := context.Background()
	return map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"bound": func(*rapid.T) { m.now = m.now.Add(testBound + time.Second) },
		"grant": func(t *rapid.T) {
			if len(m.keys) == 4 {
				t.Skip("enough keys")
			}
			k, err := NewStore(m.store).Grant(ctx, "c", []string{testRoute})
			must.NoError(t, err)
			m.keys = append(m.keys, k)
		},
		"withdraw": func(t *rapid.T) {
			_, _ = m.nodes[m.name(t)].Withdraw(ctx, m.started(t).Withdrawal)
		},
		"announce": func(t *rapid.T) {
			w, n := m.followed(t), m.name(t)
			m.nodes[n].ApplyWithdrawals([]Withdrawal{w.Withdrawal})
			m.confirm(w, n)
		},
		"withdraw and follow": func(t *rapid.T) {
			m.follow(m.started(t), m.name(t))
		},
		"live": func(t *rapid.T) {
			for range 6 {
				m.now = m.now.Add(time.Second)
				m.exchange()
				m.check(t)
			}
		},
		"ask all": func(t *rapid.T) {
			for _, a := range m.names {
				if b := m.name(t); a != b && m.reaches(a, b) {
					m.inFlight = append(m.inFlight, m.ask(a, b))
				}
			}
		},
		"deliver all": func(t *rapid.T) {
			for _, a := range m.inFlight {
				m.deliver(a)
			}
			m.inFlight = nil
		},
		"split": func(t *rapid.T) {
			side := rapid.SliceOfN(rapid.Bool(), len(m.names), len(m.names)).Draw(t, "side")
			m.split(side)
			for i, name := range m.names {
				m.nodes[name].table.cut = side[i]
			}
		},
		"confirm": func(t *rapid.T) { m.confirm(m.followed(t), m.name(t)) },
		"poll":    func(t *rapid.T) { _ = m.nodes[m.name(t)].Poll(ctx) },
		"confirm all": func(t *rapid.T) {
			w := m.followed(t)
			for _, n := range m.names {
				m.confirm(w, n)
			}
		},
		"platform confirms": func(t *rapid.T) {
			w := m.followed(t)
			r, _, err := NewStore(m.store).record(ctx, w.KeyID)
			must.NoError(t, err)
			if r.Withdrawn {
				w.tally.RecordPlatform(m.now)
				w.generation, err = NewStore(m.store).Generation(ctx)
				must.NoError(t, err)
			}
		},
		"poll and write": func(t *rapid.T) {
			n := m.nodes[m.name(t)]
			if n.Poll(ctx) == nil {
				_ = n.WritePendingWithdrawals(ctx)
			}
		},
		"exchange": func(t *rapid.T) { m.exchange() },
		"ask": func(t *rapid.T) {
			a, b := m.name(t), m.name(t)
			if a != b && m.reaches(a, b) {
				m.inFlight = append(m.inFlight, m.ask(a, b))
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.inFlight) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "answer")
			m.deliver(m.inFlight[i])
			m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
		},
		"outage":       func(t *rapid.T) { m.cutPlatform(true, m.names...) },
		"outage ends":  func(t *rapid.T) { m.cutPlatform(false, m.names...) },
		"cut platform": func(t *rapid.T) { m.cutPlatform(rapid.Bool().Draw(t, "cut"), m.name(t)) },
		"partition": func(t *rapid.T) {
			side := rapid.SliceOfN(rapid.Bool(), len(m.names), len(m.names)).Draw(t, "side")
			m.split(side)
		},
		"partition ends": func(t *rapid.T) { clear(m.broken) },
		"restart": func(t *rapid.T) {
			n := m.name(t)
			for _, other := range m.names {
				if other != n && m.nodes[other].Digest().Complete {
					m.restart(n, false)
					return
				}
			}
			t.Skip("would lose all instances")
		},
		"": m.check,
	}
}

// split cuts the connections between two groups of instances.
func (f *fleet) split(side []bool) {
	for i, a := range f.names {
		for j, b := range f.names {
			f.broken[[2]string{a, b}] = side[i] != side[j]
		}
	}
}

// follow withdraws a key at one instance and asks all that it reaches, twice.
func (f *fleet) follow(w *withdrawal, origin string) {
	if generation, err := f.nodes[origin].Withdraw(context.Background(), w.Withdrawal); err == nil {
		w.tally.RecordPlatform(f.now)
		w.generation = generation
	}
	for range 2 {
		for _, name := range f.names {
			if f.reaches(origin, name) {
				f.nodes[name].ApplyWithdrawals([]Withdrawal{w.Withdrawal})
				f.confirm(w, name)
			}
		}
	}
}

// check fails when an instance accepts a key that was reported as withdrawn.
func (m *machine) check(t *rapid.T) {
	for _, k := range m.keys {
		w := m.withdrawals[k.ID]
		if w != nil && !w.reported && w.tally.Report(m.now, testBound).InForce {
			w.reported = true
			m.inForce++
		}
		for _, name := range m.names {
			_, err := m.nodes[name].VerifyFresh(k.Reveal(), testRoute, testBound)
			if err == nil {
				m.accepted++
				must.False(t, w != nil && w.reported, must.Sprintf("%s accepts withdrawn key", name))
			}
		}
	}
	for _, name := range m.names {
		n := m.nodes[name]
		must.GreaterEq(t, n.generation, n.KeySet().Generation(), must.Sprint("key generation"))
		n.generation = n.KeySet().Generation()
	}
}

// Guards against a rule by which an instance accepts a key although the operator
// was told that its withdrawal is in force, and against a key generation that goes
// back.
func TestWithdrawnKeyIsNeverAcceptedOnceInForce(t *testing.T) {
	accepted, inForce := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "a", "b", "b", "c", "c", "d"}[:rapid.IntRange(2, 7).Draw(t, "instances")]
		m := &machine{fleet: newFleet(zones...), withdrawals: map[string]*withdrawal{}}
		actions := m.actions()
		actions["grant"](t)
		for _, name := range m.names {
			must.NoError(t, m.nodes[name].Poll(context.Background()))
		}
		t.Repeat(actions)
		accepted += m.accepted
		inForce += m.inForce
	})
	// The property would hold trivially if nothing was accepted or in force.
	must.Greater(t, 1000, accepted)
	must.Greater(t, 50, inForce)
	t.Logf("%d checks accepted a key, %d withdrawals were in force", accepted, inForce)
}
