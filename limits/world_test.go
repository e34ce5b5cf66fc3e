package limits

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simulation is one ledger row, the processes that use it and an exact bucket that
// sees every admission. Messages are delivered in any order or not at all.
type simulation struct {
	t          *rapid.T
	now        time.Time
	policy     Policy
	row        Ledger
	rowVersion int64
	limit      Share
	generation int64
	nextID     int

	procs          []*simProcess
	busiest        *simProcess // where callers go
	writes         []*writeInTransit
	reference      Bucket
	loansInTransit []loanInTransit
}

// loanInTransit is a loan on its way to a borrower, or waiting there.
type loanInTransit struct {
	borrower    *simProcess
	tokens      float64
	usableUntil time.Time // on the borrower's clock
}

// simProcess is a process with its own clock, which has its own zero.
type simProcess struct {
	holder      *Holder
	instance    string
	clockOffset time.Duration
}

// writeInTransit is a write that was sent and is not decided yet.
type writeInTransit struct {
	from           *simProcess
	proposal       Proposal
	appliedVersion int64 // version, once applied
}

func (w *simulation) clock(p *simProcess) time.Time { return w.now.Add(p.clockOffset) }

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: time.Unix(1_000_000, 0), policy: DefaultPolicy()}
	w.policy.FloorTerm = 15 * time.Second // short, so that floors are reclaimed in a run
	w.policy.FloorMargin = 3 * time.Second
	w.policy.FloorFraction = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "floor fraction")
	w.policy.MinFloorFraction = w.policy.FloorFraction / 5
	w.limit = drawLimit(t)
	w.generation = 1
	w.reference = NewBucket(Share{}, false, w.now)
	for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
		w.procs = append(w.procs, w.startProcess(fmt.Sprintf("entry-%d", i)))
	}
	w.busiest = w.procs[0]
	return w
}

func drawLimit(t *rapid.T) Share {
	return ShareOf(
		rapid.SampledFrom([]float64{0, 0.5, 5, 20, 50}).Draw(t, "rate"),
		rapid.SampledFrom([]float64{0, 1, 3, 10, 40}).Draw(t, "burst"))
}

func (w *simulation) startProcess(instance string) *simProcess {
	w.nextID++
	p := &simProcess{instance: instance, clockOffset: time.Duration(w.nextID) * time.Hour}
	p.holder = NewHolder(fmt.Sprintf("%s/%d", instance, w.nextID), instance, w.policy, w.clock(p))
	p.holder.SetLimit(w.limit, w.generation)
	return p
}

func (w *simulation) pick() *simProcess { return rapid.SampledFrom(w.procs).Draw(w.t, "process") }

// admitAll takes single requests until the process refuses, which is the most that
// it can admit. The exact bucket must have a token for each.
func (w *simulation) admitAll(p *simProcess) {
	for p.holder.Allow(1, w.clock(p)).Allowed {
		w.reference.Advance(w.now)
		w.reference.tokens--
		if w.reference.tokens < -1e-6 {
			w.t.Fatalf("over-admission: %g requests above burst + rate·t", -w.reference.tokens)
		}
	}
}

// requestLoan asks a lender. The reply is under way until it is used or lost.
func (w *simulation) requestLoan(by, from *simProcess, want int, travel time.Duration) {
	until := w.clock(by).Add(LoanTerm)
	w.advance(travel)
	tokens, _ := from.holder.Lend(float64(want), w.clock(from))
	w.loansInTransit = append(w.loansInTransit, loanInTransit{borrower: by, tokens: tokens, usableUntil: until})
}

// spendLoans admits requests with all borrowed tokens that may still be used.
func (w *simulation) spendLoans() {
	w.reference.Advance(w.now)
	for _, l := range w.loansInTransit {
		if w.clock(l.borrower).Before(l.usableUntil) {
			w.reference.tokens -= l.tokens
		}
	}
	w.loansInTransit = nil
	if w.reference.tokens < -1e-6 {
		w.t.Fatalf("over-admission with loans: %g requests above burst + rate·t", -w.reference.tokens)
	}
}

// checkActiveShares requires that the shares in use together stay within what the exact
// bucket may have. No part of a limit then has two users at one time.
func (w *simulation) checkActiveShares() {
	var sum Share
	for _, p := range w.procs {
		sum = sum.Plus(p.holder.Using(w.clock(p)))
	}
	if !sum.Within(w.reference.Share()) {
		w.t.Fatalf("shares in use sum to %+v, the bound is %+v", sum, w.reference.Share())
	}
}

func (w *simulation) read(p *simProcess) { p.holder.Observe(w.row.clone(), w.rowVersion, w.clock(p)) }

func (w *simulation) proposeWrite(p *simProcess) {
	if proposal, due := p.holder.Propose(w.clock(p)); due {
		w.writes = append(w.writes, &writeInTransit{from: p, proposal: proposal})
	}
}

// completeWrite decides a flight: applied or in conflict, with or without its reply.
func (w *simulation) completeWrite(f *writeInTransit, reply bool) {
	w.removeWrite(f)
	w.applyIfCurrent(f)
	switch {
	case !reply:
	case f.appliedVersion > 0:
		f.from.holder.Written(f.proposal, f.appliedVersion, w.clock(f.from))
	default:
		f.from.holder.Failed(f.proposal, w.clock(f.from))
	}
}

// applyIfCurrent applies a flight if its condition holds. Its reply stays under way.
func (w *simulation) applyIfCurrent(f *writeInTransit) {
	if f.appliedVersion == 0 && f.proposal.IfVersion == w.rowVersion {
		w.storeRow(f.proposal.Ledger.clone())
		f.appliedVersion = w.rowVersion
	}
}

func (w *simulation) removeWrite(f *writeInTransit) {
	w.writes = slices.DeleteFunc(w.writes, func(o *writeInTransit) bool { return o == f })
}

// storeRow stores a row. What is held may exceed the limit only after the limit was
// lowered, and may then only fall.
func (w *simulation) storeRow(next Ledger) {
	bound := maxOf(next.Limit, w.row.Held())
	if !next.Held().Within(bound) {
		w.t.Fatalf("row holds %+v, the bound is %+v", next.Held(), bound)
	}
	w.row = next
	w.rowVersion++
	w.reference.SetShare(maxOf(next.Limit, next.Held()), w.now)
	if w.rowVersion == 1 {
		w.reference.Fill()
	}
}

// sync is a read, a decision and a write without faults.
func (w *simulation) sync(p *simProcess) {
	w.read(p)
	before := len(w.writes)
	w.proposeWrite(p)
	if len(w.writes) > before {
		w.completeWrite(w.writes[len(w.writes)-1], true)
	}
}

// readAndPropose reads and proposes. It returns nil when no write is due.
func (w *simulation) readAndPropose(p *simProcess) *writeInTransit {
	w.advance(time.Second)
	w.read(p)
	before := len(w.writes)
	w.proposeWrite(p)
	if len(w.writes) == before {
		return nil
	}
	return w.writes[before]
}

func (w *simulation) rounds(t *rapid.T, cutOff *simProcess) {
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		w.round(cutOff)
	}
}

// round lets each process but one exchange, with all demand at the hot process.
// The one left out is cut off.
func (w *simulation) round(cutOff *simProcess) {
	for _, p := range w.procs {
		w.advance(1200 * time.Millisecond / time.Duration(len(w.procs)))
		if p == w.busiest {
			p.holder.demand.add(1000)
		}
		if p != cutOff {
			w.sync(p)
		}
	}
}

func (w *simulation) advance(d time.Duration) { w.now = w.now.Add(d) }
