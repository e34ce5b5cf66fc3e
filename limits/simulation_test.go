package limits

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simulation is one ledger row, the processes that use it and a reference bucket with the
// whole limit that is charged with every admission. Messages are delivered in any order or
// not at all.
type simulation struct {
	t          *rapid.T
	now        time.Time
	policy     Policy
	row        Ledger
	rowVersion int64
	limit      Share
	generation int64
	nextID     int

	processes    []*simProcess
	busiest      *simProcess // which has all demand in rounds of syncs
	writes       []*writeInTransit
	reference    Bucket
	unspentLoans []unspentLoan
}

// unspentLoan is a loan that the borrower has not used: on its way or arrived.
type unspentLoan struct {
	borrower    *simProcess
	tokens      float64
	usableUntil time.Time // on the borrower's clock
}

// simProcess is a process with its own clock, which differs from the others' by a constant.
type simProcess struct {
	holder      *ShareHolder
	instance    string
	clockOffset time.Duration
}

// writeInTransit is a write that was sent, or whose reply was sent, and has not arrived.
type writeInTransit struct {
	from           *simProcess
	proposal       Proposal
	appliedVersion int64 // row version once applied, 0 before
}

// clock returns the time on the clock of the process.
func (s *simulation) clock(p *simProcess) time.Time { return s.now.Add(p.clockOffset) }

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1_000_000, 0), policy: DefaultPolicy()}
	s.policy.FloorTerm = 15 * time.Second // short, so that floors are reclaimed during a check
	s.policy.FloorReclaimMargin = 3 * time.Second
	s.policy.FloorFraction = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "floor fraction")
	s.policy.MinFloorFraction = s.policy.FloorFraction / 5
	s.limit = drawLimit(t)
	s.generation = 1
	s.reference = NewBucket(Share{}, false, s.now)
	for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
		s.processes = append(s.processes, s.startProcess(fmt.Sprintf("entry-%d", i)))
	}
	s.busiest = s.processes[0]
	return s
}

// drawLimit draws the rate and burst of a limit, including zero and less than one request.
func drawLimit(t *rapid.T) Share {
	return NewShare(
		rapid.SampledFrom([]float64{0, 0.5, 5, 20, 50}).Draw(t, "rate"),
		rapid.SampledFrom([]float64{0, 1, 3, 10, 40}).Draw(t, "burst"))
}

// startProcess returns a new process of the instance.
func (s *simulation) startProcess(instance string) *simProcess {
	s.nextID++
	p := &simProcess{instance: instance, clockOffset: time.Duration(s.nextID) * time.Hour}
	p.holder = NewShareHolder(fmt.Sprintf("%s/%d", instance, s.nextID), instance, s.policy, s.clock(p))
	p.holder.SetLimit(s.limit, s.generation)
	return p
}

// pick draws one of the processes.
func (s *simulation) pick() *simProcess { return rapid.SampledFrom(s.processes).Draw(s.t, "process") }

// admitAll sends single requests until the process rejects one, which is the most that it can
// admit. The reference bucket must have a token for each.
func (s *simulation) admitAll(p *simProcess) {
	for p.holder.Allow(1, s.clock(p)).Allowed {
		s.reference.Advance(s.now)
		s.reference.tokens--
		if s.reference.tokens < -1e-6 {
			s.t.Fatalf("over-admission: %g requests above burst + rate·t", -s.reference.tokens)
		}
	}
}

// requestLoan sends a loan request from borrower to lender, which arrives after the latency.
// The loan stays unspent until spendLoans.
func (s *simulation) requestLoan(borrower, lender *simProcess, want int, latency time.Duration) {
	usableUntil := s.clock(borrower).Add(LoanTerm)
	s.advance(latency)
	tokens, _ := lender.holder.Lend(float64(want), s.clock(lender))
	s.unspentLoans = append(s.unspentLoans, unspentLoan{borrower: borrower, tokens: tokens, usableUntil: usableUntil})
}

// spendLoans charges the reference bucket with all borrowed tokens that may still be used, as
// if requests had used them.
func (s *simulation) spendLoans() {
	s.reference.Advance(s.now)
	for _, l := range s.unspentLoans {
		if s.clock(l.borrower).Before(l.usableUntil) {
			s.reference.tokens -= l.tokens
		}
	}
	s.unspentLoans = nil
	if s.reference.tokens < -1e-6 {
		s.t.Fatalf("over-admission with loans: %g requests above burst + rate·t", -s.reference.tokens)
	}
}

// checkActiveShares checks that the sum of all active shares is within the share of the
// reference bucket. Then no part of the limit is in use by two processes at the same time.
func (s *simulation) checkActiveShares() {
	var sum Share
	for _, p := range s.processes {
		sum = sum.Plus(p.holder.ActiveShare(s.clock(p)))
	}
	if !sum.Within(s.reference.Share()) {
		s.t.Fatalf("active shares sum to %+v, the bound is %+v", sum, s.reference.Share())
	}
}

// read passes the current row to the process.
func (s *simulation) read(p *simProcess) {
	p.holder.ObserveRow(s.row.clone(), s.rowVersion, s.clock(p))
}

// proposeWrite puts the next write of the process in transit, if one is due.
func (s *simulation) proposeWrite(p *simProcess) {
	if proposal, due := p.holder.Propose(s.clock(p)); due {
		s.writes = append(s.writes, &writeInTransit{from: p, proposal: proposal})
	}
}

// completeWrite applies the write or lets it conflict, and delivers the reply if reply is set.
func (s *simulation) completeWrite(write *writeInTransit, reply bool) {
	s.removeWrite(write)
	s.applyIfCurrent(write)
	switch {
	case !reply:
	case write.appliedVersion > 0:
		write.from.holder.WriteApplied(write.proposal, write.appliedVersion, s.clock(write.from))
	default:
		write.from.holder.WriteFailed(write.proposal, s.clock(write.from))
	}
}

// applyIfCurrent applies the write if its condition holds. The reply stays in transit.
func (s *simulation) applyIfCurrent(write *writeInTransit) {
	if write.appliedVersion == 0 && write.proposal.IfVersion == s.rowVersion {
		s.storeRow(write.proposal.Ledger.clone())
		write.appliedVersion = s.rowVersion
	}
}

// removeWrite removes a write and its reply from those in transit.
func (s *simulation) removeWrite(write *writeInTransit) {
	s.writes = slices.DeleteFunc(s.writes, func(other *writeInTransit) bool { return other == write })
}

// storeRow stores a row and sets the share of the reference bucket to the larger of the limit
// and the allocated sum. That sum may exceed the limit only after the limit was lowered, and
// may then only fall.
func (s *simulation) storeRow(next Ledger) {
	bound := maxOf(next.Limit, s.row.Allocated())
	if !next.Allocated().Within(bound) {
		s.t.Fatalf("shares in the row sum to %+v, the bound is %+v", next.Allocated(), bound)
	}
	s.row = next
	s.rowVersion++
	s.reference.SetShare(maxOf(next.Limit, next.Allocated()), s.now)
	if s.rowVersion == 1 {
		s.reference.Fill()
	}
}

// sync lets the process read the row and write it if a write is due, without faults.
func (s *simulation) sync(p *simProcess) {
	s.read(p)
	before := len(s.writes)
	s.proposeWrite(p)
	if len(s.writes) > before {
		s.completeWrite(s.writes[len(s.writes)-1], true)
	}
}

// readAndPropose lets the process read the row and puts its next write in transit. It returns
// nil if no write is due.
func (s *simulation) readAndPropose(p *simProcess) *writeInTransit {
	s.advance(time.Second)
	s.read(p)
	before := len(s.writes)
	s.proposeWrite(p)
	if len(s.writes) == before {
		return nil
	}
	return s.writes[before]
}

// rounds runs several rounds in which one process is cut off.
func (s *simulation) rounds(t *rapid.T, cutOff *simProcess) {
	for range rapid.IntRange(1, 14).Draw(t, "rounds") {
		s.round(cutOff)
	}
}

// round lets each process sync except one, which is cut off. All demand is at the busiest
// process.
func (s *simulation) round(cutOff *simProcess) {
	for _, p := range s.processes {
		s.advance(1200 * time.Millisecond / time.Duration(len(s.processes)))
		if p == s.busiest {
			p.holder.demand.add(1000)
		}
		if p != cutOff {
			s.sync(p)
		}
	}
}

// advance moves the time on all clocks.
func (s *simulation) advance(d time.Duration) { s.now = s.now.Add(d) }
