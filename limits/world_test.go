package limits

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// world is one ledger row, the processes that use it and an exact bucket that
// sees every admission. Messages are delivered in any order or not at all.
type world struct {
	t       *rapid.T
	now     time.Time
	policy  Policy
	table   Ledger
	version int64
	limit   Share
	gen     int64
	nextID  int

	procs   []*proc
	hot     *proc // where callers go
	flights []*flight
	exact   Bucket
	loans   []borrowed
}

// borrowed is a loan on its way to a borrower, or waiting there.
type borrowed struct {
	by     *proc
	tokens float64
	until  time.Time // on the borrower's clock
}

// proc is a process with its own clock, which has its own zero.
type proc struct {
	holder   *ShareHolder
	instance string
	offset   time.Duration
}

// flight is a write that was sent and is not decided yet.
type flight struct {
	from     *proc
	proposal Proposal
	applied  int64 // version, once applied
}

func (w *world) clock(p *proc) time.Time { return w.now.Add(p.offset) }

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), policy: DefaultPolicy()}
	w.policy.FloorTerm = 15 * time.Second // short, so that floors are reclaimed in a run
	w.policy.FloorReclaimMargin = 3 * time.Second
	w.policy.FloorFraction = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "floor fraction")
	w.policy.MinFloorFraction = w.policy.FloorFraction / 5
	w.limit = drawLimit(t)
	w.gen = 1
	w.exact = NewBucket(Share{}, false, w.now)
	for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
		w.procs = append(w.procs, w.boot(fmt.Sprintf("entry-%d", i)))
	}
	w.hot = w.procs[0]
	return w
}

func drawLimit(t *rapid.T) Share {
	return NewShare(
		rapid.SampledFrom([]float64{0, 0.5, 5, 20, 50}).Draw(t, "rate"),
		rapid.SampledFrom([]float64{0, 1, 3, 10, 40}).Draw(t, "burst"))
}

func (w *world) boot(instance string) *proc {
	w.nextID++
	p := &proc{instance: instance, offset: time.Duration(w.nextID) * time.Hour}
	p.holder = NewShareHolder(fmt.Sprintf("%s/%d", instance, w.nextID), instance, w.policy, w.clock(p))
	p.holder.SetLimit(w.limit, w.gen)
	return p
}

func (w *world) pick() *proc { return rapid.SampledFrom(w.procs).Draw(w.t, "process") }

// drain takes single requests until the process refuses, which is the most that
// it can admit. The exact bucket must have a token for each.
func (w *world) drain(p *proc) {
	for p.holder.Allow(1, w.clock(p)).Allowed {
		w.exact.Advance(w.now)
		w.exact.tokens--
		if w.exact.tokens < -1e-6 {
			w.t.Fatalf("over-admission: %g requests above burst + rate·t", -w.exact.tokens)
		}
	}
}

// borrow asks a lender. The reply is under way until it is used or lost.
func (w *world) borrow(by, from *proc, want int, travel time.Duration) {
	until := w.clock(by).Add(LoanTerm)
	w.advance(travel)
	tokens, _ := from.holder.Lend(float64(want), w.clock(from))
	w.loans = append(w.loans, borrowed{by: by, tokens: tokens, until: until})
}

// useLoans admits requests with all borrowed tokens that may still be used.
func (w *world) useLoans() {
	w.exact.Advance(w.now)
	for _, l := range w.loans {
		if w.clock(l.by).Before(l.until) {
			w.exact.tokens -= l.tokens
		}
	}
	w.loans = nil
	if w.exact.tokens < -1e-6 {
		w.t.Fatalf("over-admission with loans: %g requests above burst + rate·t", -w.exact.tokens)
	}
}

// checkUse requires that the shares in use together stay within what the exact
// bucket may have. No part of a limit then has two users at one time.
func (w *world) checkUse() {
	var sum Share
	for _, p := range w.procs {
		sum = sum.Plus(p.holder.ActiveShare(w.clock(p)))
	}
	if !sum.Within(w.exact.Share()) {
		w.t.Fatalf("shares in use sum to %+v, the bound is %+v", sum, w.exact.Share())
	}
}

func (w *world) read(p *proc) { p.holder.ObserveRow(w.table.clone(), w.version, w.clock(p)) }

func (w *world) propose(p *proc) {
	if proposal, due := p.holder.Propose(w.clock(p)); due {
		w.flights = append(w.flights, &flight{from: p, proposal: proposal})
	}
}

// land decides a flight: applied or in conflict, with or without its reply.
func (w *world) land(f *flight, reply bool) {
	w.remove(f)
	w.decide(f)
	switch {
	case !reply:
	case f.applied > 0:
		f.from.holder.WriteApplied(f.proposal, f.applied, w.clock(f.from))
	default:
		f.from.holder.WriteFailed(f.proposal, w.clock(f.from))
	}
}

// decide applies a flight if its condition holds. Its reply stays under way.
func (w *world) decide(f *flight) {
	if f.applied == 0 && f.proposal.IfVersion == w.version {
		w.apply(f.proposal.Ledger.clone())
		f.applied = w.version
	}
}

func (w *world) remove(f *flight) {
	w.flights = slices.DeleteFunc(w.flights, func(o *flight) bool { return o == f })
}

// apply stores a row. What is held may exceed the limit only after the limit was
// lowered, and may then only fall.
func (w *world) apply(next Ledger) {
	bound := maxOf(next.Limit, w.table.Allocated())
	if !next.Allocated().Within(bound) {
		w.t.Fatalf("row holds %+v, the bound is %+v", next.Allocated(), bound)
	}
	w.table = next
	w.version++
	w.exact.SetShare(maxOf(next.Limit, next.Allocated()), w.now)
	if w.version == 1 {
		w.exact.Fill()
	}
}

// exchange is a read, a decision and a write without faults.
func (w *world) exchange(p *proc) {
	w.read(p)
	before := len(w.flights)
	w.propose(p)
	if len(w.flights) > before {
		w.land(w.flights[len(w.flights)-1], true)
	}
}

// send reads and proposes. It returns nil when no write is due.
func (w *world) send(p *proc) *flight {
	w.advance(time.Second)
	w.read(p)
	before := len(w.flights)
	w.propose(p)
	if len(w.flights) == before {
		return nil
	}
	return w.flights[before]
}

func (w *world) rounds(t *rapid.T, cutOff *proc) {
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		w.round(cutOff)
	}
}

// round lets each process but one exchange, with all demand at the hot process.
// The one left out is cut off.
func (w *world) round(cutOff *proc) {
	for _, p := range w.procs {
		w.advance(1200 * time.Millisecond / time.Duration(len(w.procs)))
		if p == w.hot {
			p.holder.demand.add(1000)
		}
		if p != cutOff {
			w.exchange(p)
		}
	}
}

func (w *world) advance(d time.Duration) { w.now = w.now.Add(d) }
