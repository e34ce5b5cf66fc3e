package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// zoneProcess is a process that is a member of a zone and may be a keeper. Its clock
// has its own zero.
type zoneProcess struct {
	zone        int
	id          string
	clockOffset time.Duration
	member      *Member
	allocator   *Keeper
}

// zoneWrite is a keeper's write that is not decided yet.
type zoneWrite struct {
	from     *zoneProcess
	proposal Proposal
}

// zoneSimulation is a ledger with zones for holders. Every process may be asked, so
// that a zone has any number of keepers.
type zoneSimulation struct {
	*simulation
	procs           []*zoneProcess
	writes          []zoneWrite
	grantDeliveries []func() // grants under way
	outage          bool
}

func newZoneSimulation(t *rapid.T) *zoneSimulation {
	w := &zoneSimulation{simulation: newSimulation(t)}
	for i := range 6 {
		w.procs = append(w.procs, w.startProcess(i/3))
	}
	return w
}

func (w *zoneSimulation) startProcess(zone int) *zoneProcess {
	w.nextID++
	p := &zoneProcess{zone: zone, id: fmt.Sprint(w.nextID), clockOffset: time.Duration(w.nextID) * time.Hour}
	p.member = NewMember(p.id, w.clock(p))
	p.allocator = NewKeeper(p.id, fmt.Sprint(zone), w.policy, w.clock(p))
	p.allocator.SetLimit(w.limit, w.generation)
	return p
}

func (w *zoneSimulation) clock(p *zoneProcess) time.Time { return w.now.Add(p.clockOffset) }

func (w *zoneSimulation) pick() *zoneProcess { return rapid.SampledFrom(w.procs).Draw(w.t, "process") }

// requestShares lets a keeper answer a member and returns the delivery of the grant.
func (w *zoneSimulation) requestShares(m, k *zoneProcess) func() {
	askedAt := w.clock(m)
	g := k.allocator.Ask(m.member.Ask(k.id, askedAt), w.clock(k))
	return func() { m.member.Apply(k.id, g, askedAt, w.clock(m)) }
}

func (w *zoneSimulation) read(p *zoneProcess) {
	if !w.outage {
		p.allocator.Observe(w.row.clone(), w.rowVersion, w.clock(p))
	}
}

// completeWrite decides a write and may report the result.
func (w *zoneSimulation) completeWrite(f zoneWrite, reply bool) {
	if w.outage {
		return // the outcome stays unknown
	}
	if f.proposal.IfVersion != w.rowVersion {
		f.from.allocator.Failed(f.proposal, w.clock(f.from))
		return
	}
	w.storeRow(f.proposal.Ledger.clone())
	if reply {
		f.from.allocator.Written(f.proposal, w.rowVersion, w.clock(f.from))
	}
}

func (w *zoneSimulation) sync(p *zoneProcess, propose allocatorProposeFunc) {
	w.read(p)
	if proposal, due := propose(p.allocator, w.clock(p)); due {
		w.completeWrite(zoneWrite{p, proposal}, true)
	}
}

// rounds runs the zones, each with its own keeper, without faults but for one
// process that is paused.
func (w *zoneSimulation) rounds(t *rapid.T) {
	keepers := []*zoneProcess{w.procs[rapid.IntRange(0, 2).Draw(t, "keeper 0")], w.procs[rapid.IntRange(3, 5).Draw(t, "keeper 1")]}
	paused, hot := w.pick(), w.pick()
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		w.advance(1100 * time.Millisecond)
		hot.member.demand.add(1000)
		for _, p := range w.procs {
			if k := keepers[p.zone]; p != paused && k != paused {
				w.requestShares(p, k)()
			}
		}
		for _, k := range keepers {
			if k != paused {
				w.sync(k, (*Keeper).Propose)
			}
		}
	}
}

func (w *zoneSimulation) admitAll(p *zoneProcess) {
	for p.member.Allow(1, w.clock(p)).Allowed {
		w.reference.Advance(w.now)
		w.reference.tokens--
		if w.reference.tokens < -1e-6 {
			w.t.Fatalf("over-admission: %g requests above burst + rate·t", -w.reference.tokens)
		}
	}
}

// checkActiveShares requires that the members use no more than the limit, and that no zone
// has granted more than its keeper may use.
func (w *zoneSimulation) checkActiveShares() {
	var sum Share
	for _, p := range w.procs {
		sum = sum.Plus(p.member.Using(w.clock(p)))
		now := w.clock(p)
		p.allocator.updateZoneShare(now)
		if out := p.allocator.grants.outstandingParts(now); !partsWithin(out, p.allocator.holder.active) {
			w.t.Fatalf("keeper %s has granted %+v of %+v", p.id, out, p.allocator.holder.active)
		}
	}
	if !sum.Within(w.reference.Share()) {
		w.t.Fatalf("members use %+v, the bound is %+v", sum, w.reference.Share())
	}
}

// Guards against over-admission over all zones: a zone's share that falls before
// its grants, a grant used after its keeper's share, grants of a keeper that died,
// was paused or replaced, several keepers of one zone, lost and late answers,
// and ledger writes with unknown results.
func TestZonesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newZoneSimulation(t)
		zonePair := func() (m, k *zoneProcess) {
			m = w.pick()
			return m, w.procs[3*m.zone+rapid.IntRange(0, 2).Draw(t, "keeper")]
		}
		takeFlight := func(t *rapid.T) zoneWrite {
			if len(w.writes) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(w.writes)-1).Draw(t, "flight")
			f := w.writes[i]
			w.writes = append(w.writes[:i], w.writes[i+1:]...)
			return f
		}
		t.Repeat(map[string]func(*rapid.T){
			"rounds": func(t *rapid.T) { w.rounds(t) },
			"ask": func(*rapid.T) {
				m, k := zonePair()
				w.requestShares(m, k)()
			},
			"answer under way": func(*rapid.T) { w.grantDeliveries = append(w.grantDeliveries, w.requestShares(zonePair())) },
			"late answer": func(t *rapid.T) {
				if len(w.grantDeliveries) == 0 {
					t.Skip("no answer under way")
				}
				i := rapid.IntRange(0, len(w.grantDeliveries)-1).Draw(t, "answer")
				w.grantDeliveries[i]()
				w.grantDeliveries = append(w.grantDeliveries[:i], w.grantDeliveries[i+1:]...)
			},
			"lose answers": func(*rapid.T) { w.grantDeliveries = nil },
			"step":         func(*rapid.T) { w.sync(w.pick(), (*Keeper).Propose) },
			"leave":        func(*rapid.T) { w.sync(w.pick(), (*Keeper).Leave) },
			"write under way": func(*rapid.T) {
				p := w.pick()
				w.read(p)
				if proposal, due := p.allocator.Propose(w.clock(p)); due {
					w.writes = append(w.writes, zoneWrite{p, proposal})
				}
			},
			"write decided": func(t *rapid.T) { w.completeWrite(takeFlight(t), true) },
			"reply lost":    func(t *rapid.T) { w.completeWrite(takeFlight(t), false) },
			"write lost":    func(t *rapid.T) { takeFlight(t) },
			"outage":        func(*rapid.T) { w.outage = !w.outage },
			"pause": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond)
			},
			"death": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")
				w.procs[i] = w.startProcess(w.procs[i].zone)
			},
			"change the limit": func(t *rapid.T) {
				w.generation++
				w.limit = drawLimit(t)
				w.pick().allocator.SetLimit(w.limit, w.generation)
			},
			"drain": func(*rapid.T) { w.admitAll(w.pick()) },
			"drain all": func(*rapid.T) {
				for _, p := range w.procs {
					w.admitAll(p)
				}
			},
			"": func(*rapid.T) { w.checkActiveShares() },
		})
	})
}

// Guards against a ledger row that gives away what an instance may still use: the
// row must shrink only as far as the instances have confirmed.
func TestAllocatorWaitsForConfirmedReductions(t *testing.T) {
	now := startTime
	k := NewKeeper("k", "zone", DefaultPolicy(), now)
	k.SetLimit(ShareOf(100, 100), 1)
	k.Observe(Ledger{}, 0, now)
	busy := NewMember("busy", now)
	version := int64(0)
	round := func(offered float64, confirm bool) Entry {
		now = now.Add(1100 * time.Millisecond)
		busy.demand.add(offered)
		if g := k.Ask(busy.Ask("k", now), now); confirm {
			busy.Apply("k", g, now, now)
		}
		if p, due := k.Propose(now); due {
			version++
			k.Written(p, version, now)
		}
		return k.holder.confirmed
	}
	for range 5 {
		round(200, true)
	}
	must.True(t, busy.Using(now).Rate >= AmountOf(95))
	row := k.holder.row.clone()
	row.Holders = append(row.Holders, Entry{ID: "other", Instance: "other zone", Demand: AmountOf(200), Renewals: 1})
	version++
	k.Observe(row, version, now)

	for range 3 {
		must.True(t, round(200, false).Held().Rate >= AmountOf(95))
	}
	for range 5 {
		held := round(200, true)
		must.True(t, busy.Using(now).Within(held.Held()))
	}
	must.Between(t, AmountOf(45), k.holder.confirmed.Held().Rate, AmountOf(55))
}
