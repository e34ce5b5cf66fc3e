package limits

import (
	"fmt"
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
	flights []*flight
	exact   Bucket
}

// proc is a process with its own clock, which has its own zero.
type proc struct {
	holder   *Holder
	instance string
	offset   time.Duration
}

// flight is a write that was sent and is not decided yet.
type flight struct {
	from     *proc
	proposal Proposal
}

func (w *world) clock(p *proc) time.Time { return w.now.Add(p.offset) }

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), policy: DefaultPolicy()}
	w.policy.FloorTerm = time.Minute // short, so that floors are reclaimed in a run
	w.policy.FloorFraction = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "floor fraction")
	w.limit = ShareOf(rapid.Float64Range(0.5, 50).Draw(t, "rate"), rapid.Float64Range(1, 60).Draw(t, "burst"))
	w.gen = 1
	w.exact = NewBucket(Share{}, false, w.now)
	for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
		w.procs = append(w.procs, w.boot(fmt.Sprintf("entry-%d", i)))
	}
	return w
}

func (w *world) boot(instance string) *proc {
	w.nextID++
	p := &proc{instance: instance, offset: time.Duration(w.nextID) * time.Hour}
	p.holder = NewHolder(fmt.Sprintf("%s/%d", instance, w.nextID), instance, w.policy, w.clock(p))
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

func (w *world) read(p *proc) { p.holder.Observe(w.table.clone(), w.version, w.clock(p)) }

func (w *world) propose(p *proc) {
	if proposal, due := p.holder.Propose(w.clock(p)); due {
		w.flights = append(w.flights, &flight{from: p, proposal: proposal})
	}
}

// land decides a flight: applied or in conflict, with or without its reply.
func (w *world) land(f *flight, reply bool) {
	w.remove(f)
	applied := f.proposal.IfVersion == w.version
	if applied {
		w.apply(f.proposal.Ledger.clone())
	}
	switch {
	case !reply:
	case applied:
		f.from.holder.Written(f.proposal, w.version, w.clock(f.from))
	default:
		f.from.holder.Failed(f.proposal, w.clock(f.from))
	}
}

func (w *world) remove(f *flight) {
	for i := range w.flights {
		if w.flights[i] == f {
			w.flights = append(w.flights[:i], w.flights[i+1:]...)
			return
		}
	}
}

// apply stores a row. What is held may exceed the limit only after the limit was
// lowered, and may then only fall.
func (w *world) apply(next Ledger) {
	bound := maxShare(next.Limit, w.table.Held())
	if !next.Held().Within(bound) {
		w.t.Fatalf("row holds %+v, the bound is %+v", next.Held(), bound)
	}
	w.table = next
	w.version++
	w.exact.SetShare(maxShare(next.Limit, next.Held()), w.now)
	if w.version == 1 {
		w.exact.Fill()
	}
}

func maxShare(a, b Share) Share {
	return Share{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)}
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

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
}
