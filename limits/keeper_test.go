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
	s := &zoneSimulation{simulation: newSimulation(t)}
	for i := range 6 {
		s.procs = append(s.procs, s.startProcess(i/3))
	}
	return s
}

func (s *zoneSimulation) startProcess(zone int) *zoneProcess {
	s.nextID++
	p := &zoneProcess{zone: zone, id: fmt.Sprint(s.nextID), clockOffset: time.Duration(s.nextID) * time.Hour}
	p.member = NewMember(p.id, s.clock(p))
	p.allocator = NewKeeper(p.id, fmt.Sprint(zone), s.policy, s.clock(p))
	p.allocator.SetLimit(s.limit, s.generation)
	return p
}

func (s *zoneSimulation) clock(p *zoneProcess) time.Time { return s.now.Add(p.clockOffset) }

func (s *zoneSimulation) pick() *zoneProcess { return rapid.SampledFrom(s.procs).Draw(s.t, "process") }

// requestShares lets a keeper answer a member and returns the delivery of the grant.
func (s *zoneSimulation) requestShares(m, k *zoneProcess) func() {
	askedAt := s.clock(m)
	g := k.allocator.Ask(m.member.Ask(k.id, askedAt), s.clock(k))
	return func() { m.member.Apply(k.id, g, askedAt, s.clock(m)) }
}

func (s *zoneSimulation) read(p *zoneProcess) {
	if !s.outage {
		p.allocator.Observe(s.row.clone(), s.rowVersion, s.clock(p))
	}
}

// completeWrite decides a write and may report the result.
func (s *zoneSimulation) completeWrite(f zoneWrite, reply bool) {
	if s.outage {
		return // the outcome stays unknown
	}
	if f.proposal.IfVersion != s.rowVersion {
		f.from.allocator.Failed(f.proposal, s.clock(f.from))
		return
	}
	s.storeRow(f.proposal.Ledger.clone())
	if reply {
		f.from.allocator.Written(f.proposal, s.rowVersion, s.clock(f.from))
	}
}

func (s *zoneSimulation) sync(p *zoneProcess, propose allocatorProposeFunc) {
	s.read(p)
	if proposal, due := propose(p.allocator, s.clock(p)); due {
		s.completeWrite(zoneWrite{p, proposal}, true)
	}
}

// rounds runs the zones, each with its own keeper, without faults but for one
// process that is paused.
func (s *zoneSimulation) rounds(t *rapid.T) {
	keepers := []*zoneProcess{s.procs[rapid.IntRange(0, 2).Draw(t, "keeper 0")], s.procs[rapid.IntRange(3, 5).Draw(t, "keeper 1")]}
	paused, hot := s.pick(), s.pick()
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		s.advance(1100 * time.Millisecond)
		hot.member.demand.add(1000)
		for _, p := range s.procs {
			if k := keepers[p.zone]; p != paused && k != paused {
				s.requestShares(p, k)()
			}
		}
		for _, k := range keepers {
			if k != paused {
				s.sync(k, (*Keeper).Propose)
			}
		}
	}
}

func (s *zoneSimulation) admitAll(p *zoneProcess) {
	for p.member.Allow(1, s.clock(p)).Allowed {
		s.reference.Advance(s.now)
		s.reference.tokens--
		if s.reference.tokens < -1e-6 {
			s.t.Fatalf("over-admission: %g requests above burst + rate·t", -s.reference.tokens)
		}
	}
}

// checkActiveShares requires that the members use no more than the limit, and that no zone
// has granted more than its keeper may use.
func (s *zoneSimulation) checkActiveShares() {
	var sum Share
	for _, p := range s.procs {
		sum = sum.Plus(p.member.Using(s.clock(p)))
		now := s.clock(p)
		p.allocator.updateZoneShare(now)
		if out := p.allocator.grants.outstandingParts(now); !partsWithin(out, p.allocator.holder.active) {
			s.t.Fatalf("keeper %s has granted %+v of %+v", p.id, out, p.allocator.holder.active)
		}
	}
	if !sum.Within(s.reference.Share()) {
		s.t.Fatalf("members use %+v, the bound is %+v", sum, s.reference.Share())
	}
}

// Guards against over-admission over all zones: a zone's share that falls before
// its grants, a grant used after its keeper's share, grants of a keeper that died,
// was paused or replaced, several keepers of one zone, lost and late answers,
// and ledger writes with unknown results.
func TestZonesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newZoneSimulation(t)
		zonePair := func() (m, k *zoneProcess) {
			m = s.pick()
			return m, s.procs[3*m.zone+rapid.IntRange(0, 2).Draw(t, "keeper")]
		}
		takeFlight := func(t *rapid.T) zoneWrite {
			if len(s.writes) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(s.writes)-1).Draw(t, "flight")
			f := s.writes[i]
			s.writes = append(s.writes[:i], s.writes[i+1:]...)
			return f
		}
		t.Repeat(map[string]func(*rapid.T){
			"rounds": func(t *rapid.T) { s.rounds(t) },
			"ask": func(*rapid.T) {
				m, k := zonePair()
				s.requestShares(m, k)()
			},
			"answer under way": func(*rapid.T) { s.grantDeliveries = append(s.grantDeliveries, s.requestShares(zonePair())) },
			"late answer": func(t *rapid.T) {
				if len(s.grantDeliveries) == 0 {
					t.Skip("no answer under way")
				}
				i := rapid.IntRange(0, len(s.grantDeliveries)-1).Draw(t, "answer")
				s.grantDeliveries[i]()
				s.grantDeliveries = append(s.grantDeliveries[:i], s.grantDeliveries[i+1:]...)
			},
			"lose answers": func(*rapid.T) { s.grantDeliveries = nil },
			"step":         func(*rapid.T) { s.sync(s.pick(), (*Keeper).Propose) },
			"leave":        func(*rapid.T) { s.sync(s.pick(), (*Keeper).Leave) },
			"write under way": func(*rapid.T) {
				p := s.pick()
				s.read(p)
				if proposal, due := p.allocator.Propose(s.clock(p)); due {
					s.writes = append(s.writes, zoneWrite{p, proposal})
				}
			},
			"write decided": func(t *rapid.T) { s.completeWrite(takeFlight(t), true) },
			"reply lost":    func(t *rapid.T) { s.completeWrite(takeFlight(t), false) },
			"write lost":    func(t *rapid.T) { takeFlight(t) },
			"outage":        func(*rapid.T) { s.outage = !s.outage },
			"pause": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond)
			},
			"death": func(t *rapid.T) {
				i := rapid.IntRange(0, len(s.procs)-1).Draw(t, "process")
				s.procs[i] = s.startProcess(s.procs[i].zone)
			},
			"change the limit": func(t *rapid.T) {
				s.generation++
				s.limit = drawLimit(t)
				s.pick().allocator.SetLimit(s.limit, s.generation)
			},
			"drain": func(*rapid.T) { s.admitAll(s.pick()) },
			"drain all": func(*rapid.T) {
				for _, p := range s.procs {
					s.admitAll(p)
				}
			},
			"": func(*rapid.T) { s.checkActiveShares() },
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
