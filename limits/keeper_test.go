package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// zoneProc is a process that is a member of a zone and may be a keeper. Its clock
// has its own zero.
type zoneProc struct {
	zone   int
	id     string
	offset time.Duration
	member *ZoneMember
	keeper *Allocator
}

// zoneFlight is a keeper's write that is not decided yet.
type zoneFlight struct {
	from     *zoneProc
	proposal Proposal
}

// zoneWorld is a ledger with zones for holders. Every process may be asked, so
// that a zone has any number of keepers.
type zoneWorld struct {
	*world
	procs   []*zoneProc
	flights []zoneFlight
	answers []func() // grants under way
	outage  bool
}

func newZoneWorld(t *rapid.T) *zoneWorld {
	w := &zoneWorld{world: newWorld(t)}
	for i := range 6 {
		w.procs = append(w.procs, w.boot(i/3))
	}
	return w
}

func (w *zoneWorld) boot(zone int) *zoneProc {
	w.nextID++
	p := &zoneProc{zone: zone, id: fmt.Sprint(w.nextID), offset: time.Duration(w.nextID) * time.Hour}
	p.member = NewZoneMember(p.id, w.clock(p))
	p.keeper = NewAllocator(p.id, fmt.Sprint(zone), w.policy, w.clock(p))
	p.keeper.SetLimit(w.limit, w.gen)
	return p
}

func (w *zoneWorld) clock(p *zoneProc) time.Time { return w.now.Add(p.offset) }

func (w *zoneWorld) pick() *zoneProc { return rapid.SampledFrom(w.procs).Draw(w.t, "process") }

// ask lets a keeper answer a member and returns the delivery of the grant.
func (w *zoneWorld) ask(m, k *zoneProc) func() {
	askedAt := w.clock(m)
	g := k.keeper.Grant(m.member.NextRequest(k.id, askedAt), w.clock(k))
	return func() { m.member.ApplyGrant(k.id, g, askedAt, w.clock(m)) }
}

func (w *zoneWorld) read(p *zoneProc) {
	if !w.outage {
		p.keeper.ObserveRow(w.table.clone(), w.version, w.clock(p))
	}
}

// land decides a write and may report the result.
func (w *zoneWorld) land(f zoneFlight, reply bool) {
	if w.outage {
		return // the outcome stays unknown
	}
	if f.proposal.IfVersion != w.version {
		f.from.keeper.WriteFailed(f.proposal, w.clock(f.from))
		return
	}
	w.apply(f.proposal.Ledger.clone())
	if reply {
		f.from.keeper.WriteApplied(f.proposal, w.version, w.clock(f.from))
	}
}

func (w *zoneWorld) step(p *zoneProc, propose keeperProposal) {
	w.read(p)
	if proposal, due := propose(p.keeper, w.clock(p)); due {
		w.land(zoneFlight{p, proposal}, true)
	}
}

// rounds runs the zones, each with its own keeper, without faults but for one
// process that is paused.
func (w *zoneWorld) rounds(t *rapid.T) {
	keepers := []*zoneProc{w.procs[rapid.IntRange(0, 2).Draw(t, "keeper 0")], w.procs[rapid.IntRange(3, 5).Draw(t, "keeper 1")]}
	paused, hot := w.pick(), w.pick()
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		w.advance(1100 * time.Millisecond)
		hot.member.demand.add(1000)
		for _, p := range w.procs {
			if k := keepers[p.zone]; p != paused && k != paused {
				w.ask(p, k)()
			}
		}
		for _, k := range keepers {
			if k != paused {
				w.step(k, (*Allocator).Propose)
			}
		}
	}
}

func (w *zoneWorld) drain(p *zoneProc) {
	for p.member.Allow(1, w.clock(p)).Allowed {
		w.exact.Advance(w.now)
		w.exact.tokens--
		if w.exact.tokens < -1e-6 {
			w.t.Fatalf("over-admission: %g requests above burst + rate·t", -w.exact.tokens)
		}
	}
}

// check requires that the members use no more than the limit, and that no zone
// has granted more than its keeper may use.
func (w *zoneWorld) check() {
	var sum Share
	for _, p := range w.procs {
		sum = sum.Plus(p.member.ActiveShare(w.clock(p)))
		now := w.clock(p)
		p.keeper.follow(now)
		if out := p.keeper.zone.outstanding(now); !fits(out, p.keeper.holder.using) {
			w.t.Fatalf("keeper %s has granted %+v of %+v", p.id, out, p.keeper.holder.using)
		}
	}
	if !sum.Within(w.exact.Share()) {
		w.t.Fatalf("members use %+v, the bound is %+v", sum, w.exact.Share())
	}
}

// Guards against over-admission over all zones: a zone's share that falls before
// its grants, a grant used after its keeper's share, grants of a keeper that died,
// was paused or replaced, several keepers of one zone, lost and late answers,
// and ledger writes with unknown results.
func TestZonesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newZoneWorld(t)
		zonePair := func() (m, k *zoneProc) {
			m = w.pick()
			return m, w.procs[3*m.zone+rapid.IntRange(0, 2).Draw(t, "keeper")]
		}
		takeFlight := func(t *rapid.T) zoneFlight {
			if len(w.flights) == 0 {
				t.Skip("nothing in flight")
			}
			i := rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight")
			f := w.flights[i]
			w.flights = append(w.flights[:i], w.flights[i+1:]...)
			return f
		}
		t.Repeat(map[string]func(*rapid.T){
			"rounds": func(t *rapid.T) { w.rounds(t) },
			"ask": func(*rapid.T) {
				m, k := zonePair()
				w.ask(m, k)()
			},
			"answer under way": func(*rapid.T) { w.answers = append(w.answers, w.ask(zonePair())) },
			"late answer": func(t *rapid.T) {
				if len(w.answers) == 0 {
					t.Skip("no answer under way")
				}
				i := rapid.IntRange(0, len(w.answers)-1).Draw(t, "answer")
				w.answers[i]()
				w.answers = append(w.answers[:i], w.answers[i+1:]...)
			},
			"lose answers": func(*rapid.T) { w.answers = nil },
			"step":         func(*rapid.T) { w.step(w.pick(), (*Allocator).Propose) },
			"leave":        func(*rapid.T) { w.step(w.pick(), (*Allocator).Deregister) },
			"write under way": func(*rapid.T) {
				p := w.pick()
				w.read(p)
				if proposal, due := p.keeper.Propose(w.clock(p)); due {
					w.flights = append(w.flights, zoneFlight{p, proposal})
				}
			},
			"write decided": func(t *rapid.T) { w.land(takeFlight(t), true) },
			"reply lost":    func(t *rapid.T) { w.land(takeFlight(t), false) },
			"write lost":    func(t *rapid.T) { takeFlight(t) },
			"outage":        func(*rapid.T) { w.outage = !w.outage },
			"pause": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond)
			},
			"death": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")
				w.procs[i] = w.boot(w.procs[i].zone)
			},
			"change the limit": func(t *rapid.T) {
				w.gen++
				w.limit = drawLimit(t)
				w.pick().keeper.SetLimit(w.limit, w.gen)
			},
			"drain": func(*rapid.T) { w.drain(w.pick()) },
			"drain all": func(*rapid.T) {
				for _, p := range w.procs {
					w.drain(p)
				}
			},
			"": func(*rapid.T) { w.check() },
		})
	})
}

// Guards against a ledger row that gives away what an instance may still use: the
// row must shrink only as far as the instances have confirmed.
func TestKeeperWaitsForItsInstances(t *testing.T) {
	now := start
	k := NewAllocator("k", "zone", DefaultPolicy(), now)
	k.SetLimit(NewShare(100, 100), 1)
	k.ObserveRow(Ledger{}, 0, now)
	busy := NewZoneMember("busy", now)
	version := int64(0)
	round := func(offered float64, confirm bool) LedgerEntry {
		now = now.Add(1100 * time.Millisecond)
		busy.demand.add(offered)
		if g := k.Grant(busy.NextRequest("k", now), now); confirm {
			busy.ApplyGrant("k", g, now, now)
		}
		if p, due := k.Propose(now); due {
			version++
			k.WriteApplied(p, version, now)
		}
		return k.holder.own
	}
	for range 5 {
		round(200, true)
	}
	must.True(t, busy.ActiveShare(now).Rate >= MicroRequestsOf(95))
	row := k.holder.row.clone()
	row.Holders = append(row.Holders, LedgerEntry{ID: "other", Instance: "other zone", Demand: MicroRequestsOf(200), Renewals: 1})
	version++
	k.ObserveRow(row, version, now)

	for range 3 {
		must.True(t, round(200, false).Total().Rate >= MicroRequestsOf(95))
	}
	for range 5 {
		held := round(200, true)
		must.True(t, busy.ActiveShare(now).Within(held.Total()))
	}
	must.Between(t, MicroRequestsOf(45), k.holder.own.Total().Rate, MicroRequestsOf(55))
}
