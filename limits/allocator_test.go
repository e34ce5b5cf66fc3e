package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// zoneProcess is a process that is a member of a zone and may be an allocator. Its clock
// differs from the others' by a constant.
type zoneProcess struct {
	zone        int
	id          string
	clockOffset time.Duration
	member      *ZoneMember
	allocator   *Allocator
}

// zoneWrite is an allocator's write that was sent and has not arrived.
type zoneWrite struct {
	from     *zoneProcess
	proposal Proposal
}

// zoneSimulation simulates a ledger in the zone mode, with two zones of three processes. Any
// process may get share requests, so a zone may have several allocators.
type zoneSimulation struct {
	*simulation
	processes       []*zoneProcess
	writes          []zoneWrite
	grantDeliveries []func() // each delivers a grant that is in transit
	outage          bool     // the table cannot be reached
}

func newZoneSimulation(t *rapid.T) *zoneSimulation {
	s := &zoneSimulation{simulation: newSimulation(t)}
	for i := range 6 {
		s.processes = append(s.processes, s.startProcess(i/3))
	}
	return s
}

func (s *zoneSimulation) startProcess(zone int) *zoneProcess {
	s.nextID++
	p := &zoneProcess{zone: zone, id: fmt.Sprint(s.nextID), clockOffset: time.Duration(s.nextID) * time.Hour}
	p.member = NewZoneMember(p.id, s.clock(p))
	p.allocator = NewAllocator(p.id, fmt.Sprint(zone), s.policy, s.clock(p))
	p.allocator.SetLimit(s.limit, s.generation)
	return p
}

func (s *zoneSimulation) clock(p *zoneProcess) time.Time { return s.now.Add(p.clockOffset) }

// pick draws one of the processes.
func (s *zoneSimulation) pick() *zoneProcess {
	return rapid.SampledFrom(s.processes).Draw(s.t, "process")
}

// requestShares sends a share request from the member to the allocator. The returned function
// delivers the grant.
func (s *zoneSimulation) requestShares(member, allocator *zoneProcess) func() {
	requestedAt := s.clock(member)
	g := allocator.allocator.Grant(member.member.NextRequest(allocator.id, requestedAt), s.clock(allocator))
	return func() { member.member.ApplyGrant(allocator.id, g, requestedAt, s.clock(member)) }
}

// read passes the current row to the process's allocator.
func (s *zoneSimulation) read(p *zoneProcess) {
	if !s.outage {
		p.allocator.ObserveRow(s.row.clone(), s.rowVersion, s.clock(p))
	}
}

// completeWrite applies the write or lets it conflict. It delivers the reply of an applied
// write if reply is set. During an outage it does nothing.
func (s *zoneSimulation) completeWrite(write zoneWrite, reply bool) {
	if s.outage {
		return // the outcome stays unknown
	}
	if write.proposal.IfVersion != s.rowVersion {
		write.from.allocator.WriteFailed(write.proposal, s.clock(write.from))
		return
	}
	s.storeRow(write.proposal.Ledger.clone())
	if reply {
		write.from.allocator.WriteApplied(write.proposal, s.rowVersion, s.clock(write.from))
	}
}

// sync lets the process's allocator read the row and complete the write that propose returns.
func (s *zoneSimulation) sync(p *zoneProcess, propose allocatorProposeFunc) {
	s.read(p)
	if proposal, due := propose(p.allocator, s.clock(p)); due {
		s.completeWrite(zoneWrite{p, proposal}, true)
	}
}

// rounds runs several rounds of share requests and syncs in both zones, each with one
// allocator. One process is paused; there are no other faults. All demand is at one process.
func (s *zoneSimulation) rounds(t *rapid.T) {
	allocators := []*zoneProcess{s.processes[rapid.IntRange(0, 2).Draw(t, "allocator of zone 0")], s.processes[rapid.IntRange(3, 5).Draw(t, "allocator of zone 1")]}
	paused, busiest := s.pick(), s.pick()
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		s.advance(1100 * time.Millisecond)
		busiest.member.demand.add(1000)
		for _, p := range s.processes {
			if allocator := allocators[p.zone]; p != paused && allocator != paused {
				s.requestShares(p, allocator)()
			}
		}
		for _, allocator := range allocators {
			if allocator != paused {
				s.sync(allocator, (*Allocator).Propose)
			}
		}
	}
}

// admitAll sends single requests until the process rejects one. The reference bucket must
// have a token for each that is admitted.
func (s *zoneSimulation) admitAll(p *zoneProcess) {
	for p.member.Allow(1, s.clock(p)).Allowed {
		s.reference.Advance(s.now)
		s.reference.tokens--
		if s.reference.tokens < -1e-6 {
			s.t.Fatalf("over-admission: %g requests above burst + rate·t", -s.reference.tokens)
		}
	}
}

// checkActiveShares checks that the sum of the members' active shares is within the share of
// the reference bucket, and that no allocator's outstanding grants exceed its share.
func (s *zoneSimulation) checkActiveShares() {
	var sum Share
	for _, p := range s.processes {
		sum = sum.Plus(p.member.ActiveShare(s.clock(p)))
		now := s.clock(p)
		p.allocator.updateZoneShare(now)
		if outstanding := p.allocator.grants.outstandingParts(now); !partsWithin(outstanding, p.allocator.holder.active) {
			s.t.Fatalf("grants of allocator %s sum to %+v, its share is %+v", p.id, outstanding, p.allocator.holder.active)
		}
	}
	if !sum.Within(s.reference.Share()) {
		s.t.Fatalf("active shares of members sum to %+v, the bound is %+v", sum, s.reference.Share())
	}
}

// Guards against more than burst + rate·t admitted by the members of all zones together when
// shares move between zones, a zone has several allocators, allocators crash, pause or are
// replaced, grants are lost or late, and the outcome of ledger writes is unknown.
func TestZonesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newZoneSimulation(t)
		pickPair := func() (member, allocator *zoneProcess) {
			member = s.pick()
			return member, s.processes[3*member.zone+rapid.IntRange(0, 2).Draw(t, "keeper")]
		}
		takeWrite := func(t *rapid.T) zoneWrite {
			if len(s.writes) == 0 {
				t.Skip("no write in transit")
			}
			i := rapid.IntRange(0, len(s.writes)-1).Draw(t, "write")
			write := s.writes[i]
			s.writes = append(s.writes[:i], s.writes[i+1:]...)
			return write
		}
		t.Repeat(map[string]func(*rapid.T){
			"rounds of syncs": func(t *rapid.T) { s.rounds(t) },
			"ask for shares": func(*rapid.T) {
				member, allocator := pickPair()
				s.requestShares(member, allocator)()
			},
			"allocator grant in transit": func(*rapid.T) { s.grantDeliveries = append(s.grantDeliveries, s.requestShares(pickPair())) },
			"late grant": func(t *rapid.T) {
				if len(s.grantDeliveries) == 0 {
					t.Skip("no grant in transit")
				}
				i := rapid.IntRange(0, len(s.grantDeliveries)-1).Draw(t, "grant")
				s.grantDeliveries[i]()
				s.grantDeliveries = append(s.grantDeliveries[:i], s.grantDeliveries[i+1:]...)
			},
			"lose grants": func(*rapid.T) { s.grantDeliveries = nil },
			"sync":        func(*rapid.T) { s.sync(s.pick(), (*Allocator).Propose) },
			"leave":       func(*rapid.T) { s.sync(s.pick(), (*Allocator).Deregister) },
			"write sent": func(*rapid.T) {
				p := s.pick()
				s.read(p)
				if proposal, due := p.allocator.Propose(s.clock(p)); due {
					s.writes = append(s.writes, zoneWrite{p, proposal})
				}
			},
			"write completed": func(t *rapid.T) { s.completeWrite(takeWrite(t), true) },
			"reply lost":      func(t *rapid.T) { s.completeWrite(takeWrite(t), false) },
			"write lost":      func(t *rapid.T) { takeWrite(t) },
			"outage":          func(*rapid.T) { s.outage = !s.outage },
			"pause": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(1, 40000).Draw(t, "ms")) * time.Millisecond)
			},
			"crash": func(t *rapid.T) {
				i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")
				s.processes[i] = s.startProcess(s.processes[i].zone)
			},
			"change the limit": func(t *rapid.T) {
				s.generation++
				s.limit = drawLimit(t)
				s.pick().allocator.SetLimit(s.limit, s.generation)
			},
			"drain": func(*rapid.T) { s.admitAll(s.pick()) },
			"drain all": func(*rapid.T) {
				for _, p := range s.processes {
					s.admitAll(p)
				}
			},
			"": func(*rapid.T) { s.checkActiveShares() },
		})
	})
}

// Checks that the zone's share in the ledger shrinks only after its members have confirmed
// smaller grants. Otherwise another zone could use what a member still uses.
func TestAllocatorWaitsForConfirmedReductions(t *testing.T) {
	now := startTime
	allocator := NewAllocator("k", "zone", DefaultPolicy(), now)
	allocator.SetLimit(NewShare(100, 100), 1)
	allocator.ObserveRow(Ledger{}, 0, now)
	busy := NewZoneMember("busy", now)
	version := int64(0)
	round := func(offered float64, confirm bool) LedgerEntry {
		now = now.Add(1100 * time.Millisecond)
		busy.demand.add(offered)
		if g := allocator.Grant(busy.NextRequest("k", now), now); confirm {
			busy.ApplyGrant("k", g, now, now)
		}
		if p, due := allocator.Propose(now); due {
			version++
			allocator.WriteApplied(p, version, now)
		}
		return allocator.holder.confirmed
	}
	for range 5 {
		round(200, true)
	}
	must.True(t, busy.ActiveShare(now).Rate >= MicroRequestsOf(95))
	row := allocator.holder.row.clone()
	row.Holders = append(row.Holders, LedgerEntry{ID: "other", Instance: "other zone", Demand: MicroRequestsOf(200), Renewals: 1})
	version++
	allocator.ObserveRow(row, version, now)

	for range 3 {
		must.True(t, round(200, false).Total().Rate >= MicroRequestsOf(95))
	}
	for range 5 {
		own := round(200, true)
		must.True(t, busy.ActiveShare(now).Within(own.Total()))
	}
	must.Between(t, MicroRequestsOf(45), allocator.holder.confirmed.Total().Rate, MicroRequestsOf(55))
}
